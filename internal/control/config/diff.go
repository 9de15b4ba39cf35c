package config

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// maxDiffLines bounds the length of a diff.
const maxDiffLines = 40

// diff returns the values that differ between two versions, one per line. When
// base is nil, because the base version is no longer in memory, it returns only
// the names of the sections that changed since the version.
func diff(base, s *snapshot, since uint64) string {
	var lines []string
	for _, r := range s.manifest.Sections {
		if r.Revision <= since {
			continue
		}
		if base == nil {
			lines = append(lines, r.Name+" changed")
			continue
		}
		lines = append(lines, diffSection(r.Name, base.bodies[r.Name], s.bodies[r.Name])...)
	}
	if extra := len(lines) - maxDiffLines; extra > 0 {
		lines = append(lines[:maxDiffLines], fmt.Sprintf("and %d more", extra))
	}
	return strings.Join(lines, "\n")
}

func diffSection(name string, before, after []byte) []string {
	a, b := flatten(before), flatten(after)
	all := maps.Clone(a)
	maps.Copy(all, b)
	var lines []string
	for _, key := range slices.Sorted(maps.Keys(all)) {
		old, had := a[key]
		now, has := b[key]
		switch {
		case !had:
			lines = append(lines, fmt.Sprintf("+ %s%s = %s", name, key, now))
		case !has:
			lines = append(lines, fmt.Sprintf("- %s%s = %s", name, key, old))
		case old != now:
			lines = append(lines, fmt.Sprintf("~ %s%s = %s, was %s", name, key, now, old))
		}
	}
	return lines
}

// flatten returns the values of a JSON text by their paths.
func flatten(b []byte) map[string]string {
	values := make(map[string]string)
	var v any
	if len(b) > 0 && json.Unmarshal(b, &v) == nil {
		flattenInto(values, "", v)
	}
	return values
}

func flattenInto(values map[string]string, path string, v any) {
	switch x := v.(type) {
	case map[string]any:
		for name, e := range x {
			flattenInto(values, path+"."+name, e)
		}
	case []any:
		for i, e := range x {
			flattenInto(values, fmt.Sprintf("%s[%d]", path, i), e)
		}
	default:
		text, _ := json.Marshal(x)
		values[path] = string(text)
	}
}
