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

// Limits bound the requests that a listener accepts. Zero fields select the
// defaults.
type Limits struct {
	// MaxBodyBytes is the size of the largest accepted request body.
	MaxBodyBytes int64
	// MaxHeaderBytes is the size of the largest accepted request header,
	// including the request URI.
	MaxHeaderBytes int
	// MaxConcurrent is the largest number of requests that are served at once.
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

// NewEcho returns an echo instance that enforces limits and responds to errors
// according to the table of package fault.
func NewEcho(limits Limits, m *meter.Meter) *echo.Echo {
	limits = limits.withDefaults()
	e := echo.New()
	e.HideBanner = true
	e.HidePort = true
	limits.set(e.Server)
	e.HTTPErrorHandler = func(err error, c echo.Context) { writeError(c, m, err) }
	e.Use(limitRequests(limits))
	return e
}

// Serve serves e on l until e is shut down.
func Serve(e *echo.Echo, l net.Listener) error {
	e.Server.Handler = e
	err := e.Server.Serve(l)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// NewServer returns a server for h that enforces limits.
func NewServer(limits Limits, m *meter.Meter, h http.Handler) *http.Server {
	limits = limits.withDefaults()
	adm := newAdmission(limits)
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if err := adm.admit(w, r); err != nil {
			writeRefusal(w, m, err)
			return
		}
		defer adm.release()
		h.ServeHTTP(w, r)
	})}
	limits.set(s)
	return s
}

func writeRefusal(w http.ResponseWriter, m *meter.Meter, err error) {
	body := NewErrorBody(err)
	row := fault.Lookup(body.Kind)
	m.Inc(row.Counter)
	b, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	setRetryAfter(w, row)
	w.WriteHeader(row.HTTPStatus)
	_, _ = w.Write(b)
}

// setRetryAfter says when a caller may repeat a request that found no capacity.
func setRetryAfter(w http.ResponseWriter, row fault.Row) {
	if row.Kind == fault.Overloaded {
		w.Header().Set("Retry-After", "1")
	}
}

// headerReadFactor is the ratio of the header size that net/http accepts to the
// limit. It lets the server refuse headers over the limit with a JSON answer.
const headerReadFactor = 2

func (l Limits) set(s *http.Server) {
	s.ReadTimeout = l.ReadTimeout
	s.ReadHeaderTimeout = l.ReadTimeout
	s.IdleTimeout = l.IdleTimeout
	s.MaxHeaderBytes = headerReadFactor * l.MaxHeaderBytes
}

// admission limits the number of concurrent requests and the size of each.
type admission struct {
	limits Limits
	slots  chan struct{}
}

func newAdmission(limits Limits) *admission {
	return &admission{limits: limits, slots: make(chan struct{}, limits.MaxConcurrent)}
}

// admit refuses a request or limits the size of its body. If it returns nil, the
// caller must call release after the request.
func (a *admission) admit(w http.ResponseWriter, r *http.Request) error {
	size := len(r.RequestURI)
	for name, values := range r.Header {
		for _, v := range values {
			size += len(name) + len(v)
		}
	}
	if size > a.limits.MaxHeaderBytes {
		return fault.WithField(fault.BodyTooLarge, "header", "is over %d bytes", a.limits.MaxHeaderBytes)
	}
	select {
	case a.slots <- struct{}{}:
	default:
		return fault.New(fault.Overloaded, "%d requests are being served", a.limits.MaxConcurrent)
	}
	r.Body = http.MaxBytesReader(w, r.Body, a.limits.MaxBodyBytes)
	return nil
}

func (a *admission) release() { <-a.slots }

func limitRequests(limits Limits) echo.MiddlewareFunc {
	adm := newAdmission(limits)
	return func(next echo.HandlerFunc) echo.HandlerFunc {
		return func(c echo.Context) error {
			if err := adm.admit(c.Response(), c.Request()); err != nil {
				return err
			}
			defer adm.release()
			return next(c)
		}
	}
}

// Decode decodes the JSON body of a request into v. It refuses unknown fields,
// trailing data and text that is not UTF-8. Errors are of kind BadRequest or
// BodyTooLarge.
func Decode(c echo.Context, v any) error {
	b, err := io.ReadAll(c.Request().Body)
	if err != nil {
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			return fault.WithField(fault.BodyTooLarge, "body", "is over %d bytes", tooLarge.Limit)
		}
		var ended *fault.Error
		if errors.As(err, &ended) {
			return ended
		}
		return fault.WithField(fault.BadRequest, "body", "cannot be read: %v", err)
	}
	return DecodeBytes(b, v)
}

// DecodeBytes is like Decode for a body that has already been read.
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
		return fault.WithField(fault.BadRequest, invalidField(v, err), "%s", truncateInput(strings.TrimPrefix(err.Error(), "json: ")))
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return fault.WithField(fault.BadRequest, "body", "has data after the JSON value")
	}
	return nil
}

// invalidField returns the name of the field of v that a decoding error is about,
// or "body" if it cannot be determined.
func invalidField(v any, err error) string {
	var corrupt base64.CorruptInputError
	if errors.As(err, &corrupt) {
		return bytesField(reflect.TypeOf(v))
	}
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) && typeErr.Field != "" {
		return typeErr.Field
	}
	if _, name, ok := strings.Cut(err.Error(), "unknown field "); ok {
		return truncateInput(strings.Trim(name, `"`))
	}
	return "body"
}

// maxInputBytes bounds the part of an invalid input that an answer repeats.
const maxInputBytes = 128

// truncateInput returns the part of an invalid input that an answer repeats, or
// "body" if the input is empty.
func truncateInput(name string) string {
	if name == "" {
		return "body"
	}
	return strings.ToValidUTF8(name[:min(len(name), maxInputBytes)], "")
}

// bytesField returns the JSON name of the first []byte field of the struct that t
// points to, or "body" if there is none.
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

// writeError responds to a request with an error, unless a response was already
// sent.
func writeError(c echo.Context, m *meter.Meter, err error) {
	if c.Response().Committed {
		return
	}
	body := NewErrorBody(fromEcho(err))
	row := fault.Lookup(body.Kind)
	m.Inc(row.Counter)
	setRetryAfter(c.Response(), row)
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
		return fault.WithField(fault.NotFound, "path", "does not exist")
	case http.StatusMethodNotAllowed:
		return fault.WithField(fault.MethodNotAllowed, "method", "is not accepted here")
	case http.StatusRequestEntityTooLarge:
		return fault.WithField(fault.BodyTooLarge, "body", "is too large")
	}
	return fault.New(fault.BadRequest, "%v", he.Message)
}
