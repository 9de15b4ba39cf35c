// Package machine returns the limits of the machine that the process runs on.
package machine

import (
	"math"

	"golang.org/x/sys/unix"
)

// Memory returns the memory of the machine in bytes; 0 if it is not known.
func Memory() int64 {
	var info unix.Sysinfo_t
	if err := unix.Sysinfo(&info); err != nil {
		return 0
	}
	return int64(min(info.Totalram*uint64(info.Unit), math.MaxInt64))
}

// Descriptors returns how many file descriptors the process may have; 0 if it is not
// known.
func Descriptors() int64 {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return 0
	}
	return int64(min(limit.Cur, math.MaxInt32))
}

// Limit returns the lower of a limit in the settings and that of the machine, of which 0 is
// none.
func Limit(setting, machine int64) int64 {
	if setting == 0 || machine == 0 {
		return max(setting, machine)
	}
	return min(setting, machine)
}
