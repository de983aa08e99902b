// Command case2 shows that frequent changes of a large configuration end control for good.
package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"eelgrasshollow/review/platform/rig"
)

const (
	// routes is the number of routes of the large configuration, changes that of the changes.
	routes  = 1400
	changes = 900
	// memoryLimit is memoryMb of the settings. The platform kills a process that uses more and starts it again after
	// restartDelay.
	memoryLimit  = 280 << 20
	restartDelay = 500 * time.Millisecond
	// changeTime is how long the operator sends changes at most, readBack how long it asks for the configuration at
	// the end, which is longer than contactMs.
	changeTime = 70 * time.Second
	readBack   = 12 * time.Second
	vms        = 3
)

// config returns a configuration with n idle routes beside one that is used.
func config(version, n int) string {
	route := func(name, prefix string, timeout int) string {
		return fmt.Sprintf(`{"name":%q,"host":"h.example","pathPrefix":%q,"kind":"idempotent","timeoutMs":%d,"targetLatencyMs":300,"priority":2,"service":"app","maxAttempts":2,"public":false,"sticky":false,"resumable":false,"gapTargetMs":0}`, name, prefix, timeout)
	}
	all := []string{route("r", "/a/", 2000+version)}
	for i := range n {
		all = append(all, route(fmt.Sprintf("r-idle-%06d", i), fmt.Sprintf("/idle%06d/route%06d/", i, i), 3000))
	}
	return fmt.Sprintf(`{"version":%d,"routes":[%s],"services":[{"name":"app","healthPath":"/health","maxConns":96,"protocol":"h1","tls":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[{"name":"t","apiKeys":["key"],"priority":1,"unit":"token_count","plainTokens":200,"isolated":false,"ratePerS":100000,"burst":100000}]}`, version, strings.Join(all, ","))
}

func core(host int) string { return fmt.Sprintf("core-%d", host) }

// platform kills a VM's process when it uses more memory than it may, and starts it again.
func platform(r *rig.Rig, host int, zone string, kills *atomic.Int32, stop <-chan struct{}) {
	var peak int64
	for {
		select {
		case <-stop:
			r.Log("%s used %d MB at most", core(host), peak>>20)
			return
		case <-time.After(20 * time.Millisecond):
		}
		used := r.AnonymousBytes(core(host))
		peak = max(peak, used)
		if used <= memoryLimit {
			continue
		}
		r.Log("%s uses %d MB, its limit is %d MB", core(host), used>>20, memoryLimit>>20)
		kills.Add(1)
		if err := r.Kill(core(host)); err != nil {
			r.Log("%s not killed: %v", core(host), err)
			return
		}
		time.Sleep(restartDelay)
		if err := r.Start(core(host), host, zone, false); err != nil {
			r.Log("%s not started: %v", core(host), err)
			return
		}
	}
}

func script(r *rig.Rig) (bool, error) {
	zones := []string{"kingston-a", "spanish-town-b", "mandeville-c"}
	for host := 1; host <= vms; host++ {
		if err := r.Start(core(host), host, zones[host-1], true); err != nil {
			return false, err
		}
	}
	time.Sleep(3 * time.Second)
	n := 8
	if r.Trouble {
		n = routes
	}
	r.Log("the configuration has %d routes and %d bytes", n+1, len(config(1, n)))
	stop := make(chan struct{})
	var kills atomic.Int32
	var wg sync.WaitGroup
	for host := 1; host <= vms; host++ {
		wg.Go(func() { platform(r, host, zones[host-1], &kills, stop) })
	}
	acknowledged := 0
	for end := time.Now().Add(changeTime); acknowledged < changes && time.Now().Before(end); {
		host := 1 + acknowledged%vms
		sent := time.Now()
		body := config(acknowledged+1, n)
		for {
			a := rig.Call(time.Second, "POST", "http://"+r.Operator(host)+"/v1/config/put", "", body, nil)
			if a.Err == nil && a.Status == http.StatusOK {
				acknowledged++
				break
			}
			if time.Now().After(end) {
				break
			}
			host = host%vms + 1
			time.Sleep(50 * time.Millisecond)
		}
		if took := time.Since(sent); took > time.Second {
			r.Log("version %d took %v", acknowledged, took.Round(time.Millisecond))
		}
	}
	r.Log("%d changes were acknowledged; %d processes were killed so far", acknowledged, kills.Load())
	time.Sleep(3 * time.Second)
	newest := 0
	for end := time.Now().Add(readBack); time.Now().Before(end) && newest < acknowledged; time.Sleep(200 * time.Millisecond) {
		for host := 1; host <= vms; host++ {
			a := rig.Call(time.Second, "GET", "http://"+r.Operator(host)+"/v1/config/get", "", "", nil)
			var document struct{ Version int }
			if a.Err == nil && a.Status == http.StatusOK && json.Unmarshal([]byte(a.Body), &document) == nil {
				newest = max(newest, document.Version)
			}
		}
	}
	close(stop)
	wg.Wait()
	r.Log("read back at the end: version %d; %d was acknowledged; %d processes were killed", newest, acknowledged, kills.Load())
	return newest < acknowledged, nil
}

func main() { rig.Main(115*time.Second, nil, script) }
