// Package jsonhttp implements the JSON over HTTP protocol between daemons and
// callers, operators, targets and the platform.
package jsonhttp

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"github.com/dogwoodworks/dogwoodworks/internal/core/fault"
)

// MaxAnswerBytes is the default limit of the size of an answer that a client
// reads.
const MaxAnswerBytes = 8 << 20

// ErrorBody is the JSON form of every error answer.
type ErrorBody struct {
	Outcome fault.Outcome `json:"outcome"`
	Kind    fault.Kind    `json:"kind"`
	Message string        `json:"message"`
	// Field is the name of the invalid input field; empty if the error is not
	// about one.
	Field     string `json:"field,omitempty"`
	Hint      string `json:"hint,omitempty"`
	Retryable bool   `json:"retryable"`
}

// Client calls one server. Only BaseURL is required.
type Client struct {
	// BaseURL is the URL of the server, without a trailing slash.
	BaseURL string
	// Token is sent as a bearer token if it is not empty.
	Token string
	// HTTP sends the requests; http.DefaultClient if nil.
	HTTP *http.Client
	// Header is added to every request.
	Header http.Header
	// MaxAnswer is the limit of the size of an answer in bytes; MaxAnswerBytes
	// if 0.
	MaxAnswer int64
}

// Answer is a server's HTTP response of any status.
type Answer struct {
	Status int
	Body   []byte
}

// Call sends in as JSON and decodes the answer into out. Either may be nil.
//
// The error is of the kind that the server responded with, of kind Unreachable
// when no byte of the request was written, of kind AnswerLost when the request
// may have taken effect, and of kind BadAnswer when the answer is invalid.
func (c *Client) Call(ctx context.Context, method, path string, in, out any) error {
	a, err := c.Exchange(ctx, method, path, in)
	if err != nil {
		return err
	}
	return decodeAnswer(a, out)
}

// Exchange sends in as JSON, if it is not nil, and returns the answer. The error
// is of kind Unreachable when no byte of the request was written, and of kind
// AnswerLost when the request may have taken effect.
func (c *Client) Exchange(ctx context.Context, method, path string, in any) (*Answer, error) {
	var body io.Reader
	if in != nil {
		b, err := json.Marshal(in)
		if err != nil {
			return nil, fault.Wrap(fault.BadRequest, err, "encode request")
		}
		body = bytes.NewReader(b)
	}
	var sent atomic.Bool
	trace := &httptrace.ClientTrace{WroteHeaders: func() { sent.Store(true) }}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), method, c.BaseURL+path, body)
	if err != nil {
		return nil, fault.Wrap(fault.BadRequest, err, "build request")
	}
	for k, v := range c.Header {
		req.Header[k] = v
	}
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	if c.Token != "" {
		req.Header.Set("Authorization", "Bearer "+c.Token)
	}
	resp, err := c.client().Do(req)
	if err != nil {
		if sent.Load() {
			return nil, fault.Wrap(fault.AnswerLost, err, "%s %s", method, path)
		}
		return nil, fault.Wrap(fault.Unreachable, err, "%s %s", method, path)
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(io.LimitReader(resp.Body, c.maxAnswer()))
	if err != nil {
		return nil, fault.Wrap(fault.AnswerLost, err, "read answer")
	}
	return &Answer{Status: resp.StatusCode, Body: b}, nil
}

func (c *Client) maxAnswer() int64 {
	if c.MaxAnswer != 0 {
		return c.MaxAnswer
	}
	return MaxAnswerBytes
}

func (c *Client) client() *http.Client {
	if c.HTTP != nil {
		return c.HTTP
	}
	return http.DefaultClient
}

func decodeAnswer(a *Answer, out any) error {
	if a.Status >= http.StatusBadRequest {
		return errorFromBody(a.Status, a.Body)
	}
	if out == nil || len(a.Body) == 0 {
		return nil
	}
	if raw, ok := out.(*[]byte); ok {
		*raw = a.Body
		return nil
	}
	if err := json.Unmarshal(a.Body, out); err != nil {
		return fault.Wrap(fault.BadAnswer, err, "decode answer")
	}
	return nil
}

func errorFromBody(status int, b []byte) error {
	var body ErrorBody
	if err := json.Unmarshal(b, &body); err != nil || body.Kind == "" {
		return fault.New(fault.BadAnswer, "status %d without an error body", status)
	}
	// The kind determines whether the request is reported as run, so that it is
	// trusted only together with its own status.
	if !fault.Known(body.Kind) || fault.Lookup(body.Kind).HTTPStatus != status {
		return fault.New(fault.BadAnswer, "status %d with the error kind %q", status, body.Kind)
	}
	if body.Field != "" {
		return fault.WithField(body.Kind, body.Field, "%s", body.Message)
	}
	return fault.New(body.Kind, "%s", body.Message)
}
