// Package flood sends clients without limits to the daemons, which run as separate
// processes. It checks that a process lives, stays within the memory and descriptors of
// its settings and answers an ordinary request afterwards.
package flood

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/dogwoodworks/dogwoodworks/internal/cli/dogwoodd"
	"github.com/dogwoodworks/dogwoodworks/internal/standin/fleet"
)

const (
	// daemonVariable makes this process the platform's daemon.
	daemonVariable = "DOGWOODWORKS_FLOOD_DAEMON"
	// filesVariable is the descriptor limit of a daemon's process.
	filesVariable = "DOGWOODWORKS_FLOOD_FILES"
	// memoryMB and files are the memory and the descriptors of the daemon's settings.
	memoryMB, files = 96, 512
	// connections is the number of connections of a flood.
	connections = 800
	// bodyBytes is the largest legal body of the platform's configuration.
	bodyBytes = 256 << 10
	// tinyChunks is the number of chunks of one byte that a connection sends.
	tinyChunks = 64 << 10
	// headerBytes is what a connection sends of a header of legal size.
	headerBytes = 16000
	// settleTime lets the daemon read what the flood has sent.
	settleTime = 2 * time.Second
	// answerTimeout bounds the retries of the ordinary request.
	answerTimeout = 40 * time.Second
)

func TestMain(m *testing.M) {
	if n, err := strconv.ParseUint(os.Getenv(filesVariable), 10, 64); err == nil && (fleet.IsDaemonProcess() || os.Getenv(daemonVariable) != "") {
		if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &syscall.Rlimit{Cur: n, Max: n}); err != nil {
			panic(err)
		}
	}
	if os.Getenv(daemonVariable) == "" {
		fleet.Main(m)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	code := dogwoodd.Run(ctx, os.Stdout, os.Stderr, os.Args[1:])
	stop()
	os.Exit(code)
}

// headerLines returns header lines of two characters and no value, up to size bytes.
// Parsed, each costs far more than its 5 bytes.
func headerLines(size int) string {
	const token = "abcdefghijklmnopqrstuvwxyz0123456789!#$%&'*+-.^_|~"
	var b strings.Builder
	for i := 0; b.Len()+5 <= size; i++ {
		b.WriteString(string([]byte{token[i/len(token)%len(token)], token[i%len(token)]}) + ":\r\n")
	}
	return b.String()
}

// kinds returns what the connections of each flood send; head is the start of a request
// without the last empty line. Every request stops short of its end.
func kinds(head string) map[string][]byte {
	chunked := head + "Transfer-Encoding: chunked\r\n\r\n"
	return map[string][]byte{
		"header_lines": []byte(head + headerLines(headerBytes-len(head))),
		"bodies":       []byte(head + fmt.Sprintf("Content-Length: %d\r\n\r\n", bodyBytes) + strings.Repeat("x", bodyBytes-1)),
		"large_chunks": []byte(chunked + fmt.Sprintf("%x\r\n", bodyBytes) + strings.Repeat("x", bodyBytes-1)),
		"tiny_chunks":  []byte(chunked + strings.Repeat("1\r\nx\r\n", tinyChunks)),
	}
}

// send opens the connections of a flood, which stay open until the test ends.
func send(t *testing.T, address string, request []byte) {
	t.Helper()
	var wg sync.WaitGroup
	var mu sync.Mutex
	var open []net.Conn
	var written, refused atomic.Int64
	slots := make(chan struct{}, 100)
	for range connections {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			c, err := net.DialTimeout("tcp", address, 2*time.Second)
			if err != nil {
				refused.Add(1)
				return
			}
			mu.Lock()
			open = append(open, c)
			mu.Unlock()
			_ = c.SetWriteDeadline(time.Now().Add(3 * time.Second))
			// The daemon may close the connection at any time.
			n, _ := c.Write(request)
			written.Add(int64(n))
		})
	}
	wg.Wait()
	t.Cleanup(func() {
		for _, c := range open {
			_ = c.Close()
		}
	})
	t.Logf("%d connections open, %d refused, %d KB sent", len(open), refused.Load(), written.Load()>>10)
}

// usage samples the open descriptors of a process until stop is called.
type usage struct {
	pid  int
	peak int
	stop chan struct{}
	done chan struct{}
}

