package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports that all VMs of a fleet use, each on its own loopback address.
const (
	peerPort, peerPorts                              = 7600, 16
	clientPort, readyPort, lookupPort                = 8606, 8605, 8603
	operatorPort, listPort, endpointPort, behindPort = 8608, 8601, 8080, 8081
)

// Hosts of a fleet, as the last part of their loopback addresses.
const (
	firstControl, firstEntry = 1, 11
	listHost, firstEndpoint  = 200, 201
)

const (
	startTimeout = 25 * time.Second
	pollInterval = 50 * time.Millisecond
)

// fleet runs the daemons of the deploy file beside stand-ins for the platform and its endpoints.
type fleet struct {
	record   *record
	dir      string
	prefix   string // first three parts of the loopback addresses
	commands map[string][]string
	list     *serverList

	mu        sync.Mutex
	processes map[string]*exec.Cmd
}

// newFleet reads the commands of the deploy file and reserves a range of loopback addresses.
func newFleet(r *record) (*fleet, error) {
	text, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		return nil, fmt.Errorf("read the deploy file: %w", err)
	}
	f := &fleet{record: r, commands: map[string][]string{}, processes: map[string]*exec.Cmd{}}
	for _, m := range regexp.MustCompile(`(?m)^\[roles\.(\w+)\]\s*\nrun = "([^"]+)"`).FindAllStringSubmatch(string(text), -1) {
		f.commands[m[1]] = strings.Fields(m[2])
	}
	if f.commands["entry"] == nil || f.commands["control"] == nil {
		return nil, errors.New("the deploy file lacks the roles entry and control")
	}
	if f.dir, err = os.MkdirTemp("", "review2-"); err != nil {
		return nil, err
	}
	const octet = 250
	for i := os.Getpid(); i < os.Getpid()+octet; i++ {
		f.prefix = fmt.Sprintf("127.%d.%d", 2+i/octet%octet, 1+i%octet)
		if f.free() {
			f.list = &serverList{}
			return f, f.serveHTTP(f.address(listHost, listPort), f.list)
		}
	}
	return nil, errors.New("no range of loopback addresses has free ports")
}

