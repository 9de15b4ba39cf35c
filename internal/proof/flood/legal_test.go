package flood

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

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
