package fault_test

import (
	"errors"
	"go/ast"
	"go/parser"
	"go/token"
	"testing"

	"github.com/matryer/is"

	"github.com/dogwoodworks/dogwoodworks/internal/core/fault"
)

// declaredKinds returns the values of all constants of type Kind.
func declaredKinds(t *testing.T) []string {
	t.Helper()
	f, err := parser.ParseFile(token.NewFileSet(), "table.go", nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	var kinds []string
	ast.Inspect(f, func(n ast.Node) bool {
		spec, ok := n.(*ast.ValueSpec)
		if !ok {
			return true
		}
		if id, ok := spec.Type.(*ast.Ident); ok && id.Name == "Kind" {
			lit := spec.Values[0].(*ast.BasicLit).Value
			kinds = append(kinds, lit[1:len(lit)-1])
		}
		return true
	})
	return kinds
}

func TestEveryKindHasOneRow(t *testing.T) {
	is := is.New(t)
	rows := make(map[fault.Kind]int)
	counters := make(map[string]int)
	for _, row := range fault.Table() {
		rows[row.Kind]++
		counters[row.Counter]++
		is.True(row.HTTPStatus >= 200)
		is.Equal(row.Kind == fault.OK, row.Outcome == fault.Answered)
		if row.Retryable {
			is.Equal(row.Outcome, fault.NotRun)
		}
		is.Equal(row.Kind == fault.OK, row.ExitCode == fault.ExitOK)
		is.Equal(counters[row.Counter], 1)
	}
	kinds := declaredKinds(t)
	is.Equal(len(kinds), len(rows))
	for _, k := range kinds {
		is.Equal(rows[fault.Kind(k)], 1)
	}
}

func TestKindOf(t *testing.T) {
	is := is.New(t)
	err := fault.Wrap(fault.Overloaded, errors.New("ring is full"), "intake")
	is.Equal(fault.KindOf(err), fault.Overloaded)
	is.Equal(err.Error(), "intake: ring is full")
	is.Equal(fault.KindOf(nil), fault.OK)
	is.Equal(fault.KindOf(errors.New("x")), fault.Internal)
	is.Equal(fault.FieldOf(fault.WithField(fault.BadRequest, "tasks", "is negative")), "tasks")
}
