package onplatform

import (
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

var (
	logChanges = flag.Int("log.changes", 0, "changes of TestControlMemoryUnderLargeChanges; 0 skips it")
	logRoutes  = flag.Int("log.routes", 1400, "routes of the configuration of TestControlMemoryUnderLargeChanges")
)

// largeConfig returns a configuration with routes besides those of putConfig.
func largeConfig(version, routes int) string {
	var b strings.Builder
	for i := range routes {
		_, _ = fmt.Fprintf(&b, `{"name":"r-idle-%06d","host":"h.example","pathPrefix":"/idle%06d/route%06d/","kind":"idempotent","timeoutMs":%d,"targetLatencyMs":300,"priority":2,"service":"app","maxAttempts":2,"public":false,"sticky":false,"resumable":false,"gapTargetMs":0},`, i, i, i, 2000+version)
	}
	return fmt.Sprintf(`{"version":%d,"routes":[%s],"services":[{"name":"app","healthPath":"/health","maxConns":9}],"limits":{"maxBodyBytes":1000},
	 "tenants":[{"name":"acc","apiKeys":["key"],"unit":"token_count","plainTokens":1,"ratePerS":100000,"burst":100000}]}`, version, strings.TrimSuffix(b.String(), ","))
}

// anonymousBytes returns the memory of a process without pages of files, and 0 if it has ended.
func anonymousBytes(pid int) int {
	text, _ := os.ReadFile(filepath.Join("/proc", strconv.Itoa(pid), "status"))
	for line := range strings.Lines(string(text)) {
		if fields := strings.Fields(line); len(fields) == 3 && fields[0] == "RssAnon:" {
			kilobytes, _ := strconv.Atoi(fields[1])
			return kilobytes << 10
		}
	}
	return 0
}

// memoryWatch holds the most memory that any daemon has used.
type memoryWatch struct {
	mu   sync.Mutex
	peak int
	pids []int
}

func (w *memoryWatch) watch(d *deployment) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.peak, w.pids = 0, nil
	for _, c := range d.commands {
		w.pids = append(w.pids, c.Process.Pid)
	}
}

func (w *memoryWatch) read() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, pid := range w.pids {
		w.peak = max(w.peak, anonymousBytes(pid))
	}
	return w.peak
}

// Guards against control VMs that pass their memory limit under frequent changes of a large
// configuration, and against a restart after which it can't be read back. It gives the figures
// of docs/CAPACITY.md and takes minutes, so it runs by its flags only.
func TestControlMemoryUnderLargeChanges(t *testing.T) {
	const (
		vms        = 3
		memoryMB   = 280
		changeTime = 150 * time.Second // for all changes
	)
	if *logChanges == 0 {
		t.Skip("needs -log.changes")
	}
	d := newDeployment(t)
	d.memoryMB = memoryMB
	start := func(first bool) {
		for n := 1; n <= vms; n++ {
			d.start(fmt.Sprint("core", n), n, first)
		}
	}
	start(true)
	w := &memoryWatch{}
	w.watch(d)
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(20 * time.Millisecond):
				w.read()
			}
		}
	}()
	begin, done, slowest := time.Now(), 0, time.Duration(0)
	for version, n := 1, 1; version <= *logChanges && time.Since(begin) < changeTime; {
		sent := time.Now()
		status, _ := sendRequest("POST", "http://"+d.address(n, operatorPort)+"/v1/config/put", "", largeConfig(version, *logRoutes), nil)
		n = n%vms + 1
		if status == http.StatusOK {
			slowest = max(slowest, time.Since(sent))
			done, version = version, version+1
		}
		if peak := w.read(); peak > memoryMB<<20 {
			t.Fatalf("%d routes: a control VM uses %d MB after %d changes", *logRoutes, peak>>20, done)
		}
	}
	took, peak := time.Since(begin), w.read()
	var store int64
	files, _ := filepath.Glob(filepath.Join(d.dir, "core*", "replica-*", "replica.db"))
	for _, file := range files {
		if info, err := os.Stat(file); err == nil {
			store = max(store, info.Size())
		}
	}
	for n := 1; n <= vms; n++ {
		d.kill(fmt.Sprint("core", n))
	}
	restarted := time.Now()
	start(false)
	w.watch(d)
	newest := 0
	d.eventually("the configuration is read back", func() bool {
		for n := 1; n <= vms; n++ {
			status, body := sendRequest("GET", "http://"+d.address(n, operatorPort)+"/v1/config/get", "", "", nil)
			var document struct{ Version int }
			if status == http.StatusOK && json.Unmarshal([]byte(body), &document) == nil {
				newest = document.Version
			}
		}
		return newest > 0
	})
	back := time.Since(restarted)
	t.Logf("%d routes, %d bytes: %d changes in %v, slowest %v; at most %d MB and a store of %d MB; restart %v, at most %d MB",
		*logRoutes, len(largeConfig(done, *logRoutes)), done, took.Round(time.Second), slowest.Round(time.Millisecond), peak>>20, store>>20, back.Round(10*time.Millisecond), w.read()>>20)
	if newest < done {
		t.Fatalf("read back version %d, %d was acknowledged", newest, done)
	}
}
