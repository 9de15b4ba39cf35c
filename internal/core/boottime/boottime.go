// Package boottime reads the monotonic clock that includes the time during which
// the machine is suspended.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Time is the time since the machine booted, including suspension.
type Time time.Duration

// clock returns the current time.
var clock = kernelClock

// SetSource replaces the clock, for tests that simulate time. It must be called
// before anything reads the clock.
func SetSource(f func() Time) { clock = f }

// Now returns the current time.
func Now() Time { return clock() }

func kernelClock() Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Every Linux kernel that Go supports has this clock.
		panic("boottime: " + err.Error())
	}
	return Time(ts.Nano())
}

// Add returns t + d.
func (t Time) Add(d time.Duration) Time { return t + Time(d) }

// Sub returns t - u.
func (t Time) Sub(u Time) time.Duration { return time.Duration(t - u) }

// Since returns the time elapsed since t.
func Since(t Time) time.Duration { return Now().Sub(t) }
