// Package fault defines the closed set of error kinds and the table that maps
// each kind to the response that a caller receives.
package fault

import (
	"errors"
	"fmt"

	"github.com/joomcode/errorx"
)

// Outcome reports to a caller whether its request ran.
type Outcome string

// The outcomes. Every response to a caller has exactly one of them.
const (
	// Answered means that the complete answer to the request is returned.
	Answered Outcome = "answered"
	// NotRun means that no part of this submission was or will be started.
	NotRun Outcome = "not_run"
	// Unknown means that the request may have run.
	Unknown Outcome = "unknown"
)

// Error is an error of one of the kinds in the table.
type Error struct {
	// Kind is always a row of the table.
	Kind Kind
	// Field is the name of the invalid input field; empty if the error is not
	// about one.
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

// New returns an error of the given kind. A kind that is not in the table, such
// as one received from another process, becomes Internal, whose outcome is
// Unknown.
func New(kind Kind, format string, args ...any) *Error {
	kind = Lookup(kind).Kind
	return &Error{Kind: kind, cause: typeOf(kind).New(format, args...)}
}

// Wrap returns an error of the given kind with err as its cause.
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

// KindOf returns the kind of err: OK for nil and Internal for an error that does
// not wrap an Error.
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

// FieldOf returns the name of the invalid input field that err is about, or the
// empty string.
func FieldOf(err error) string {
	var e *Error
	if errors.As(err, &e) {
		return e.Field
	}
	return ""
}

// Is reports whether err is of the given kind.
func Is(err error, kind Kind) bool { return err != nil && KindOf(err) == kind }
