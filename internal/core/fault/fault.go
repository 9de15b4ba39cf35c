// Package fault holds the closed list of error kinds and the table that maps
// each kind to what a caller is told.
package fault

import (
	"errors"
	"fmt"

	"github.com/joomcode/errorx"
)

// Outcome tells a caller whether its request ran.
type Outcome string

// The three outcomes. Every caller gets exactly one of them.
const (
	// Answered means that the whole answer to this request is returned.
	Answered Outcome = "answered"
	// NotRun means that nothing of this submission was ever started.
	NotRun Outcome = "not_run"
	// Unknown means that the request may have run.
	Unknown Outcome = "unknown"
)

// Error is an error of one of the kinds in the table.
type Error struct {
	// Kind is always a row of the table.
	Kind Kind
	// Field names the part of the input that is wrong; empty when none is.
	Field string
	cause *errorx.Error
}

var (
	namespace = errorx.NewNamespace("dogwoodworks")
	types     = newTypes()
)

func newTypes() map[Kind]*errorx.Type {
	m := make(map[Kind]*errorx.Type, len(table))
	for _, row := range table {
		m[row.Kind] = namespace.NewType(string(row.Kind))
	}
	return m
}

// New returns an error of the given kind. A kind that is not in the table, as
// one that came over the wire, becomes Internal, whose outcome is Unknown.
func New(kind Kind, format string, args ...any) *Error {
	kind = Lookup(kind).Kind
	return &Error{Kind: kind, cause: typeOf(kind).New(format, args...)}
}

// Wrap returns an error of the given kind that keeps err as its cause.
func Wrap(kind Kind, err error, format string, args ...any) *Error {
	kind = Lookup(kind).Kind
	return &Error{Kind: kind, cause: typeOf(kind).Wrap(err, format, args...)}
}

// WithField returns an error of the given kind about one input field.
func WithField(kind Kind, field, format string, args ...any) *Error {
	e := New(kind, format, args...)
	e.Field = field
	return e
}

func typeOf(kind Kind) *errorx.Type { return types[kind] }

// Error returns the message without the kind.
func (e *Error) Error() string {
	if e.Field != "" {
		return fmt.Sprintf("%s: %s", e.Field, e.cause.Message())
	}
	if c := e.cause.Cause(); c != nil {
		return fmt.Sprintf("%s: %v", e.cause.Message(), c)
	}
	return e.cause.Message()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause.Cause() }

// KindOf returns the kind of err: OK for nil and Internal for foreign errors.
func KindOf(err error) Kind {
	if err == nil {
		return OK
	}
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return Internal
}

// FieldOf returns the input field that err is about, or the empty string.
func FieldOf(err error) string {
	var e *Error
	if errors.As(err, &e) {
		return e.Field
	}
	return ""
}

// Is reports whether err is of the given kind.
func Is(err error, kind Kind) bool { return err != nil && KindOf(err) == kind }
