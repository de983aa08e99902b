// Package rig starts the project's daemons in platform mode on loopback addresses, with stand-ins
// for the platform's list of servers, for scripts that show faults.
package rig

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports of every VM; each VM has a loopback address of its own.
const (
	peerPort     = 7600
	metricsPort  = "7601"
	clientPort   = 8606
	readyPort    = 8605
	lookupPort   = 8603
	operatorPort = 8608
	listPort     = 8601
	// platformHost is the host of the platform's stand-ins.
	platformHost = 200
	// seedCount is the number of control VMs in the settings.
	seedCount = 3
)

// Exit codes of a script.
const (
	ExitHeld   = 0
	ExitBroken = 1
	ExitFailed = 2
)

// Rig holds the processes of one run.
type Rig struct {
	// Trouble is false if the run shall go without the disruption.
	Trouble bool
	dir     string // temporary folder of settings, data and logs
	root    string // of the repository
	prefix  string // first three parts of all addresses
	start   time.Time

	mu      sync.Mutex
	record  io.Writer
	procs   map[string]*exec.Cmd
	ended   bool // no process may be started any more
	servers []any
	bounds  map[string]any
}

// Instance is an entry of the platform's list of servers.
type Instance struct {
	ID              string  `json:"id"`
	Service         string  `json:"service"`
	Address         string  `json:"address"`
	Zone            string  `json:"zone"`
	Version         string  `json:"version"`
	Slots           int     `json:"slots"`
	State           string  `json:"state"`
	ColdRemainingMs int     `json:"coldRemainingMs"`
	Stage           string  `json:"stage,omitempty"`
	Models          []Model `json:"models,omitempty"`
	Born            int64   `json:"born"`
}

// Model is a model that a server has loaded.
type Model struct {
	Name     string   `json:"name"`
	Version  int64    `json:"version"`
	Adapters []string `json:"adapters"`
}

// Main runs a script and exits. script returns true if the rule was broken. The record goes to
// record.txt in the folder given as the first argument. After limit the run counts as failed.
func Main(limit time.Duration, bounds map[string]any, script func(*Rig) (broken bool, err error)) {
	os.Exit(run(limit, bounds, script))
}

func run(limit time.Duration, bounds map[string]any, script func(*Rig) (bool, error)) int {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: a case needs the folder of its record")
		return ExitFailed
	}
	file, err := os.Create(filepath.Join(os.Args[1], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return ExitFailed
	}
	defer func() { _ = file.Close() }() // written unbuffered
	dir, err := os.MkdirTemp("", "eelgrass-review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return ExitFailed
	}
	defer func() { _ = os.RemoveAll(dir) }()
	root, err := os.Getwd()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return ExitFailed
	}
	r := &Rig{
		Trouble: os.Getenv("TROUBLE") != "0", dir: dir, root: root, start: time.Now(), record: io.MultiWriter(file, os.Stdout),
		procs: map[string]*exec.Cmd{}, bounds: bounds,
	}
	if r.prefix, err = freePrefix(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return ExitFailed
	}
	defer r.endAll()
	if err := r.serveList(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return ExitFailed
	}
	type outcome struct {
		broken bool
		err    error
	}
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	done := make(chan outcome, 1)
	go func() {
		broken, err := script(r)
		done <- outcome{broken, err}
	}()
	select {
	case o := <-done:
		switch {
		case o.err != nil:
			r.Log("the case could not run: %v", o.err)
			r.keepLogs()
			return ExitFailed
		case o.broken:
			r.Log("RESULT: broken")
			r.keepLogs()
			return ExitBroken
		}
		r.keepLogs()
		r.Log("RESULT: held")
		return ExitHeld
	case s := <-interrupted:
		r.Log("the case could not run: %v", s)
		return ExitFailed
	case <-time.After(limit):
		r.Log("the case could not run: not done after %v", limit)
		r.keepLogs()
		return ExitFailed
	}
}

// keepLogs copies the daemons' logs to the folder that the variable REVIEW_LOGS names, if any.
func (r *Rig) keepLogs() {
	to := os.Getenv("REVIEW_LOGS")
	if to == "" {
		return
	}
	logs, _ := filepath.Glob(filepath.Join(r.dir, "*.log"))
	for _, path := range logs {
		text, err := os.ReadFile(path)
		if err == nil {
			err = os.WriteFile(filepath.Join(to, filepath.Base(path)), text, 0o600)
		}
		if err != nil {
			r.Log("log not kept: %v", err)
		}
	}
}

// freePrefix returns the first three parts of loopback addresses at which nobody listens.
func freePrefix() (string, error) {
	for range 50 {
		prefix := fmt.Sprintf("127.%d.%d", 20+rand.N(200), 1+rand.N(250))
		free := true
		for host := 1; host <= 16 && free; host++ {
			for _, port := range []int{peerPort, clientPort, readyPort, lookupPort, operatorPort} {
				l, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", prefix, host, port))
				if err != nil {
					free = false
					break
				}
				_ = l.Close() // nothing was accepted
			}
		}
		if free {
			return prefix, nil
		}
	}
	return "", fmt.Errorf("no free loopback addresses")
}

