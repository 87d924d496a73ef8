package celld

import (
	"testing"
	"time"

	"auburnpier/internal/settings"
)

// Guards against a start order that takes effect in an evacuated zone after the platform's bound: an
// order decided at the last permitted age of the configuration has to lapse before it.
func TestStartsLapseBeforeEvacuationBound(t *testing.T) {
	for _, boundMS := range []int64{3000, 5000, 10_000} {
		age := maxStartConfigAge(settings.CellBounds{EvacuateMS: boundMS})
		// Workers' clocks may be 2 % slow.
		latest := age + startTimeLimit*51/50
		if bound := time.Duration(boundMS) * time.Millisecond; latest >= bound || age < time.Second {
			t.Errorf("bound %v: starts are decided up to an age of %v and take effect up to %v", bound, age, latest)
		}
	}
	if age := maxStartConfigAge(settings.CellBounds{}); age != 0 {
		t.Errorf("without a bound the age is limited to %v", age)
	}
}
