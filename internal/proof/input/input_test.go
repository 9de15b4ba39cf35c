// Package input tests that the listeners refuse bad input and name its kind and
// field.
package input

import (
	"encoding/json"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodworks/dogwoodworks/internal/control/config"
	"github.com/dogwoodworks/dogwoodworks/internal/core/fault"
	"github.com/dogwoodworks/dogwoodworks/internal/core/jsonhttp"
	"github.com/dogwoodworks/dogwoodworks/internal/entry/caller"
	"github.com/dogwoodworks/dogwoodworks/internal/entry/operator"
	"github.com/dogwoodworks/dogwoodworks/internal/standin/fleet"
)

func TestMain(m *testing.M) { fleet.Main(m) }

const configuration = `
[[kinds]]
name = "clash_check"
class = "urgent"
idempotent = true
service = "rota"
[[kinds]]
name = "reprint"
class = "urgent"
service = "rota"
[[kinds]]
name = "season_solve"
class = "normal"
idempotent = true
[[accounts]]
id = "st-anne"
`

// TestBadInput sends the requests of a table. The columns, separated by tabs, are
// the listener, the method, the path, a header or "-", the body, and the kind and
// field of the error response. A body or a header's value is the inside of a Go
// string, or @N for N bytes.
func TestBadInput(t *testing.T) {
	f := fleet.Start(t, fleet.Spec{VMs: []fleet.VM{{ID: "a", DataCentre: "uppland-1", Region: "uppland"}}, Config: configuration})
	d := f.Daemons["a"]
	f.Until(10*time.Second, "the planner has loaded the jobs", func() bool {
		return fault.Is(d.CallerClient().Call(t.Context(), http.MethodGet, "/v1/jobs/nothing", nil, nil), fault.NotFound)
	})
	table, err := os.ReadFile("testdata/bad_input.tsv")
	if err != nil {
		t.Fatal(err)
	}
	for i, line := range strings.Split(strings.TrimSpace(string(table)), "\n") {
		if strings.HasPrefix(line, "#") {
			continue
		}
		t.Run(strconv.Itoa(i+1), func(t *testing.T) {
			is := is.New(t)
			row := strings.Split(line, "\t")
			is.Equal(len(row), 7)
			address := d.CallerAddress
			if row[0] == "operators" {
				address = d.OperatorAddress
			}
			req, err := http.NewRequest(row[1], "http://"+address+row[2], strings.NewReader(body(t, row[4])))
			is.NoErr(err)
			req.Header.Set("Authorization", "Bearer "+d.OperatorClient().Token)
			if name, value, ok := strings.Cut(row[3], ": "); ok {
				req.Header.Set(name, body(t, value))
			}
			resp, err := http.DefaultClient.Do(req)
			is.NoErr(err)
			defer func() { _ = resp.Body.Close() }()
			b, err := io.ReadAll(resp.Body)
			is.NoErr(err)
			var e jsonhttp.ErrorBody
			is.NoErr(json.Unmarshal(b, &e))
			t.Logf("%s", b)
			is.Equal(string(e.Kind), row[5])
			is.Equal(e.Field, row[6])
			is.Equal(resp.StatusCode, fault.Lookup(e.Kind).HTTPStatus)
			is.Equal(e.Outcome, fault.NotRun)
		})
	}
}

// body expands a body or a header's value of the table.
func body(t *testing.T, text string) string {
	if size, ok := strings.CutPrefix(text, "@"); ok {
		n, err := strconv.Atoi(size)
		if err != nil {
			t.Fatal(err)
		}
		return strings.Repeat("x", n)
	}
	s, err := strconv.Unquote(`"` + text + `"`)
	if err != nil {
		t.Fatal(err, text)
	}
	return s
}

// FuzzBodies decodes arbitrary input as the body of each path. An error must be
// bad_request and name a field.
func FuzzBodies(f *testing.F) {
	f.Add([]byte(`{"client_account":"a","kind":"k","payload":"eA==","timeout_ms":1}`))
	f.Add([]byte(`{"base_version":1,"edit_id":"x","author":"eva","reason":"r","toml":""}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		for _, v := range []any{&caller.RequestBody{}, &caller.JobBody{}, &config.Edit{}, &operator.CheckBody{}} {
			err := jsonhttp.DecodeBytes(b, v)
			if err != nil && (!fault.Is(err, fault.BadRequest) || fault.FieldOf(err) == "") {
				t.Fatal(err)
			}
		}
	})
}
