package config_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/dogwoodworks/dogwoodworks/internal/control/config"
	"github.com/dogwoodworks/dogwoodworks/internal/standin/memory"
)

// document returns a configuration with one exception per name. The exception of a
// name that starts with "@" is in the account's section.
func document(names ...string) string {
	text := "[[accounts]]\nid = \"st-anne\"\n"
	for _, n := range names {
		account := ""
		if strings.HasPrefix(n, "@") {
			account = ", account = \"st-anne\""
		}
		text += fmt.Sprintf("[[exceptions]]\nreason = %q\nscope = { target = %q%s }\nset = { cordon = true }\n", n, n, account)
	}
	return text
}

func reasons(d config.Document) []string {
	var all []string
	for _, e := range d.Exceptions {
		all = append(all, e.Reason)
	}
	return all
}

// edit adds an exception to the configuration in force at a VM.
func edit(v *memory.VM, id, name string) (config.Head, error) {
	h := v.Current()
	e := config.Edit{BaseVersion: h.Version, EditID: id, Author: "eva", Reason: name, TOML: document(append(reasons(h.Document), name)...)}
	return v.Apply(context.Background(), e, time.Now())
}

func mustEdit(t *testing.T, v *memory.VM, name string) config.Head {
	t.Helper()
	h, err := edit(v, name, name)
	if err != nil {
		t.Fatal(err)
	}
	return h
}
