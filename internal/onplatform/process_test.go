package onplatform

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var binaries string

func TestMain(m *testing.M) { os.Exit(withBinaries(m)) }

func withBinaries(m *testing.M) int {
	dir, err := os.MkdirTemp("", "eelgrass-platform")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	build := exec.Command("go", "build", "-o", dir+string(filepath.Separator), "eelgrasshollow/cmd/eelgrass-entry", "eelgrasshollow/cmd/eelgrass-control")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build the daemons: %v\n%s", err, out)
		return 1
	}
	binaries = dir
	return m.Run()
}

// Ports are the same on all VMs; each VM has a loopback address of its own.
const (
	peerPort, callerPort, readyPort, lookupPort, operatorPort, listPort, metricsPort = 27600, 28606, 28605, 28603, 28608, 28601, 27601
	// patience bounds every wait of the test; nothing is measured by it.
	patience = 30 * time.Second
)

// deployment is a few real daemons with a stand-in for the platform's list and a service.
type deployment struct {
	t        testing.TB
	slack    int
	dir, net string // folder and the first three parts of the VMs' addresses
	vms      map[string]*exec.Cmd
	logs     map[string]*output
}

// output collects what a process writes.
type output struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (o *output) Write(p []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.buf.Write(p)
}

func (o *output) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.buf.String()
}

func (d *deployment) ip(n int) string { return fmt.Sprintf("%s.%d", d.net, n) }

func (d *deployment) at(n, port int) string { return fmt.Sprintf("%s:%d", d.ip(n), port) }

func (d *deployment) settings(name string, n int, first bool, graceS float64) string {
	s := map[string]any{
		"nodeName": name, "ip": d.ip(n), "zone": "a", "region": "r", "internalPorts": []int{peerPort, peerPort + 15},
		"seeds": []string{d.at(1, operatorPort), d.at(2, operatorPort), d.at(3, operatorPort)}, "bootstrap": first,
		"limits": map[string]any{"memoryMb": 200}, "cloudApi": map[string]any{"address": d.at(200, listPort), "ratePerS": 40, "maxLagMs": 100},
		"bounds": map[string]any{"graceS": graceS, "leaseMs": 1000, "retryBudgetRatio": 0.2, "retryBudgetExtra": 50, "budgetWindowS": 10,
			"quotaOvershoot": 0.1, "quotaSlack": d.slack, "quotaWindowS": 8, "ttl_max_s": 5},
		"listen": map[string]any{"control": d.at(n, operatorPort)},
	}
	if strings.HasPrefix(name, "core") {
		s["dataDir"] = filepath.Join(d.dir, name)
	} else {
		s["listen"] = map[string]any{"front": d.at(n, callerPort), "readyAddr": d.at(n, readyPort), "directory": d.at(n, lookupPort)}
	}
	text, err := json.Marshal(s)
	assert.NilError(d.t, err)
	path := filepath.Join(d.dir, name+".json")
	assert.NilError(d.t, os.WriteFile(path, text, 0o600))
	return path
}

func (d *deployment) start(name string, n int, first bool) {
	program := "eelgrass-entry"
	if strings.HasPrefix(name, "core") {
		program = "eelgrass-control"
		assert.NilError(d.t, os.MkdirAll(filepath.Join(d.dir, name), 0o700))
	}
	cmd := exec.Command(filepath.Join(binaries, program), "--metrics-port", strconv.Itoa(metricsPort))
	cmd.Env = append(os.Environ(), "EELGRASSHOLLOW_CONFIG="+d.settings(name, n, first, 6))
	log := d.logs[name]
	if log == nil {
		log = &output{}
		d.logs[name] = log
	}
	cmd.Stdout, cmd.Stderr = log, log
	assert.NilError(d.t, cmd.Start())
	d.vms[name] = cmd
}

func (d *deployment) kill(name string) {
	assert.NilError(d.t, d.vms[name].Process.Kill())
	_ = d.vms[name].Wait() // it was killed
	delete(d.vms, name)
}

