package settings_test

import (
	"reflect"
	"slices"
	"sort"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/dogwoodworks/dogwoodworks/internal/core/settings"
)

// keys returns the TOML keys of a struct's fields.
func keys(t reflect.Type, prefix string) []string {
	var all []string
	for f := range t.Fields() {
		key := prefix + f.Tag.Get("toml")
		if f.Type.Kind() == reflect.Struct && f.Type != reflect.TypeFor[settings.Duration]() {
			all = append(all, keys(f.Type, key+".")...)
			continue
		}
		all = append(all, key)
	}
	return all
}

func TestNamesMatchSettingsFields(t *testing.T) {
	is := is.New(t)
	all := keys(reflect.TypeFor[settings.Settings](), "")
	sort.Strings(all)
	is.Equal(settings.Names(), all)
}

func TestSetAndText(t *testing.T) {
	is := is.New(t)
	values := map[string]string{
		"peers.seeds": "a,b", "limits.max_body_bytes": "5", "limits.max_concurrent": "6", "limits.read_timeout": "7s", "vm_id": "x",
	}
	want := map[string]string{
		"peers.seeds": `["a", "b"]`, "limits.max_body_bytes": "5", "limits.max_concurrent": "6", "limits.read_timeout": `"7s"`, "vm_id": `"x"`,
	}
	s := settings.Default()
	for name, v := range values {
		is.NoErr(s.Set(name, v))
		is.Equal(s.Text(name), want[name])
	}
	is.True(s.Set("limits.read_timeout", "7") != nil)
	is.True(s.Set("nothing", "7") != nil)
}

func TestFindLines(t *testing.T) {
	is := is.New(t)
	l := settings.FindLines([]byte("a = 1\n[b]\nc.d = { e = 2 }\n[[f]]\n[[f]]\ng = [\n{ h = 1 }, { h = 2 }]\n"))
	for key, line := range map[string]int{
		"a": 1, "b": 2, "b.c.d.e": 3, "f": 4, "f[0]": 4, "f[1]": 5, "f[1].g": 6, "f[1].g[1].h": 7, "f[1].z": 5, "z": 0,
	} {
		is.Equal(l.Of(key), line) // the line of the key
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte("vm_id = \"a\"\n[limits]\nread_timeout = \"1s\"\n"))
	f.Fuzz(func(t *testing.T, b []byte) {
		s, problems := settings.Parse("f", b)
		lines := settings.FindLines(b)
		if len(problems) > 0 {
			return
		}
		for _, p := range s.Check("f", lines, nil) {
			if !slices.Contains(settings.Names(), strings.Split(p.Field, "[")[0]) {
				t.Fatal(p)
			}
		}
	})
}
