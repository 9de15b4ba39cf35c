// Package boottime reads the steady clock that also counts the time in which the
// machine is suspended.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Time is a time since the machine started; suspension counts.
type Time time.Duration

// Now returns the present time.
func Now() Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// The clock is there on every kernel that Go supports.
		panic("boottime: " + err.Error())
	}
	return Time(ts.Nano())
}

// Add returns t + d.
func (t Time) Add(d time.Duration) Time { return t + Time(d) }

// Sub returns t - u.
func (t Time) Sub(u Time) time.Duration { return time.Duration(t - u) }

// Since returns the time that has passed since t.
func Since(t Time) time.Duration { return Now().Sub(t) }
