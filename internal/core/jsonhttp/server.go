package jsonhttp

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/labstack/echo/v4"

	"github.com/dogwoodworks/dogwoodworks/internal/core/fault"
	"github.com/dogwoodworks/dogwoodworks/internal/core/meter"
)

// Limits bound what a listener accepts. Zero fields take the defaults.
type Limits struct {
	// MaxBodyBytes is the largest accepted request body.
	MaxBodyBytes int64
	// MaxHeaderBytes is the largest accepted request header.
	MaxHeaderBytes int
	// MaxConcurrent is the number of requests served at once.
	MaxConcurrent int
	// ReadTimeout bounds the time to read one request.
	ReadTimeout time.Duration
	// IdleTimeout bounds the time that a connection waits for a request.
	IdleTimeout time.Duration
}

// Default limits of a listener.
const (
	DefaultMaxBodyBytes   = 1 << 20
	DefaultMaxHeaderBytes = 16 << 10
	DefaultMaxConcurrent  = 4096
	DefaultReadTimeout    = 10 * time.Second
	DefaultIdleTimeout    = 120 * time.Second
)

func (l Limits) withDefaults() Limits {
	if l.MaxBodyBytes == 0 {
		l.MaxBodyBytes = DefaultMaxBodyBytes
	}
	if l.MaxHeaderBytes == 0 {
		l.MaxHeaderBytes = DefaultMaxHeaderBytes
	}
	if l.MaxConcurrent == 0 {
		l.MaxConcurrent = DefaultMaxConcurrent
	}
	if l.ReadTimeout == 0 {
		l.ReadTimeout = DefaultReadTimeout
	}
	if l.IdleTimeout == 0 {
		l.IdleTimeout = DefaultIdleTimeout
	}
	return l
}

// NewEcho returns an echo instance whose errors are answered from the table of
// package fault and whose requests are bounded by limits.
func NewEcho(limits Limits, m *meter.Meter) *echo.Echo {
	limits = limits.withDefaults()
	e := echo.New()
	e.HideBanner = true
	e.HidePort = true
	e.Server.ReadTimeout = limits.ReadTimeout
	e.Server.IdleTimeout = limits.IdleTimeout
	e.Server.MaxHeaderBytes = limits.MaxHeaderBytes
	e.HTTPErrorHandler = func(err error, c echo.Context) { writeError(c, m, err) }
	e.Use(bounded(limits))
	return e
}

// Serve serves e on an address until e is shut down.
func Serve(e *echo.Echo, l net.Listener) error {
	e.Server.Handler = e
	err := e.Server.Serve(l)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

func bounded(limits Limits) echo.MiddlewareFunc {
	places := make(chan struct{}, limits.MaxConcurrent)
	return func(next echo.HandlerFunc) echo.HandlerFunc {
		return func(c echo.Context) error {
			select {
			case places <- struct{}{}:
			default:
				return fault.New(fault.Overloaded, "%d requests are being served", limits.MaxConcurrent)
			}
			defer func() { <-places }()
			r := c.Request()
			r.Body = http.MaxBytesReader(c.Response(), r.Body, limits.MaxBodyBytes)
			return next(c)
		}
	}
}

// Decode reads the JSON body of a request into v. It refuses unknown fields,
// trailing data and text that is not UTF-8.
func Decode(c echo.Context, v any) error {
	b, err := io.ReadAll(c.Request().Body)
	if err != nil {
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			return fault.WithField(fault.BodyTooLarge, "body", "is over %d bytes", tooLarge.Limit)
		}
		return fault.WithField(fault.BadRequest, "body", "cannot be read: %v", err)
	}
	return DecodeBytes(b, v)
}

// DecodeBytes is Decode for a body that has been read.
func DecodeBytes(b []byte, v any) error {
	if !utf8.Valid(b) {
		return fault.WithField(fault.BadRequest, "body", "is not UTF-8")
	}
	d := json.NewDecoder(bytes.NewReader(b))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return fault.WithField(fault.BadRequest, badField(err), "%s", strings.TrimPrefix(err.Error(), "json: "))
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return fault.WithField(fault.BadRequest, "body", "has data after the JSON value")
	}
	return nil
}

func badField(err error) string {
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) && typeErr.Field != "" {
		return typeErr.Field
	}
	if _, name, ok := strings.Cut(err.Error(), "unknown field "); ok {
		return strings.Trim(name, `"`)
	}
	return "body"
}

// WriteError answers a request with an error.
func writeError(c echo.Context, m *meter.Meter, err error) {
	if c.Response().Committed {
		return
	}
	body := NewErrorBody(fromEcho(err))
	row := fault.Lookup(body.Kind)
	m.Inc(row.Counter)
	_ = c.JSON(row.HTTPStatus, body)
}

// NewErrorBody returns the JSON form of an error.
func NewErrorBody(err error) ErrorBody {
	kind := fault.KindOf(err)
	row := fault.Lookup(kind)
	message := err.Error()
	if field := fault.FieldOf(err); field != "" {
		message = strings.TrimPrefix(message, field+": ")
	}
	return ErrorBody{
		Outcome:   row.Outcome,
		Kind:      row.Kind,
		Message:   message,
		Field:     fault.FieldOf(err),
		Hint:      row.Hint,
		Retryable: row.Retryable,
	}
}

func fromEcho(err error) error {
	var he *echo.HTTPError
	if !errors.As(err, &he) {
		return err
	}
	switch he.Code {
	case http.StatusNotFound:
		return fault.WithField(fault.NotFound, "path", "no such page")
	case http.StatusMethodNotAllowed:
		return fault.WithField(fault.MethodNotAllowed, "method", "is not accepted here")
	case http.StatusRequestEntityTooLarge:
		return fault.WithField(fault.BodyTooLarge, "body", "is too large")
	}
	return fault.New(fault.BadRequest, "%v", he.Message)
}
