// Package steady reads the boot-time clock, which is monotonic and also advances while the VM is
// suspended.
package steady

import (
	"time"

	"golang.org/x/sys/unix"
)

// NowMS returns the milliseconds since an arbitrary origin. Leases are measured with this clock
// because CLOCK_MONOTONIC stops while a VM is suspended, and an expired lease would seem valid.
func NowMS() int64 {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// CLOCK_BOOTTIME exists on every supported kernel; wall-clock time is only a fallback.
		return time.Now().UnixMilli()
	}
	return ts.Sec*1000 + ts.Nsec/int64(time.Millisecond)
}
