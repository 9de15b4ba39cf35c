package flood

import (
	"encoding/binary"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"
)

// usage samples what a process uses until check is called.
type usage struct {
	target *target
	// local is the address of the process as the kernel's table of sockets writes it.
	local string
	// The peaks of the open sockets and pipes, of the bytes that wait in the kernel, and of
	// the sum of those and the resident memory in bytes.
	sockets, waiting, memory int

	stop chan struct{}
	done chan struct{}
}

const sampleInterval = 20 * time.Millisecond

func watch(x *target) *usage {
	local := binary.NativeEndian.Uint32(net.ParseIP(x.ip).To4())
	u := &usage{target: x, local: fmt.Sprintf("%08X:", local), stop: make(chan struct{}), done: make(chan struct{})}
	go func() {
		defer close(u.done)
		for {
			u.sample()
			select {
			case <-u.stop:
				return
			case <-time.After(sampleInterval):
			}
		}
	}()
	return u
}

func (u *usage) sample() {
	u.sockets = max(u.sockets, u.openSockets())
	waiting := u.waitingBytes()
	u.waiting = max(u.waiting, waiting)
	u.memory = max(u.memory, waiting+u.status("VmRSS:"))
}

// openSockets returns the number of sockets and pipes of the process.
func (u *usage) openSockets() int {
	dir := fmt.Sprintf("/proc/%d/fd", u.target.pid)
	entries, err := os.ReadDir(dir)
	if err != nil {
		return 0
	}
	n := 0
	for _, e := range entries {
		if to, err := os.Readlink(filepath.Join(dir, e.Name())); err == nil && (strings.HasPrefix(to, "socket:") || strings.HasPrefix(to, "pipe:")) {
			n++
		}
	}
	return n
}

// waitingBytes returns the bytes that wait in the kernel: received for the process and not
// read, also on connections that it has not accepted yet, and sent by it and not received.
func (u *usage) waitingBytes() int {
	const listening = "0A"
	b, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return 0
	}
	sum := 0
	for line := range strings.Lines(string(b)) {
		fields := strings.Fields(line)
		if len(fields) < 5 || !strings.HasPrefix(fields[1], u.local) || fields[3] == listening {
			continue
		}
		unsent, received, _ := strings.Cut(fields[4], ":")
		for _, q := range []string{unsent, received} {
			if n, err := strconv.ParseInt(q, 16, 64); err == nil {
				sum += int(n)
			}
		}
	}
	return sum
}

// status returns an amount of memory of the process in bytes, 0 if it has ended.
func (u *usage) status(name string) int {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", u.target.pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(b), name)
	fields := strings.Fields(rest)
	if len(fields) == 0 {
		return 0
	}
	kb, err := strconv.Atoi(fields[0])
	if err != nil {
		return 0
	}
	return kb << 10
}

// check reports what the process used and whether it is within its settings.
func (u *usage) check(t *testing.T) {
	t.Helper()
	close(u.stop)
	<-u.done
	peak := u.status("VmHWM:")
	if peak == 0 {
		t.Fatal("the process has ended")
	}
	t.Logf("peak: %d MB, %d MB wait in the kernel, %d MB with these, %d sockets", peak>>20, u.waiting>>20, u.memory>>20, u.sockets)
	if used := max(peak, u.memory); used > u.target.memoryMB<<20 {
		t.Errorf("the process used %d MB; its settings have %d", used>>20, u.target.memoryMB)
	}
	if u.sockets > u.target.maxSockets {
		t.Errorf("the process had %d sockets; its settings leave %d", u.sockets, u.target.maxSockets)
	}
}
