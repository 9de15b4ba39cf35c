package flood

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/dogwoodworks/dogwoodworks/internal/standin/wire"
	"github.com/dogwoodworks/dogwoodworks/internal/standin/world"
)

type object = map[string]any

var platformCount atomic.Int32

const (
	platformHead     = "POST /u/%s HTTP/1.1\r\nHost: jobs.test\r\nX-Api-Key: k1\r\n"
	patientHead      = platformHead + "X-Deadline-Milliseconds: 60000\r\n"
	platformSettings = `node_name = "vm0"
ip_address = "%[1]s"
zone = "z"
region = "r"
internal_ports = [18624, 18624]
heartbeat_interval_ms = 500
seeds = []
[listen]
front = "%[1]s:18621"
readiness = "%[1]s:18623"
[limits]
cpu_share = 1
cores = 1
memory_mb = %[2]d
file_descriptors = %[3]d
[bounds]
max_hold_ms = 6000
stable_window_ms = 4000
gang_timeout_ms = 3000
config_apply_ms = 2500
grace_period_s = 6
[platform]
address = "%[4]s"
`
)

func fatal(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// jobBody returns a job whose body is padded to a size.
func jobBody(size int) []byte {
	const job = `{"specification":"x","steps":[{"count":1,"cpu":1000,"requested_memory_mb":64,"gpu":1,"estimated_ms":300}]}`
	return []byte(job + strings.Repeat(" ", max(0, size-len(job))))
}

// startPlatform starts one daemon on the platform and returns its address.
func startPlatform(t *testing.T) (*target, string) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	w := world.New(1, 4, world.Bounds{MaxLease: 6 * time.Second, StopTimeout: 300 * time.Millisecond, GangTimeout: 3 * time.Second})
	go w.Run(ctx)
	platform := &wire.Wire{World: w, PageSize: 500}
	t.Cleanup(platform.Close)
	fatal(t, platform.Listen([]string{"w0", "w1", "w2", "w3"}))
	go func() { _ = platform.Heartbeats(ctx) }()
	configuration, err := json.Marshal(object{
		"version": 1, "services": []object{{"name": "svc"}}, "limits": object{"max_body_bytes": bodyBytes},
		"routes":  []object{{"name": "urgent", "host": "jobs.test", "prefix": "/u/", "service": "svc", "priority": 0, "max_attempts": 3, "stretch": 1.5, "target_latency_ms": 500}},
		"tenants": []object{{"name": "acme", "api_keys": []string{"k1"}, "guaranteed": object{"gpu": 0}}},
	})
	fatal(t, err)
	w.Store.Put(wire.ConfigKey, configuration)
	ip := fmt.Sprintf("127.%d.%d.1", 64+os.Getpid()%128, 100+platformCount.Add(1))
	file := filepath.Join(t.TempDir(), "vm0.toml")
	fatal(t, os.WriteFile(file, fmt.Appendf(nil, platformSettings, ip, memoryMB, files, platform.StoreAddress), 0o600))
	cmd := exec.Command(os.Args[0], "platform", "--node-file", file)
	cmd.Env = append(os.Environ(), daemonVariable+"=1")
	var log bytes.Buffer
	cmd.Stdout, cmd.Stderr = &log, &log
	fatal(t, cmd.Start())
	t.Cleanup(func() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
		if t.Failed() {
			t.Logf("end of the daemon's log:\n%s", log.Bytes()[max(0, log.Len()-4000):])
		}
	})
	client := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	var submitted atomic.Int64
	return &target{pid: cmd.Process.Pid, ordinary: func() (int, error) {
		r, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s:18621/u/%016x", ip, 1000+submitted.Add(1)), bytes.NewReader(jobBody(0)))
		if err != nil {
			return 0, err
		}
		r.Host = "jobs.test"
		r.Header.Set("X-Api-Key", "k1")
		resp, err := client.Do(r)
		if err != nil {
			return 0, err
		}
		_ = resp.Body.Close()
		return resp.StatusCode, nil
	}}, ip
}

// TestPlatformSurvivesFlood guards against a process that runs out of memory or
// descriptors because of requests that never end, at any of its listeners.
func TestPlatformSurvivesFlood(t *testing.T) {
	for _, l := range []struct {
		name string
		port int
		path string
		all  bool
	}{
		{"callers", 18621, "", true},
		{"peers", 18624, "/dogwoodworks.node.v1.NodeService/SubmitJob", false},
		{"readiness", 18623, "/v1/readiness", false},
		{"metrics", 9464, "/metrics", false},
	} {
		head := fmt.Sprintf(patientHead, "00000000000000ff")
		if l.path != "" {
			head = "POST " + l.path + " HTTP/1.1\r\nHost: vm\r\nContent-Type: application/proto\r\n"
		}
		for kind, request := range kinds(head) {
			if !l.all && kind != "header_lines" && kind != "bodies" {
				continue
			}
			t.Run(l.name+"/"+kind, func(t *testing.T) {
				x, ip := startPlatform(t)
				x.run(t, fmt.Sprintf("%s:%d", ip, l.port), request)
			})
		}
	}
}

// TestPlatformServesLegalRequest guards against limits that refuse a request within the
// limits when there is no other load.
func TestPlatformServesLegalRequest(t *testing.T) {
	x, ip := startPlatform(t)
	x.awaitAnswer(t)
	for i, p := range legal(platformHead, jobBody(0), jobBody) {
		t.Run(p.name, func(t *testing.T) {
			p.request = bytes.Replace(p.request, []byte("%s"), fmt.Appendf(nil, "%016x", i+1), 1)
			p.send(t, ip+":18621")
		})
	}
}
