package settings

import (
	"bytes"
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// Lines maps the keys of a TOML file to their lines, so that a problem found
// after decoding can name its line. The zero value knows no key.
type Lines struct {
	byKey map[string]int
	// counts holds the number of elements seen of each array of tables.
	counts map[string]int
	place  *place
}

// place is a position in the file; line is that of offset.
type place struct {
	file   []byte
	offset int
	line   int
}

// lineOf returns the line of an offset, counting on from the last one.
func (p *place) lineOf(offset int) int {
	if offset < p.offset {
		p.offset, p.line = 0, 1
	}
	p.line += bytes.Count(p.file[p.offset:offset], []byte{'\n'})
	p.offset = offset
	return p.line
}

// FindLines returns the lines of the keys of a TOML file. A key is written
// with dots and indices, such as "exceptions[1].reason". Keys after a syntax
// error are unknown.
func FindLines(b []byte) Lines {
	l := Lines{byKey: make(map[string]int), counts: make(map[string]int), place: &place{file: b, line: 1}}
	var p unstable.Parser
	p.Reset(b)
	prefix := ""
	for p.NextExpression() {
		n := p.Expression()
		switch n.Kind {
		case unstable.Table:
			prefix = l.tableKey(n)
		case unstable.ArrayTable:
			prefix = l.elementKey(n)
		case unstable.KeyValue:
			l.addKeyValue(prefix, n)
		}
	}
	return l
}

// Of returns the line of a key, or of the nearest table that holds it, and 0
// when neither is known.
func (l Lines) Of(key string) int {
	for key != "" {
		if line, ok := l.byKey[key]; ok {
			return line
		}
		i := strings.LastIndexAny(key, ".[")
		if i < 0 {
			return 0
		}
		key = key[:i]
	}
	return 0
}

// Has reports whether the file has a key.
func (l Lines) Has(key string) bool {
	_, ok := l.byKey[key]
	return ok
}

func (l Lines) add(key string, n *unstable.Node) {
	if _, ok := l.byKey[key]; !ok {
		l.byKey[key] = l.place.lineOf(int(n.Raw.Offset))
	}
}

// tableKey records a table's header and returns the table's key.
func (l Lines) tableKey(n *unstable.Node) string {
	key := ""
	for it := n.Key(); it.Next(); {
		key = l.latest(join(key, string(it.Node().Data)))
		l.add(key, it.Node())
	}
	return key
}

// elementKey records the header of an element of an array of tables and
// returns the element's key.
func (l Lines) elementKey(n *unstable.Node) string {
	key := ""
	for it := n.Key(); it.Next(); {
		part := join(key, string(it.Node().Data))
		if !it.IsLast() {
			key = l.latest(part)
			continue
		}
		l.add(part, it.Node())
		l.counts[part]++
		key = l.latest(part)
		l.add(key, it.Node())
	}
	return key
}

// latest appends the index of the last element when key is an array of tables.
func (l Lines) latest(key string) string {
	if n := l.counts[key]; n > 0 {
		return fmt.Sprintf("%s[%d]", key, n-1)
	}
	return key
}

func (l Lines) addKeyValue(prefix string, n *unstable.Node) {
	key := prefix
	for it := n.Key(); it.Next(); {
		key = join(key, string(it.Node().Data))
		l.add(key, it.Node())
	}
	l.addValue(key, n.Value())
}

func (l Lines) addValue(key string, n *unstable.Node) {
	i := 0
	for it := n.Children(); it.Next(); {
		switch {
		case n.Kind == unstable.InlineTable:
			l.addKeyValue(key, it.Node())
		case n.Kind == unstable.Array && it.Node().Kind != unstable.Comment:
			l.addValue(fmt.Sprintf("%s[%d]", key, i), it.Node())
			i++
		}
	}
}

func join(prefix, name string) string {
	if prefix == "" {
		return name
	}
	return prefix + "." + name
}
