// Package flood sends clients without limits to the daemons, which run as separate
// processes. It checks that a process lives, stays within the memory and descriptors of
// its settings and answers an ordinary request afterwards.
package flood

import (
	"bytes"
	"context"
	"fmt"
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
	// suspendedMemoryMB is the memory of a daemon that is suspended during a flood.
	suspendedMemoryMB = 64
	// platformFiles is the number of descriptors that the platform reserves for files.
	platformFiles = 200
	// connections is the number of connections of a flood.
	connections = 800
	// bodyBytes is the largest legal body of the platform's configuration.
	bodyBytes = 256 << 10
	// tinyChunks is the number of chunks of one byte that a connection sends.
	tinyChunks = 64 << 10
	// headerBytes is what a connection sends of a header of legal size.
	headerBytes = 16000
	// pieceBytes are sent every pieceDelay by the clients that send a body piece by piece.
	pieceBytes, pieceDelay = 4000, 50 * time.Millisecond
	// againTime is how long clients come again.
	againTime = 6 * time.Second
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

// oddLines returns header lines with one name and blanks as values, up to size bytes.
func oddLines(size int) string { return strings.Repeat("a: \t \r\n", size/len("a: \t \r\n")) }

// flood is what each connection of a flood sends before it stays open.
type flood struct {
	request []byte
	// piece is the number of bytes that are sent at a time, 0 for all, with a delay after
	// each.
	piece int
	delay time.Duration
	// again is how long each connection is closed and opened again once it has sent the
	// request.
	again time.Duration
	// answers says that an answer is read before the connection is closed.
	answers bool
	// numbered says that numberPlace in the request is replaced by another number in each
	// connection.
	numbered bool
	sent     atomic.Int64
}

// numberPlace is where a numbered request has its number.
const numberPlace = "00000000000000ff"

// unfinished returns floods of requests that stop short of their end; head is the start
// of a request without the last empty line.
func unfinished(head string) map[string]*flood {
	chunked := head + "Transfer-Encoding: chunked\r\n\r\n"
	lines := []byte(head + headerLines(headerBytes-len(head)))
	body := []byte(head + fmt.Sprintf("Content-Length: %d\r\n\r\n", bodyBytes) + strings.Repeat("x", bodyBytes-1))
	return map[string]*flood{
		"header_lines": {request: lines},
		"odd_lines":    {request: []byte(head + oddLines(headerBytes-len(head)))},
		"returning":    {request: lines, again: againTime},
		"bodies":       {request: body},
		"pieces":       {request: body, piece: pieceBytes, delay: pieceDelay},
		"large_chunks": {request: []byte(chunked + fmt.Sprintf("%x\r\n", bodyBytes) + strings.Repeat("x", bodyBytes-1))},
		"tiny_chunks":  {request: []byte(chunked + strings.Repeat("1\r\nx\r\n", tinyChunks))},
	}
}

// complete returns floods of whole requests of which the clients read no answer; body is
// that of an ordinary request, and costly one of the largest size.
func complete(head string, body, costly []byte) map[string]*flood {
	withLength := func(b []byte) string { return head + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(b), b) }
	ordinary := withLength(body)
	refused := "GET /nowhere HTTP/1.1\r\nHost: nowhere\r\n\r\n"
	return map[string]*flood{
		"pipelined":  {request: []byte(strings.Repeat(ordinary, bodyBytes/len(ordinary)))},
		"no_request": {request: []byte(ordinary + strings.Repeat("x", bodyBytes))},
		"decoded":    {request: []byte(withLength(costly))},
		"refused":    {request: []byte(strings.Repeat(refused, bodyBytes/len(refused)))},
		"trailers": {request: []byte(head + fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n", len(body), body) +
			headerLines(headerBytes-len(head)) + "\r\n")},
	}
}

// send opens the connections of a flood at once. They stay open until the test ends.
func (f *flood) send(t *testing.T, address string) {
	t.Helper()
	var wg sync.WaitGroup
	var mu sync.Mutex
	var open []net.Conn
	var written, refused atomic.Int64
	until := time.Now().Add(f.again)
	for range connections {
		wg.Go(func() {
			for first := true; first || time.Now().Before(until); first = false {
				c, err := net.DialTimeout("tcp", address, 2*time.Second)
				if err != nil {
					refused.Add(1)
					continue
				}
				written.Add(f.write(c))
				if time.Now().Before(until) {
					_ = c.Close()
					continue
				}
				mu.Lock()
				open = append(open, c)
				mu.Unlock()
			}
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

// write sends the request and returns the number of bytes that were sent. The daemon may
// close the connection at any time.
func (f *flood) write(c net.Conn) int64 {
	var sent int64
	b := f.request
	if f.numbered {
		b = bytes.Replace(b, []byte(numberPlace), fmt.Appendf(nil, "%016x", 1<<32+f.sent.Add(1)), 1)
	}
	for len(b) > 0 {
		n := len(b)
		if f.piece > 0 {
			n = min(n, f.piece)
		}
		_ = c.SetWriteDeadline(time.Now().Add(3 * time.Second))
		written, err := c.Write(b[:n])
		sent += int64(written)
		if err != nil {
			break
		}
		if b = b[n:]; len(b) > 0 {
			time.Sleep(f.delay)
		}
	}
	if f.answers {
		_ = c.SetReadDeadline(time.Now().Add(3 * time.Second))
		_, _ = c.Read(make([]byte, 1))
	}
	return sent
}

// target is a daemon that a flood is sent to.
type target struct {
	pid int
	ip  string
	// memoryMB is the memory of the daemon's settings.
	memoryMB int
	// maxSockets is what the settings leave for sockets and pipes.
	maxSockets int
	// ordinary sends one ordinary request and returns the status of the answer.
	ordinary func() (int, error)
}

// run sends one flood and checks the process.
func (x *target) run(t *testing.T, address string, f *flood) {
	t.Helper()
	x.awaitAnswer(t)
	u := watch(x)
	f.send(t, address)
	time.Sleep(settleTime)
	x.awaitAnswer(t)
	u.check(t)
}

// runSuspended sends one flood while the process is suspended, so that nothing is read
// until all has arrived.
func (x *target) runSuspended(t *testing.T, address string, f *flood) {
	t.Helper()
	x.awaitAnswer(t)
	u := watch(x)
	x.signal(t, syscall.SIGSTOP)
	f.send(t, address)
	x.signal(t, syscall.SIGCONT)
	time.Sleep(settleTime)
	x.awaitAnswer(t)
	u.check(t)
}

func (x *target) signal(t *testing.T, s syscall.Signal) {
	t.Helper()
	if err := syscall.Kill(x.pid, s); err != nil {
		t.Fatal(err)
	}
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
