// Package steady reads a clock that never jumps and counts suspended time.
package steady

import (
	"time"

	"golang.org/x/sys/unix"
)

// NowMS returns milliseconds since an arbitrary moment. A suspended VM's
// monotonic clock stands still, so leases are measured with this one.
func NowMS() int64 {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Every supported kernel has this clock; the time of day is the next best.
		return time.Now().UnixMilli()
	}
	return ts.Sec*1000 + ts.Nsec/int64(time.Millisecond)
}
