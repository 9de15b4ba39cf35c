package meter_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"github.com/dogwoodworks/dogwoodworks/internal/control/config"
	"github.com/dogwoodworks/dogwoodworks/internal/core/fault"
	"github.com/dogwoodworks/dogwoodworks/internal/core/settings"
)

const root = "../../.."

// readPage returns a page of the documentation.
func readPage(t *testing.T, name string) string {
	t.Helper()
	b, err := os.ReadFile(filepath.Join(root, "docs", name))
	if err != nil {
		t.Fatal(err)
	}
	return string(b)
}

// counters returns the names of all counters in the source, with the file of
// each. The name of a counter to which the code appends a suffix ends in "*".
func counters(t *testing.T) map[string]string {
	t.Helper()
	names := make(map[string]string)
	err := filepath.WalkDir(filepath.Join(root, "internal"), func(path string, d fs.DirEntry, err error) error {
		excluded := strings.Contains(path, "/standin/") || strings.Contains(path, "/bench/")
		if err != nil || excluded || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		f, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
		if err != nil {
			return err
		}
		ast.Inspect(f, func(n ast.Node) bool {
			if name := counterOf(n); name != "" {
				names[name] = path
			}
			return true
		})
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return names
}

var (
	counterName = regexp.MustCompile(`^[a-z]+(_[a-z]+)*_?$`)
	alarmName   = regexp.MustCompile(`^alarm_[a-z_]+$`)
)

// counterOf returns the counter name that a call passes to a meter or that a
// literal spells for an alarm; empty for any other node.
func counterOf(n ast.Node) string {
	if lit, ok := n.(*ast.BasicLit); ok {
		if s := literal(lit); alarmName.MatchString(s) && s != "alarm_" {
			return s
		}
		return ""
	}
	call, ok := n.(*ast.CallExpr)
	if !ok || len(call.Args) == 0 {
		return ""
	}
	sel, ok := call.Fun.(*ast.SelectorExpr)
	if !ok || (sel.Sel.Name != "Inc" && sel.Sel.Name != "Add" && sel.Sel.Name != "Set") {
		return ""
	}
	if sum, ok := call.Args[0].(*ast.BinaryExpr); ok {
		if s := literal(sum.X); counterName.MatchString(s) {
			return s + "*"
		}
		return ""
	}
	if s := literal(call.Args[0]); counterName.MatchString(s) {
		return s
	}
	return ""
}

func literal(n ast.Node) string {
	lit, ok := n.(*ast.BasicLit)
	if !ok || lit.Kind != token.STRING {
		return ""
	}
	s, _ := strconv.Unquote(lit.Value)
	return s
}

func TestCountersPageIsComplete(t *testing.T) {
	text := readPage(t, "COUNTERS.md")
	for _, row := range fault.Table() {
		if !strings.Contains(text, "`"+row.Counter+"`") {
			t.Errorf("%s is not on the page", row.Counter)
		}
	}
	found := counters(t)
	if len(found) < 20 {
		t.Fatalf("only %d counters found", len(found))
	}
	for name, path := range found {
		if !strings.Contains(text, "`"+name+"`") {
			t.Errorf("%s, counted in %s, is not on the page", name, path)
		}
	}
}

func TestOperationsPageIsComplete(t *testing.T) {
	text := readPage(t, "OPERATIONS.md")
	all := settings.Names()
	for _, name := range config.Names() {
		if name != "accounts" {
			all = append(all, name)
		}
	}
	for name := range counters(t) {
		if strings.HasPrefix(name, "alarm_") {
			all = append(all, name)
		}
	}
	for _, name := range all {
		if !strings.Contains(text, "`"+name+"`") {
			t.Errorf("%s is not on the page", name)
		}
	}
}
