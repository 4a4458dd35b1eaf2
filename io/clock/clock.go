// Package clock reads the clock of the instance that counts all time.
//
// It goes on while the process is frozen and while the instance is suspended, unlike
// the monotonic clock of package time, and nobody sets it, unlike the time of day.
//
// # Usage
//
//	began := clock.Now()
//	…
//	age := clock.Now().Sub(began)
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the start of the instance, as the time since an arbitrary
// zero. It can only be compared with other results of Now on the same instance.
func Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("read the boot time clock: " + err.Error()) // all kernels since 2.6.39 have it
	}
	return time.Unix(ts.Unix())
}
