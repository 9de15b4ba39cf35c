// Package runner is the client of the runners, the targets that serve requests.
package runner

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/dogwoodworks/dogwoodworks/internal/core/fault"
	"github.com/dogwoodworks/dogwoodworks/internal/core/meter"
)

// Headers of the runner protocol.
const (
	HeaderRequestID  = "Request-Id"
	HeaderAttempt    = "Attempt"
	HeaderKind       = "Request-Kind"
	HeaderDigest     = "Answer-Digest"
	HeaderLength     = "Answer-Length"
	HeaderNotStarted = "Not-Started"
	HeaderLeaving    = "Target-Leaving"
)

// RunPath is the path of a runner that takes requests.
const RunPath = "/v1/run"

// MaxAnswerBytes bounds the size of an answer.
const MaxAnswerBytes = 4 << 20

// Reasons that a runner gives for not starting a request.
const (
	NotStartedBusy    = "busy"
	NotStartedLeaving = "leaving"
)

// Request is one attempt of one request.
type Request struct {
	ID string
	// Attempt differs for every send of the same request.
	Attempt int
	Kind    string
	Payload []byte
}

// Answer is the whole answer to one attempt.
type Answer struct {
	RequestID string
	Attempt   int
	Payload   []byte
}

// Client sends attempts to one runner. It is safe for concurrent use.
type Client struct {
	// Address is the runner's IP address and port.
	Address string
	// MaxConnections bounds the connections that this VM opens to the runner.
	MaxConnections int
	Meter          *meter.Meter
	// Silence is the longest wait without progress on a connection.
	Silence time.Duration
	// OnLeaving is called when an answer says that the runner leaves.
	OnLeaving func()

	once      sync.Once
	transport *http.Transport
}

// DefaultSilence bounds the wait on a connection without progress.
const DefaultSilence = 30 * time.Second

const dialTimeout = 2 * time.Second

func (c *Client) roundTripper() *http.Transport {
	c.once.Do(func() {
		d := net.Dialer{Timeout: dialTimeout}
		c.transport = &http.Transport{
			DialContext:         d.DialContext,
			MaxConnsPerHost:     c.MaxConnections,
			MaxIdleConnsPerHost: c.MaxConnections,
			DisableCompression:  true,
		}
	})
	return c.transport
}

// Close closes idle connections.
func (c *Client) Close() { c.roundTripper().CloseIdleConnections() }

// Send sends one attempt and waits for its answer.
//
// The error is of kind NotStarted when the runner said that it did not start
// the attempt, Unreachable when no byte was sent, BadAnswer when an answer was
// not the whole answer to this attempt, and AnswerLost otherwise.
func (c *Client) Send(ctx context.Context, r Request) (Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, c.silence())
	defer cancel()
	var sent atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { sent.Store(true) },
	})
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.Address+RunPath, bytes.NewReader(r.Payload))
	if err != nil {
		return Answer{}, fault.Wrap(fault.Unreachable, err, "build request")
	}
	// The transport must not send an attempt again by itself.
	req.GetBody = nil
	req.Header.Set(HeaderRequestID, r.ID)
	req.Header.Set(HeaderAttempt, strconv.Itoa(r.Attempt))
	req.Header.Set(HeaderKind, r.Kind)
	resp, err := c.roundTripper().RoundTrip(req)
	if err != nil {
		return Answer{}, c.sendError(err, sent.Load())
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.Header.Get(HeaderLeaving) != "" && c.OnLeaving != nil {
		c.OnLeaving()
	}
	return readAnswer(resp, r)
}

func (c *Client) silence() time.Duration {
	if c.Silence == 0 {
		return DefaultSilence
	}
	return c.Silence
}

func (c *Client) sendError(err error, sent bool) error {
	if !sent {
		c.Meter.Inc("runner_unreachable")
		return fault.Wrap(fault.Unreachable, err, "runner %s", c.Address)
	}
	if errors.Is(err, context.DeadlineExceeded) {
		c.Meter.Inc("runner_silent")
	}
	c.Meter.Inc("runner_answer_lost")
	return fault.Wrap(fault.AnswerLost, err, "runner %s", c.Address)
}

func readAnswer(resp *http.Response, r Request) (Answer, error) {
	attempt, err := strconv.Atoi(resp.Header.Get(HeaderAttempt))
	if err != nil || resp.Header.Get(HeaderRequestID) != r.ID || attempt != r.Attempt {
		return Answer{}, fault.New(fault.BadAnswer, "the answer is to another attempt")
	}
	if reason := resp.Header.Get(HeaderNotStarted); reason != "" {
		return Answer{}, fault.New(fault.NotStarted, "%s", reason)
	}
	b, err := io.ReadAll(io.LimitReader(resp.Body, MaxAnswerBytes+1))
	if err != nil {
		return Answer{}, fault.Wrap(fault.AnswerLost, err, "read answer")
	}
	if resp.StatusCode != http.StatusOK {
		return Answer{}, fault.New(fault.BadAnswer, "status %d", resp.StatusCode)
	}
	if resp.Header.Get(HeaderLength) != strconv.Itoa(len(b)) {
		return Answer{}, fault.New(fault.BadAnswer, "the answer is cut short")
	}
	if resp.Header.Get(HeaderDigest) != Digest(b) {
		return Answer{}, fault.New(fault.BadAnswer, "the answer has a wrong digest")
	}
	return Answer{RequestID: r.ID, Attempt: attempt, Payload: b}, nil
}

// Digest returns the hexadecimal SHA-256 of an answer's payload.
func Digest(b []byte) string {
	sum := sha256.Sum256(b)
	return hex.EncodeToString(sum[:])
}