// Log writes a line with the time since the start to the record.
func (r *Rig) Log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.record, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...)) // without a record the exit code tells
}

// IP returns the address of a host.
func (r *Rig) IP(host int) string { return fmt.Sprintf("%s.%d", r.prefix, host) }

// Addr returns the address of a port of a host.
func (r *Rig) Addr(host, port int) string { return fmt.Sprintf("%s:%d", r.IP(host), port) }

// Operator returns the address at which a control VM serves operators.
func (r *Rig) Operator(host int) string { return r.Addr(host, operatorPort) }

// Front returns the address at which an entry VM serves clients.
func (r *Rig) Front(host int) string { return r.Addr(host, clientPort) }

// SetServers sets the entries of the platform's list: values of type Instance, or other values for entries
// of other writers.
func (r *Rig) SetServers(servers ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.servers = servers
}

// serveList serves the platform's list of servers.
func (r *Rig) serveList() error {
	listener, err := net.Listen("tcp", r.Addr(platformHost, listPort))
	if err != nil {
		return err
	}
	go func() {
		_ = http.Serve(listener, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { // ends with the process
			r.mu.Lock()
			body, err := json.Marshal(map[string]any{"instances": append([]any{}, r.servers...), "nextToken": nil})
			r.mu.Unlock()
			if err != nil {
				http.Error(w, err.Error(), http.StatusInternalServerError)
				return
			}
			w.Header().Set("Content-Type", "application/json")
			_, _ = w.Write(body) // the reader may have disconnected
		}))
	}()
	return nil
}

// settings writes the settings file of a VM and returns its path. Control VMs have names that begin
// with "core".
func (r *Rig) settings(name string, host int, zone string, firstStart bool) (string, error) {
	var seeds []string
	for seed := 1; seed <= seedCount; seed++ {
		seeds = append(seeds, r.Operator(seed))
	}
	bounds := map[string]any{
		"seedLagS": 3, "addrReuseS": 2, "contactMs": 3000, "ackMs": 4000, "catchUpS": 4, "drainMs": 3000, "graceS": 8, "lossSlackMs": 200,
		"configApplyMs": 2000, "rollbackSlackMs": 250, "maxStretchMs": 5000, "revokeFailClosed": false, "revokeMs": 5000,
		"retryBudgetRatio": 0.2, "budgetWindowS": 10, "retryBudgetExtra": 58, "quotaWindowS": 8, "quotaOvershoot": 0.1, "quotaSlack": 140000,
		"recoveryS": 12, "transitMs": 120, "retryAfterS": 10, "fencingRequired": false, "leaseMs": 3000, "thawSlackMs": 300,
		"versionMs": 10000, "versionAllMs": 14000, "ttl_max_s": 5,
	}
	maps.Copy(bounds, r.bounds)
	control := strings.HasPrefix(name, "core")
	s := map[string]any{
		"nodeName": name, "role": "entry", "machineClass": "front", "serves": []string{"front", "directory"}, "ip": r.IP(host), "zone": zone, "region": "jm-central",
		"zones":         map[string]string{"kingston-a": "jm-central", "spanish-town-b": "jm-central", "mandeville-c": "jm-central", "montego-d": "jm-central"},
		"listen":        map[string]any{"front": r.Front(host), "readyAddr": r.Addr(host, readyPort), "directory": r.Addr(host, lookupPort)},
		"internalPorts": []int{peerPort, peerPort + 15}, "seeds": seeds, "bootstrap": firstStart, "faultCounted": control,
		"limits":  map[string]any{"cpuShare": 0.4, "cores": 1, "memoryMb": 284, "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 0},
		"dataDir": nil, "discovery": "cloud", "entry": "directory", "heartbeatMs": 1200,
		"contracts":      []string{"base", "drain", "config", "cost", "retry", "recover", "kvcache", "stream", "engine", "tenants", "quota"},
		"faultTolerance": map[string]int{"machines": 1, "zones": 0, "regions": 0}, "bounds": bounds, "configMode": "highest",
		"cloudApi": map[string]any{"address": r.Addr(platformHost, listPort), "ratePerS": 40.0, "duties": []string{}, "maxLagMs": 800},
	}
	if control {
		s["role"], s["machineClass"], s["serves"] = "control", "core", []string{"control"}
		s["listen"] = map[string]any{"control": r.Operator(host)}
		s["dataDir"] = r.DataDir(name)
		s["limits"] = map[string]any{"cpuShare": 0.24, "cores": 1, "memoryMb": 280, "maxFds": 4096, "linkMbps": 1000.0, "diskMb": 128}
	}
	text, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		return "", err
	}
	path := filepath.Join(r.dir, name+".json")
	return path, os.WriteFile(path, text, 0o600)
}

