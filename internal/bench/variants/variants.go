// Package variants plays a site file of the users' bench with one value changed at a
// time, to find constants of the product that fit only the given deployments.
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
	// Section is the table that holds the value; empty for the lines before the
	// first table.
	Section string
	// Key is the name of the value. Every value of that name in the section changes.
	Key string
	// Value replaces the value when it is not empty; else it is multiplied by Factor.
	Value  string
	Factor float64
}

// List is a list of variants and of the days on which each is played.
type List struct {
	Days    []string
	Variant []Variant
}

// Read reads a list.
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

// Apply returns a site file with the variant's value changed, up to its first day.
func (v *Variant) Apply(site string) (string, error) {
	key := regexp.MustCompile(`\b` + regexp.QuoteMeta(v.Key) + ` = ("[^"]*"|[0-9.]+|true|false)`)
	var out strings.Builder
	section, changed, days := "", 0, false
	lines := bufio.NewScanner(strings.NewReader(site))
	lines.Buffer(nil, len(site)+1)
	for lines.Scan() {
		line := lines.Text()
		days = days || strings.HasPrefix(line, "[[")
		if name, ok := strings.CutPrefix(line, "["); ok && !days {
			section = strings.TrimSuffix(name, "]")
		}
		if !days && section == v.Section {
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

// Player plays variants of a site. Its fields are set before use.
type Player struct {
	// Bench is the users' bench, Site the site file and Repository where the bench runs.
	Bench, Site, Repository string
	// Scratch is a directory for the changed site files.
	Scratch string
	// Out gets a row of a table for each play.
	Out io.Writer
}

// Play plays all variants of a list, and returns the number of plays that broke a rule.
func (p *Player) Play(ctx context.Context, l *List) (broken int, err error) {
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
		path, err := p.write(v.Name, changed)
		if err != nil {
			return broken, err
		}
		for _, day := range l.Days {
			r, err := p.run(ctx, path, day)
			if err != nil {
				return broken, err
			}
			if r.broken != "none" {
				broken++
			}
			if _, err := fmt.Fprintf(p.Out, "| %s | %s | %s | %s |\n", v.Name, day, r.worth, r.broken); err != nil {
				return broken, err
			}
		}
	}
	return broken, nil
}

// write puts a changed site file where the bench finds what belongs to it.
func (p *Player) write(name, site string) (string, error) {
	dir := filepath.Join(p.Scratch, strings.ReplaceAll(name, " ", "_"))
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return "", fault.Wrap(fault.Internal, err, "make a scratch directory")
	}
	base := filepath.Base(p.Site)
	for _, beside := range []string{"wire.json", "CUT", strings.TrimSuffix(base, ".toml") + ".days"} {
		b, err := os.ReadFile(filepath.Join(filepath.Dir(p.Site), beside))
		if err != nil {
			return "", fault.Wrap(fault.BadSettings, err, "read what belongs to the site")
		}
		if err := os.WriteFile(filepath.Join(dir, beside), b, 0o600); err != nil {
			return "", fault.Wrap(fault.Internal, err, "write a scratch file")
		}
	}
	path := filepath.Join(dir, base)
	return path, os.WriteFile(path, []byte(site), 0o600)
}

// result is what a play showed.
type result struct {
	worth, broken string
}

func (p *Player) run(ctx context.Context, site, day string) (result, error) {
	cmd := exec.CommandContext(ctx, p.Bench, "run", site, day)
	cmd.Dir = p.Repository
	b, err := cmd.CombinedOutput()
	if err != nil {
		return result{}, fault.Wrap(fault.Internal, err, "play %s of %s: %s", day, site, lastLine(b))
	}
	return readResult(string(b)), nil
}

func lastLine(b []byte) string {
	lines := strings.Split(strings.TrimSpace(string(b)), "\n")
	return lines[len(lines)-1]
}

var (
	worthText  = regexp.MustCompile(`(?m)^worth +(-?[0-9.]+)`)
	brokenText = regexp.MustCompile(`BROKEN: ([^(\n]*)`)
)

// readResult reads the report of a play.
func readResult(report string) result {
	r := result{worth: "?", broken: "none"}
	if m := worthText.FindStringSubmatch(report); m != nil {
		r.worth = m[1]
	}
	if m := brokenText.FindStringSubmatch(report); m != nil {
		r.broken = strings.TrimSpace(m[1])
	}
	return r
}
