package settings

import (
	"bytes"
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// Lines maps the keys of a TOML file to their lines, so that a problem found
// after decoding can be reported with its line. The zero value has no keys.
type Lines struct {
	byKey map[string]int
	// counts is the number of elements found so far of each array of tables.
	counts   map[string]int
	position *position
}

// position is a byte offset in the file with its line.
type position struct {
	file   []byte
	offset int
	line   int
}

// lineOf returns the line of an offset. It counts from the previous offset, or
// from the start of the file for an earlier one.
func (p *position) lineOf(offset int) int {
	if offset < p.offset {
		p.offset, p.line = 0, 1
	}
	p.line += bytes.Count(p.file[p.offset:offset], []byte{'\n'})
	p.offset = offset
	return p.line
}

// FindLines returns the lines of the keys of a TOML file. A key is a path with
// dots and indices, such as "exceptions[1].reason". Keys after a syntax error
// are missing.
func FindLines(b []byte) Lines {
	l := Lines{byKey: make(map[string]int), counts: make(map[string]int), position: &position{file: b, line: 1}}
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

// Of returns the line of a key or, if the file does not have it, of the nearest
// enclosing table or array. It returns 0 if the file has neither.
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
		l.byKey[key] = l.position.lineOf(int(n.Raw.Offset))
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

// latest returns the key of the last element found so far if key is an array of
// tables, and key otherwise.
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
