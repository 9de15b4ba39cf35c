package config_test

import (
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rogpeppe/go-internal/txtar"

	"github.com/dogwoodworks/dogwoodworks/internal/control/config"
	"github.com/dogwoodworks/dogwoodworks/internal/core/fault"
	"github.com/dogwoodworks/dogwoodworks/internal/core/settings"
)

// TestCheck parses the documents in the archive. Each case is a file NAME with a
// document and an optional file NAME.want with the expected problems; without it
// the document must be accepted.
func TestCheck(t *testing.T) {
	a, err := txtar.ParseFile("testdata/check.txtar")
	if err != nil {
		t.Fatal(err)
	}
	want := make(map[string]string)
	for _, f := range a.Files {
		if name, ok := strings.CutSuffix(f.Name, ".want"); ok {
			want[name] = string(f.Data)
		}
	}
	now := time.Date(2026, 6, 1, 0, 0, 0, 0, time.UTC)
	workers := []config.Worker{{"uppland-1", 8}, {"uppland-1", 8}, {"dalarna-1", 4}}
	for _, f := range a.Files {
		if strings.HasSuffix(f.Name, ".want") {
			continue
		}
		t.Run(f.Name, func(t *testing.T) {
			is := is.New(t)
			_, err := config.ParseAt(f.Name, f.Data, now, workers)
			if want[f.Name] == "" {
				is.NoErr(err)
				return
			}
			is.True(fault.Is(err, fault.BadConfig))
			is.Equal(err.Error()+"\n", want[f.Name])
		})
	}
}

// tomlKeys returns the TOML keys of a type's fields.
func tomlKeys(t reflect.Type, prefix string) []string {
	for t.Kind() == reflect.Slice || t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	if t.Kind() != reflect.Struct || t == reflect.TypeFor[settings.Duration]() || t == reflect.TypeFor[time.Time]() {
		return []string{prefix}
	}
	var all []string
	for f := range t.Fields() {
		name, _, _ := strings.Cut(f.Tag.Get("toml"), ",")
		all = append(all, tomlKeys(f.Type, strings.TrimPrefix(prefix+"."+name, "."))...)
	}
	return all
}

func TestNamesMatchDocumentKeys(t *testing.T) {
	is := is.New(t)
	all := append(tomlKeys(reflect.TypeFor[config.Document](), ""), "accounts", "accounts.guarantee")
	slices.Sort(all)
	is.Equal(config.Names(), all)
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(document("x")))
	f.Add([]byte("[[accounts]]\nid = \"a\"\nguarantee = { workers = 1 }\n[[exceptions]]\n"))
	f.Fuzz(func(t *testing.T, b []byte) {
		if _, err := config.Parse("f", b); err != nil && !fault.Is(err, fault.BadConfig) {
			t.Fatal(err)
		}
	})
}

func FuzzDecodeManifest(f *testing.F) {
	f.Add([]byte(`{"version":3,"edit_id":"x","sections":[{"name":"kinds","revision":1,"digest":"d"}]}`))
	f.Fuzz(func(_ *testing.T, b []byte) {
		_, _ = config.DecodeManifest(b)
		_, _ = config.DecodeChange(b)
	})
}
