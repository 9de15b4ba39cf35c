// Package boottime reads the steady clock that also counts the time in which the
// machine is suspended.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Time is a time since the machine started; suspension counts.
type Time time.Duration

// source reads the clock.
var source = kernel

// SetSource replaces the clock, for tests whose time is not the machine's. It is
// called before anything reads the clock.
func SetSource(f func() Time) { source = f }

// Now returns the present time.
func Now() Time { return source() }

func kernel() Time {
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