// DataDir returns the folder of a control VM's disk.
func (r *Rig) DataDir(name string) string { return filepath.Join(r.dir, name) }

// Start starts the daemon of a VM with the command of the deploy file.
func (r *Rig) Start(name string, host int, zone string, firstStart bool) error {
	path, err := r.settings(name, host, zone, firstStart)
	if err != nil {
		return err
	}
	program := "target/eelgrass-entry"
	if strings.HasPrefix(name, "core") {
		program = "target/eelgrass-control"
		if err := os.MkdirAll(r.DataDir(name), 0o700); err != nil {
			return err
		}
	}
	log, err := os.OpenFile(filepath.Join(r.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }() // the child has its own descriptor
	cmd := exec.Command(filepath.Join(r.root, program), "--metrics-port", metricsPort)
	cmd.Dir, cmd.Stdout, cmd.Stderr = r.root, log, log
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + r.dir, "EELGRASSHOLLOW_CONFIG=" + path}
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	r.mu.Lock()
	if r.ended {
		r.mu.Unlock()
		return fmt.Errorf("the run has ended")
	}
	if err := cmd.Start(); err != nil {
		r.mu.Unlock()
		return err
	}
	r.procs[name] = cmd
	r.mu.Unlock()
	r.Log("%s started at %s (bootstrap %v)", name, r.IP(host), firstStart)
	return nil
}

// Signal sends a signal to the process of a VM.
func (r *Rig) Signal(name string, s syscall.Signal) error {
	r.mu.Lock()
	cmd := r.procs[name]
	r.mu.Unlock()
	if cmd == nil {
		return fmt.Errorf("%s does not run", name)
	}
	r.Log("%s gets %v", name, s)
	return cmd.Process.Signal(s)
}

// Kill kills the process of a VM and waits for its end.
func (r *Rig) Kill(name string) error { return r.Stop(name, syscall.SIGKILL) }

// Stop sends a signal that ends the process of a VM and waits for its end.
func (r *Rig) Stop(name string, s syscall.Signal) error {
	if err := r.Signal(name, s); err != nil {
		return err
	}
	r.mu.Lock()
	cmd := r.procs[name]
	r.mu.Unlock()
	_ = cmd.Wait() // the state of its end is of no interest
	r.mu.Lock()
	delete(r.procs, name)
	r.mu.Unlock()
	r.Log("%s has ended", name)
	return nil
}

// AnonymousBytes returns the memory of the process of a VM without pages of files, 0 if it does not run.
func (r *Rig) AnonymousBytes(name string) int64 {
	r.mu.Lock()
	cmd := r.procs[name]
	r.mu.Unlock()
	if cmd == nil {
		return 0
	}
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		var kilobytes int64
		if _, err := fmt.Sscanf(line, "RssAnon: %d kB", &kilobytes); err == nil {
			return kilobytes << 10
		}
	}
	return 0
}

// endAll ends all processes that this run has started.
func (r *Rig) endAll() {
	r.mu.Lock()
	r.ended = true
	procs := maps.Clone(r.procs)
	r.mu.Unlock()
	for _, cmd := range procs {
		_ = cmd.Process.Kill() // it may have ended
		_ = cmd.Wait()         // another goroutine may have waited for it
	}
}

// Answer is the response to a call, or the error if there was none.
type Answer struct {
	Status int
	Header http.Header
	Body   string
	Err    error
}

// String returns the answer in short.
func (a Answer) String() string {
	if a.Err != nil {
		return "no answer: " + a.Err.Error()
	}
	return fmt.Sprintf("%d %s", a.Status, strings.TrimSpace(a.Body))
}

// Call sends a request on a new connection.
func Call(timeout time.Duration, method, url, host, body string, header http.Header) Answer {
	request, err := http.NewRequest(method, url, bytes.NewReader([]byte(body)))
	if err != nil {
		return Answer{Err: err}
	}
	request.Close = true
	maps.Copy(request.Header, header)
	if host != "" {
		request.Host = host
	}
	client := http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	response, err := client.Do(request)
	if err != nil {
		return Answer{Err: err}
	}
	defer func() { _ = response.Body.Close() }() // it has been read
	text, err := io.ReadAll(response.Body)
	return Answer{Status: response.StatusCode, Header: response.Header, Body: string(text), Err: err}
}

// Within polls until the condition holds and reports whether it did within the bound.
func Within(bound time.Duration, condition func() bool) bool {
	for end := time.Now().Add(bound); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return false
}

// Wipe empties the disk of a control VM.
func (r *Rig) Wipe(name string) error {
	r.Log("%s loses its disk", name)
	return os.RemoveAll(r.DataDir(name))
}
