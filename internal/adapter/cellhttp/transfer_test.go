package cellhttp

import (
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"auburnpier/internal/port"
	"auburnpier/internal/standin/leasestore"
	"auburnpier/internal/standin/narrowlink"
)

// Guards against an instance that is turned away by the store and can read nothing large through the narrow link of another one.
func TestLargeListIsRelayedOverNarrowLink(t *testing.T) {
	store := leasestore.New()
	for _, key := range []string{"p/a", "p/b", "p/c"} {
		if _, err := store.Commit(t.Context(), port.Txn{Puts: []port.Put{{Key: key, Value: make([]byte, port.MaxValueBytes)}}}); err != nil {
			t.Fatal(err)
		}
	}
	var rate atomic.Int64
	rate.Store(narrowlink.Narrowest)
	s := httptest.NewUnstartedServer(NewHandler(LocalServices{Instance: "a", Store: store}))
	s.Listener = narrowlink.Listener{Listener: s.Listener, BytesPerSecond: &rate}
	s.Start()
	defer s.Close()
	begin := time.Now()
	entries, _, err := NewDialer().Store(strings.TrimPrefix(s.URL, "http://")).List(t.Context(), "p/")
	if err != nil || len(entries) != 3 {
		t.Errorf("listed %d of 3 entries in %v: %v", len(entries), time.Since(begin), err)
	}
}