// free reports whether the ports of the first control and entry VMs and of the list are free.
func (f *fleet) free() bool {
	for _, address := range []string{f.address(firstControl, peerPort), f.address(firstEntry, clientPort), f.address(listHost, listPort), f.address(firstEndpoint, endpointPort)} {
		l, err := net.Listen("tcp", address)
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	return true
}

func (f *fleet) ip(host int) string { return fmt.Sprintf("%s.%d", f.prefix, host) }
func (f *fleet) address(host int, port int) string {
	return net.JoinHostPort(f.ip(host), strconv.Itoa(port))
}

// settings returns a settings file in the form of DEPLOY.md, with the bounds of a small deployment.
func (f *fleet) settings(name, role string, host int, first bool) map[string]any {
	s := map[string]any{
		"nodeName": name, "role": role, "machineClass": "front", "serves": []string{"front", "directory"}, "ip": f.ip(host), "zone": "a", "region": "r",
		"zones": map[string]string{"a": "r"}, "internalPorts": []int{peerPort, peerPort + peerPorts - 1}, "bootstrap": first, "faultCounted": role == "control",
		"seeds":   []string{f.address(firstControl, operatorPort), f.address(firstControl+1, operatorPort), f.address(firstControl+2, operatorPort)},
		"listen":  map[string]string{"front": f.address(host, clientPort), "readyAddr": f.address(host, readyPort), "directory": f.address(host, lookupPort)},
		"limits":  map[string]any{"cpuShare": 0.4, "cores": 1, "memoryMb": 284, "maxFds": 4100, "linkMbps": 1000, "diskMb": 0},
		"dataDir": nil, "discovery": "cloud", "entry": "directory", "heartbeatMs": 1200,
		"contracts":      []string{"base", "drain", "config", "cost", "retry", "recover", "kvcache", "stream", "engine", "tenants", "quota"},
		"faultTolerance": map[string]int{"machines": 1, "zones": 0, "regions": 0},
		"bounds": map[string]any{
			"seedLagS": 3, "addrReuseS": 2, "contactMs": 3000, "ackMs": 4000, "catchUpS": 4, "drainMs": 3000, "graceS": 8, "lossSlackMs": 200, "configApplyMs": 2000,
			"rollbackSlackMs": 250, "maxStretchMs": 5000, "revokeFailClosed": false, "revokeMs": 5000, "retryBudgetRatio": 0.2, "budgetWindowS": 10, "retryBudgetExtra": 52,
			"quotaWindowS": 8, "quotaOvershoot": 0.1, "quotaSlack": 190000, "recoveryS": 12, "transitMs": 120, "retryAfterS": 10, "fencingRequired": true, "leaseMs": 3000,
			"thawSlackMs": 300, "versionMs": 15000, "versionAllMs": 21000, "ttl_max_s": 5,
		},
		"configMode": "highest",
		"cloudApi":   map[string]any{"address": f.address(listHost, listPort), "ratePerS": 40, "duties": []string{}, "maxLagMs": 800},
	}
	if role == "control" {
		s["machineClass"], s["serves"], s["dataDir"] = "core", []string{"control"}, filepath.Join(f.dir, name)
		s["listen"] = map[string]string{"control": f.address(host, operatorPort)}
		s["limits"] = map[string]any{"cpuShare": 0.24, "cores": 1, "memoryMb": 280, "maxFds": 4096, "linkMbps": 1000, "diskMb": 128}
	}
	return s
}

// start starts a daemon with the command of its role in the deploy file.
func (f *fleet) start(name, role string, host int, first bool) error {
	text, err := json.Marshal(f.settings(name, role, host, first))
	if err != nil {
		return err
	}
	path := filepath.Join(f.dir, name+".json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return err
	}
	if err := os.MkdirAll(filepath.Join(f.dir, name), 0o700); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(f.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }() // the process has a descriptor of its own
	command := f.commands[role]
	cmd := exec.Command(command[0], command[1:]...)
	cmd.Env = append(os.Environ(), "EELGRASSHOLLOW_CONFIG="+path)
	cmd.Stdout, cmd.Stderr = log, log
	return f.run(name, cmd)
}

// run starts a process in a group of its own.
func (f *fleet) run(name string, cmd *exec.Cmd) error {
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err := cmd.Start(); err != nil {
		return err
	}
	f.mu.Lock()
	f.processes[name] = cmd
	f.mu.Unlock()
	f.record.line("process %s started", name)
	return nil
}

// signal sends a signal to a process that this fleet has started.
func (f *fleet) signal(name string, s syscall.Signal) {
	f.mu.Lock()
	cmd := f.processes[name]
	f.mu.Unlock()
	if cmd == nil {
		return
	}
	f.record.line("signal %v to %s", s, name)
	_ = cmd.Process.Signal(s) // it may have ended
}

// kill kills a process and waits for its end.
func (f *fleet) kill(name string) {
	f.signal(name, syscall.SIGKILL)
	f.mu.Lock()
	cmd := f.processes[name]
	delete(f.processes, name)
	f.mu.Unlock()
	if cmd != nil {
		_ = cmd.Wait() // it was killed
	}
}

// close ends all processes and removes the temporary folder.
func (f *fleet) close() {
	f.mu.Lock()
	var names []string
	for name := range f.processes {
		names = append(names, name)
	}
	f.mu.Unlock()
	for _, name := range names {
		f.kill(name)
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	}
}

// startAll starts the control and entry VMs and waits until the configuration is acknowledged and each entry VM is ready.
func (f *fleet) startAll(controls, entries int, config string) error {
	for n := range controls {
		if err := f.start(controlName(n), "control", firstControl+n, true); err != nil {
			return err
		}
	}
	for n := range entries {
		if err := f.start(entryName(n), "entry", firstEntry+n, true); err != nil {
			return err
		}
	}
	if !within(startTimeout, func() bool { return f.putConfig(0, config) == http.StatusOK }) {
		return errors.New("the first configuration was not acknowledged")
	}
	for n := range entries {
		if !within(startTimeout, func() bool { return f.get("http://"+f.address(firstEntry+n, readyPort)+"/v1/ready") == http.StatusOK }) {
			return fmt.Errorf("entry VM %d is not ready", n)
		}
	}
	time.Sleep(3 * time.Second) // contactMs: from now on the machines are in touch
	return nil
}

func controlName(n int) string { return fmt.Sprint("core-", n+1) }
func entryName(n int) string   { return fmt.Sprint("front-", n+1) }

// putConfig sends a configuration to a control VM and returns the status of the response, or 0.
func (f *fleet) putConfig(control int, text string) int {
	return f.post(control, "/v1/config/put", text)
}

// post sends an operator's call to a control VM and returns the status of the response, or 0.
func (f *fleet) post(control int, path, text string) int {
	client := http.Client{Timeout: 2 * time.Second}
	response, err := client.Post("http://"+f.address(firstControl+control, operatorPort)+path, "application/json", strings.NewReader(text))
	status := 0
	if err == nil {
		status = response.StatusCode
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
	}
	f.record.line("operator sent %s to %s: %d", path, controlName(control), status)
	return status
}

func (f *fleet) get(url string) int {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get(url)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

func (f *fleet) serveHTTP(address string, h http.Handler) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: startTimeout}
	go func() { _ = server.Serve(l) }() // until the process ends
	return nil
}

// within polls a condition until it holds, and reports whether it did in time.
func within(bound time.Duration, condition func() bool) bool {
	for end := time.Now().Add(bound); time.Now().Before(end); time.Sleep(pollInterval) {
		if condition() {
			return true
		}
	}
	return false
}

// serverList is the platform's list of servers.
type serverList struct {
	mu      sync.Mutex
	entries []string // JSON objects
}

// set replaces the entries.
func (l *serverList) set(entries ...string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entries = entries
}

// ServeHTTP implements http.Handler.
func (l *serverList) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r.URL.Path != "/instances" {
		http.NotFound(w, r)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = fmt.Fprintf(w, `{"instances":[%s],"nextToken":null}`, strings.Join(l.entries, ","))
}

// record writes what happened to a file, with the time since the start.
type record struct {
	start time.Time
	mu    sync.Mutex
	file  *os.File
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}
