package settings

import (
	"fmt"
	"strings"

	"auburnpier/internal/fault"
)

// FaultsError lists all invalid fields of a settings or job file.
type FaultsError struct {
	File   string
	Faults fault.List
}

func (e *FaultsError) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s: %d wrong settings", e.File, len(e.Faults))
	for _, f := range e.Faults {
		b.WriteString("\n  ")
		b.WriteString(f.Error())
	}
	return b.String()
}