func watch(pid int) *usage {
	u := &usage{pid: pid, stop: make(chan struct{}), done: make(chan struct{})}
	go func() {
		defer close(u.done)
		for {
			if entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid)); err == nil {
				u.peak = max(u.peak, len(entries))
			}
			select {
			case <-u.stop:
				return
			case <-time.After(20 * time.Millisecond):
			}
		}
	}()
	return u
}

// check reports what the process used and whether it is within its settings.
func (u *usage) check(t *testing.T) {
	t.Helper()
	close(u.stop)
	<-u.done
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", u.pid))
	if err != nil {
		t.Fatalf("the process has ended: %v", err)
	}
	_, rest, found := strings.Cut(string(b), "VmHWM:")
	fields := strings.Fields(rest)
	if !found || len(fields) == 0 {
		t.Fatal("the process has ended")
	}
	kb, err := strconv.Atoi(fields[0])
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("peak: %d MB, %d descriptors", kb>>10, u.peak)
	if kb > memoryMB<<10 {
		t.Errorf("the process used %d MB; its settings have %d", kb>>10, memoryMB)
	}
	if u.peak > files {
		t.Errorf("the process had %d descriptors; its settings have %d", u.peak, files)
	}
}

// target is a daemon that a flood is sent to.
type target struct {
	pid int
	// ordinary sends one ordinary request and returns the status of the answer.
	ordinary func() (int, error)
}

// run sends one flood and checks the process.
func (x *target) run(t *testing.T, address string, request []byte) {
	t.Helper()
	x.awaitAnswer(t)
	u := watch(x.pid)
	send(t, address, request)
	time.Sleep(settleTime)
	x.awaitAnswer(t)
	u.check(t)
}

// awaitAnswer retries an ordinary request, as callers do, until it is answered.
func (x *target) awaitAnswer(t *testing.T) {
	t.Helper()
	var status int
	var err error
	for until := time.Now().Add(answerTimeout); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		if status, err = x.ordinary(); err == nil && status == http.StatusOK {
			return
		}
	}
	t.Errorf("an ordinary request is not answered: status %d, error %v", status, err)
}

// piecewise is one request that is sent in pieces with a delay after each.
type piecewise struct {
	name    string
	request []byte
	piece   int
	delay   time.Duration
}

// legal returns requests within the limits, built from head and body, each of which must
// be served when there is no other load. large returns a body of a size.
func legal(head string, body []byte, large func(size int) []byte) []piecewise {
	length := func(b []byte) string { return fmt.Sprintf("Content-Length: %d\r\n\r\n", len(b)) }
	var tiny bytes.Buffer
	for _, c := range large(4 << 10) {
		fmt.Fprintf(&tiny, "1\r\n%c\r\n", c)
	}
	lines := headerLines(15000)
	full, slow := large(bodyBytes), large(8<<10)
	return []piecewise{
		{"header_lines", []byte(head + lines + length(body) + string(body)), 0, 0},
		{"largest_body", append([]byte(head+length(full)), full...), 0, 0},
		{"tiny_chunks", []byte(head + "Transfer-Encoding: chunked\r\n\r\n" + tiny.String() + "0\r\n\r\n"), 0, 0},
		{"slow_header", []byte(head + lines + length(body) + string(body)), 800, 100 * time.Millisecond},
		{"slow_body", append([]byte(head+length(slow)), slow...), 400, 100 * time.Millisecond},
	}
}

func (p *piecewise) send(t *testing.T, address string) {
	t.Helper()
	c, err := net.DialTimeout("tcp", address, 2*time.Second)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	for b := p.request; len(b) > 0; time.Sleep(p.delay) {
		n := len(b)
		if p.piece > 0 {
			n = min(n, p.piece)
		}
		if _, err := c.Write(b[:n]); err != nil {
			t.Fatalf("write: %v", err)
		}
		b = b[n:]
	}
	_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatalf("read: %v", err)
	}
	defer func() { _ = resp.Body.Close() }()
	if b, _ := io.ReadAll(resp.Body); resp.StatusCode != http.StatusOK {
		t.Errorf("status %d: %s", resp.StatusCode, b)
	}
}
