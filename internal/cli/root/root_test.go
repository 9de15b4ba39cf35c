package root_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/dogwoodworks/dogwoodworks/internal/cli/factory"
	"github.com/dogwoodworks/dogwoodworks/internal/cli/root"
	"github.com/dogwoodworks/dogwoodworks/internal/core/fault"
)

// run runs a command against a server that returns the response of each path.
func run(answers map[string]string, args ...string) (code int, out, errOut string) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, answers[r.URL.Path])
	}))
	defer s.Close()
	var o, e bytes.Buffer
	f := &factory.Factory{
		Out: &o, Err: &e, Terminal: true, HTTP: s.Client(),
		ReadFile: func(name string) ([]byte, error) {
			if name != "file" {
				return nil, os.ErrNotExist
			}
			return []byte("token"), nil
		},
		Getenv: func(name string) string {
			return map[string]string{
				"DOGWOOD_OPERATOR_ADDRESS": strings.TrimPrefix(s.URL, "http://"), "DOGWOOD_TOKEN_FILE": "file",
			}[name]
		},
	}
	code = root.Run(context.Background(), f, args)
	return code, o.String(), e.String()
}

func TestConfigApplyListsVMsNotInForce(t *testing.T) {
	is := is.New(t)
	answers := map[string]string{
		"/v1/config": `{"version":4}`, "/v1/config/spread": `{"version":4,"in_force":["a"],"behind":["b"],"unreachable":["c"]}`,
	}
	apply := func(args ...string) (int, string, string) {
		return run(answers, append([]string{"config", "apply", "--author", "eva", "--reason", "r", "file"}, args...)...)
	}
	code, _, errOut := apply("--wait=500ms")
	is.Equal(code, fault.ExitUnknown)
	is.True(strings.Contains(errOut, "version 4 was accepted; not in force on b, c"))
	answers["/v1/config/spread"] = `{"version":4,"in_force":["a","b"],"unreachable":["c"]}`
	code, out, errOut := apply("--wait")
	is.Equal(code, fault.ExitOK)
	is.Equal(out, "version 4\n")
	is.Equal(errOut, "cannot be reached: c\n")
}

func TestTableHasHeaderOnTerminal(t *testing.T) {
	is := is.New(t)
	answers := map[string]string{"/v1/targets": `{"targets":[{"id":"r1","role":"runner","data_centre":"uppland-1","service":"rota"}]}`}
	_, out, _ := run(answers, "target", "list")
	is.Equal(out, "ID  ROLE    DATA CENTRE  SERVICE OR RACK  SIZE  IN USE  LEAVING  EJECTED\nr1  runner  uppland-1    rota             0     0       false    false\n")
}
