package jsonhttp

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"reflect"
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
	limits.set(e.Server)
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

// NewServer returns a server whose requests are bounded by limits.
func NewServer(limits Limits, m *meter.Meter, h http.Handler) *http.Server {
	limits = limits.withDefaults()
	gate := newGate(limits)
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if err := gate.enter(w, r); err != nil {
			refuse(w, m, err)
			return
		}
		defer gate.leave()
		h.ServeHTTP(w, r)
	})}
	limits.set(s)
	return s
}

func refuse(w http.ResponseWriter, m *meter.Meter, err error) {
	body := NewErrorBody(err)
	row := fault.Lookup(body.Kind)
	m.Inc(row.Counter)
	b, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(row.HTTPStatus)
	_, _ = w.Write(b)
}

// headerAllowance is how much more than the limit the server reads, so that a
// header that is too large is refused with a JSON answer.
const headerAllowance = 2

func (l Limits) set(s *http.Server) {
	s.ReadTimeout = l.ReadTimeout
	s.ReadHeaderTimeout = l.ReadTimeout
	s.IdleTimeout = l.IdleTimeout
	s.MaxHeaderBytes = headerAllowance * l.MaxHeaderBytes
}

// gate lets a bounded number of requests in, each with a bounded size.
type gate struct {
	limits Limits
	places chan struct{}
}

func newGate(limits Limits) *gate {
	return &gate{limits: limits, places: make(chan struct{}, limits.MaxConcurrent)}
}

// enter refuses a request or bounds its body; leave must follow when it returns
// nil.
func (g *gate) enter(w http.ResponseWriter, r *http.Request) error {
	size := len(r.RequestURI)
	for name, values := range r.Header {
		for _, v := range values {
			size += len(name) + len(v)
		}
	}
	if size > g.limits.MaxHeaderBytes {
		return fault.WithField(fault.BodyTooLarge, "header", "is over %d bytes", g.limits.MaxHeaderBytes)
	}
	select {
	case g.places <- struct{}{}:
	default:
		return fault.New(fault.Overloaded, "%d requests are being served", g.limits.MaxConcurrent)
	}
	r.Body = http.MaxBytesReader(w, r.Body, g.limits.MaxBodyBytes)
	return nil
}

func (g *gate) leave() { <-g.places }

func bounded(limits Limits) echo.MiddlewareFunc {
	gate := newGate(limits)
	return func(next echo.HandlerFunc) echo.HandlerFunc {
		return func(c echo.Context) error {
			if err := gate.enter(c.Response(), c.Request()); err != nil {
				return err
			}
			defer gate.leave()
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
	if len(b) == 0 {
		return fault.WithField(fault.BadRequest, "body", "is empty")
	}
	if !utf8.Valid(b) {
		return fault.WithField(fault.BadRequest, "body", "is not UTF-8")
	}
	d := json.NewDecoder(bytes.NewReader(b))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return fault.WithField(fault.BadRequest, badField(v, err), "%s", shown(strings.TrimPrefix(err.Error(), "json: ")))
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return fault.WithField(fault.BadRequest, "body", "has data after the JSON value")
	}
	return nil
}

// badField returns the field of v that a decoding error is about.
func badField(v any, err error) string {
	var corrupt base64.CorruptInputError
	if errors.As(err, &corrupt) {
		return bytesField(reflect.TypeOf(v))
	}
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) && typeErr.Field != "" {
		return typeErr.Field
	}
	if _, name, ok := strings.Cut(err.Error(), "unknown field "); ok {
		return shown(strings.Trim(name, `"`))
	}
	return "body"
}

// maxShownBytes bounds the part of a bad input that an answer repeats.
const maxShownBytes = 128

// shown returns the name of an unknown field as an answer repeats it.
func shown(name string) string {
	if name == "" {
		return "body"
	}
	return strings.ToValidUTF8(name[:min(len(name), maxShownBytes)], "")
}

// bytesField returns the JSON name of the first field of bytes in the struct
// that t points to.
func bytesField(t reflect.Type) string {
	if t.Kind() != reflect.Pointer || t.Elem().Kind() != reflect.Struct {
		return "body"
	}
	for i := range t.Elem().NumField() {
		f := t.Elem().Field(i)
		if f.Type == reflect.TypeFor[[]byte]() {
			name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
			return name
		}
	}
	return "body"
}

// writeError answers a request with an error.
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