// eventually polls until f holds.
func (d *deployment) eventually(what string, f func() bool) {
	d.t.Helper()
	if !d.within(patience, f) {
		d.t.Fatalf("not in time: %s", what)
	}
}

func (d *deployment) within(bound time.Duration, f func() bool) bool {
	for end := time.Now().Add(bound); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if f() {
			return true
		}
	}
	return false
}

// ask makes one call on a connection of its own; status 0 says that none came back.
func ask(method, url, host, body string, header http.Header) (int, string) {
	request, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	request.Close = true
	for name, values := range header {
		request.Header[name] = values
	}
	if host != "" {
		request.Host = host
	}
	client := http.Client{Timeout: 3 * time.Second}
	response, err := client.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err.Error()
	}
	return response.StatusCode, string(text)
}

func (d *deployment) put(n, version int, prefix string) bool {
	config := fmt.Sprintf(`{"version":%d,"routes":[{"name":"r","host":"h.example","pathPrefix":"%s","kind":"non_idempotent","timeoutMs":2000,"targetLatencyMs":300,
	 "service":"app","maxAttempts":1,"public":false}],"services":[{"name":"app","healthPath":"/health","maxConns":9}],"limits":{"maxBodyBytes":1000},
	 "tenants":[{"name":"acc","apiKeys":["key"],"unit":"token_count","plainTokens":1,"ratePerS":100000,"burst":100000}]}`, version, prefix)
	status, _ := ask("POST", "http://"+d.at(n, operatorPort)+"/v1/config/put", "", config, nil)
	return status == http.StatusOK
}

func (d *deployment) call(n int, path string) (int, string) {
	return ask("POST", "http://"+d.at(n, callerPort)+path, "h.example", "order", http.Header{
		"X-Request-Id": {fmt.Sprint("id-", time.Now().UnixNano())}, "X-Deadline-Ms": {"2000"}, "Authorization": {"Bearer key"},
	})
}

// shows expects lines among a VM's metrics.
func (d *deployment) shows(n int, want ...string) {
	d.t.Helper()
	status, text := ask("GET", "http://"+d.at(n, metricsPort)+"/metrics", "", "", nil)
	assert.Equal(d.t, status, http.StatusOK)
	for _, w := range want {
		assert.Assert(d.t, strings.Contains(text, "\n"+w), "%s is not shown by VM %d", w, n)
	}
}

// serve runs a stand-in until the test ends.
func (d *deployment) serve(address string, h http.HandlerFunc) {
	l, err := net.Listen("tcp", address)
	assert.NilError(d.t, err)
	server := &http.Server{Handler: h, ReadHeaderTimeout: patience}
	go func() { _ = server.Serve(l) }() // it ends with Close
	d.t.Cleanup(func() { _ = server.Close() })
}

// newDeployment has one server that answers with the account.
func newDeployment(t testing.TB) *deployment {
	d := emptyDeployment(t, 1000)
	d.serve(d.at(200, listPort), func(w http.ResponseWriter, _ *http.Request) {
		_, _ = fmt.Fprintf(w, `{"instances":[{"id":"i-1","service":"app","address":"%s","zone":"a","slots":6,"state":"ready"}],"nextToken":null}`, d.at(201, listPort))
	})
	d.serve(d.at(201, listPort), func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		w.Header().Set("X-Response-Stamp", "stamp")
		_, _ = io.WriteString(w, r.Header.Get("X-Tenant"))
	})
	return d
}

// emptyDeployment has no list and no servers; slack is what accounts may get beyond their grants.
func emptyDeployment(t testing.TB, slack int) *deployment {
	const octet = 250
	d := &deployment{t: t, slack: slack, dir: t.TempDir(), vms: map[string]*exec.Cmd{}, logs: map[string]*output{},
		net: fmt.Sprintf("127.%d.%d", 1+os.Getpid()/octet%octet, 1+os.Getpid()%octet)}
	t.Cleanup(func() {
		for name := range d.vms {
			d.kill(name)
		}
		if t.Failed() {
			for name, log := range d.logs {
				t.Logf("%s:\n%s", name, log)
			}
		}
	})
	return d
}

