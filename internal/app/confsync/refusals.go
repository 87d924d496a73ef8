package confsync

import (
	"fmt"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"auburnpier/internal/core/confdoc"
	"auburnpier/internal/refusal"
)

// Refusal maps an error of Apply to the refusal that is sent to the operator. Faults and the
// current row are in the typed error.
func Refusal(err error) *refusal.Refusal {
	var invalid *confdoc.InvalidError
	var tooLarge *confdoc.TooLargeError
	var conflict *confdoc.ConflictError
	var notAccepted *NotAcceptedError
	var unknown *OutcomeUnknownError
	switch {
	case errors.As(err, &invalid):
		return refusal.New(http.StatusUnprocessableEntity, refusal.InvalidTable,
			fmt.Sprintf("the table has wrong fields (%d), each is listed with the answer", len(invalid.Faults)),
			"correct every one and send the edit again")
	case errors.As(err, &tooLarge):
		return refusal.New(http.StatusUnprocessableEntity, refusal.InvalidTable, err.Error(), "make the table smaller")
	case errors.As(err, &conflict):
		return refusal.New(http.StatusConflict, refusal.RowConflict, err.Error(), "repeat the edit on the current row")
	case errors.As(err, &notAccepted):
		return refusal.New(http.StatusServiceUnavailable, refusal.StoreUnavailable, err.Error(), "repeat the edit later").WithRetryAfter(5 * time.Second)
	case errors.As(err, &unknown):
		return refusal.NewOutcomeUnknown(http.StatusBadGateway, refusal.EditOutcomeUnknown, err.Error(), "repeat the edit with the same edit ID").WithRetryAfter(2 * time.Second)
	default:
		return refusal.FromError(err)
	}
}
