// Package variants runs a site file on the users' bench with one value changed at a
// time, to find constants of the product that suit only the given deployments.
package variants

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2"

	"github.com/dogwoodworks/dogwoodworks/internal/core/fault"
)

// Variant changes one value of a site file.
type Variant struct {
	Name string
	// Section is the table that contains the value; empty for the lines before
	// the first table.
	Section string
	// Key is the name of the value. All values of that name in the section change.
	Key string
	// Value replaces the value. If it is empty, the value is multiplied by Factor.
	Value  string
	Factor float64
}

// List is a list of variants and of the days that are run for each.
type List struct {
	Days    []string
	Variant []Variant
}

// Read reads a list from a TOML file. It returns a BadSettings error if the file
// cannot be read or decoded, or if a variant is incomplete.
func Read(path string) (*List, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, fault.Wrap(fault.BadSettings, err, "read variants")
	}
	var l List
	if err := toml.Unmarshal(b, &l); err != nil {
		return nil, fault.Wrap(fault.BadSettings, err, "decode %s", path)
	}
	for _, v := range l.Variant {
		if v.Name == "" || v.Key == "" || (v.Value == "") == (v.Factor == 0) {
			return nil, fault.WithField(fault.BadSettings, v.Name, "needs a name, a key, and a value or a factor")
		}
	}
	return &l, nil
}

// Apply returns the text of a site file with the variant's value changed. Lines
// from the first array of tables on (the days) stay as they are. It returns a
// BadSettings error if the section does not contain the key.
func (v *Variant) Apply(site string) (string, error) {
	key := regexp.MustCompile(`\b` + regexp.QuoteMeta(v.Key) + ` = ("[^"]*"|[0-9.]+|true|false)`)
	var out strings.Builder
	section, changed, inDays := "", 0, false
	lines := bufio.NewScanner(strings.NewReader(site))
	lines.Buffer(nil, len(site)+1)
	for lines.Scan() {
		line := lines.Text()
		inDays = inDays || strings.HasPrefix(line, "[[")
		if name, ok := strings.CutPrefix(line, "["); ok && !inDays {
			section = strings.TrimSuffix(name, "]")
		}
		if !inDays && section == v.Section {
			line = key.ReplaceAllStringFunc(line, func(s string) string {
				changed++
				return v.replace(s)
			})
		}
		out.WriteString(line + "\n")
	}
	if changed == 0 {
		return "", fault.WithField(fault.BadSettings, v.Name, "[%s] has no %s", v.Section, v.Key)
	}
	return out.String(), lines.Err()
}

func (v *Variant) replace(assignment string) string {
	if v.Value != "" {
		return v.Key + " = " + v.Value
	}
	number := strings.TrimPrefix(assignment, v.Key+" = ")
	n, err := strconv.ParseFloat(number, 64)
	if err != nil {
		return assignment
	}
	if strings.Contains(number, ".") {
		return v.Key + " = " + strconv.FormatFloat(n*v.Factor, 'f', 3, 64)
	}
	return v.Key + " = " + strconv.FormatFloat(n*v.Factor, 'f', 0, 64)
}

// BenchRunner runs variants of a site on the users' bench. Its fields are set before use.
type BenchRunner struct {
	// Bench is the path of the bench program, Site that of the site file, and
	// Repository the directory in which the bench runs.
	Bench, Site, Repository string
	// Scratch is a directory for the changed site files.
	Scratch string
	// Out receives a Markdown table with a row for each run.
	Out io.Writer
}

// RunAll runs all variants of a list on each of its days, and returns the number of
// runs that broke a rule.
func (p *BenchRunner) RunAll(ctx context.Context, l *List) (broken int, err error) {
	site, err := os.ReadFile(p.Site)
	if err != nil {
		return 0, fault.Wrap(fault.BadSettings, err, "read the site")
	}
	if _, err := fmt.Fprintln(p.Out, "| variant | day | worth | rules broken |\n|---|---|---|---|"); err != nil {
		return 0, err
	}
	for i := range l.Variant {
		v := &l.Variant[i]
		changed, err := v.Apply(string(site))
		if err != nil {
			return broken, err
		}
		path, err := p.writeSite(v.Name, changed)
		if err != nil {
			return broken, err
		}
		for _, day := range l.Days {
			r, err := p.runDay(ctx, path, day)
			if err != nil {
				return broken, err
			}
			if r.brokenRules != "none" {
				broken++
			}
			if _, err := fmt.Fprintf(p.Out, "| %s | %s | %s | %s |\n", v.Name, day, r.worth, r.brokenRules); err != nil {
				return broken, err
			}
		}
	}
	return broken, nil
}

// writeSite writes a changed site file into a directory of its own, beside copies of the
// files that the bench expects there, and returns its path.
func (p *BenchRunner) writeSite(name, site string) (string, error) {
	dir := filepath.Join(p.Scratch, strings.ReplaceAll(name, " ", "_"))
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return "", fault.Wrap(fault.Internal, err, "make a scratch directory")
	}
	base := filepath.Base(p.Site)
	for _, companion := range []string{"wire.json", "CUT", strings.TrimSuffix(base, ".toml") + ".days"} {
		b, err := os.ReadFile(filepath.Join(filepath.Dir(p.Site), companion))
		if err != nil {
			return "", fault.Wrap(fault.BadSettings, err, "read a file that belongs to the site")
		}
		if err := os.WriteFile(filepath.Join(dir, companion), b, 0o600); err != nil {
			return "", fault.Wrap(fault.Internal, err, "write a scratch file")
		}
	}
	path := filepath.Join(dir, base)
	return path, os.WriteFile(path, []byte(site), 0o600)
}

// result is what the bench reports about a run.
type result struct {
	worth, brokenRules string
}

func (p *BenchRunner) runDay(ctx context.Context, site, day string) (result, error) {
	cmd := exec.CommandContext(ctx, p.Bench, "run", site, day)
	cmd.Dir = p.Repository
	b, err := cmd.CombinedOutput()
	if err != nil {
		return result{}, fault.Wrap(fault.Internal, err, "run day %s of %s: %s", day, site, LastLine(b))
	}
	return readResult(string(b)), nil
}

// LastLine returns the last line of a program's output.
func LastLine(b []byte) string {
	lines := strings.Split(strings.TrimSpace(string(b)), "\n")
	return lines[len(lines)-1]
}

var (
	worthPattern       = regexp.MustCompile(`(?m)^worth +(-?[0-9.]+)`)
	brokenRulesPattern = regexp.MustCompile(`BROKEN: ([^(\n]*)`)
)

// readResult parses the report of a run. A missing worth is "?".
func readResult(report string) result {
	r := result{worth: "?", brokenRules: "none"}
	if m := worthPattern.FindStringSubmatch(report); m != nil {
		r.worth = m[1]
	}
	if m := brokenRulesPattern.FindStringSubmatch(report); m != nil {
		r.brokenRules = strings.TrimSpace(m[1])
	}
	return r
}