// The real daemons, found from seeds alone, through the faults that played days have shown.
func TestDaemonsOnThePlatform(t *testing.T) {
	d := newDeployment(t)
	for n := 1; n <= 3; n++ {
		d.start(fmt.Sprint("core-", n), n, true)
	}
	d.start("entry-1", 11, true)
	d.start("entry-2", 12, true)
	d.eventually("a configuration is acknowledged", func() bool { return d.put(1, 1, "/a/") })
	served := func(n int, path string) func() bool {
		return func() bool {
			status, body := d.call(n, path)
			return status == http.StatusOK && body == "acc"
		}
	}
	d.eventually("both VMs serve", func() bool { return served(11, "/a/x")() && served(12, "/a/x")() })
	d.eventually("both are named to callers", func() bool {
		_, body := ask("GET", "http://"+d.at(11, lookupPort)+"/v1/resolve?name=h.example&region=r&zone=a", "", "", nil)
		return strings.Contains(body, d.at(11, callerPort)) && strings.Contains(body, d.at(12, callerPort))
	})

	d.shows(11, "eelgrass_gateway_requests_total", "eelgrass_gateway_queue_seconds_count", "eelgrass_view_age_seconds",
		"eelgrass_view_config_version 1", "eelgrass_view_servers 1", "eelgrass_view_vms 2", "eelgrass_grant_tokens_left{client_account=\"acc\"}",
		"eelgrass_gateway_retry_budget_left{service=\"app\"}", "eelgrass_log_lines_dropped_total 0")
	for n := 1; n <= 3; n++ {
		d.shows(n, "eelgrass_control_term", "eelgrass_control_leading", "eelgrass_control_commit_seconds_count", "eelgrass_control_list_age_seconds")
	}

	// A core VM comes back with an empty disk, then another one is killed: what was
	// acknowledged stays, and changes go on.
	d.kill("core-3")
	assert.NilError(t, os.RemoveAll(filepath.Join(d.dir, "core-3")))
	d.start("core-3", 3, false)
	read := func(n int) string {
		_, body := ask("GET", "http://"+d.at(n, operatorPort)+"/v1/config/get", "", "", nil)
		return body
	}
	d.eventually("the empty VM has the configuration", func() bool { return strings.Contains(read(3), `"version":1`) })
	d.eventually("it votes, and its old self is gone", func() bool {
		return strings.Contains(d.logs["core-1"].String()+d.logs["core-2"].String(), "member taken out")
	})
	d.kill("core-1")
	d.eventually("a change without the first VM", func() bool { return d.put(2, 2, "/b/") })
	d.eventually("the change is in force", served(11, "/b/x"))
	status, _ := d.call(11, "/a/x")
	assert.Equal(t, status, http.StatusNotFound)

	// SIGHUP while a VM stops must not end it: it answers on and ends by itself.
	stopping := d.vms["entry-1"]
	assert.NilError(t, stopping.Process.Signal(syscall.SIGTERM))
	d.eventually("it is not ready any more", func() bool {
		status, _ := ask("GET", "http://"+d.at(11, readyPort)+"/v1/ready", "", "", nil)
		return status == http.StatusServiceUnavailable
	})
	assert.NilError(t, stopping.Process.Signal(syscall.SIGHUP))
	status, _ = d.call(11, "/b/x")
	assert.Assert(t, status == http.StatusOK || status == http.StatusServiceUnavailable, "status %d", status)
	assert.NilError(t, stopping.Wait(), "a stop ends without an error")
	delete(d.vms, "entry-1")
	d.eventually("callers are led to the other VM only", func() bool {
		_, body := ask("GET", "http://"+d.at(12, lookupPort)+"/v1/resolve?name=h.example&region=r&zone=a", "", "", nil)
		return !strings.Contains(body, d.at(11, callerPort)) && strings.Contains(body, d.at(12, callerPort))
	})
	assert.Assert(t, served(12, "/b/x")())
}
