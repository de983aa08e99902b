// Command case1 shows that control VMs that were frozen one after the other form a second group.
package main

import (
	"encoding/json"
	"fmt"
	"syscall"
	"time"

	"eelgrasshollow/review/platform/rig"
)

const (
	// callTimeout is how long an operator waits for an answer.
	callTimeout = time.Second
	// freeze is the length of each freeze.
	freeze = 8 * time.Second
	// calm is the time between two disruptions.
	calm = 6 * time.Second
	// lastFreezes is how often core-1 freezes at most: the two other VMs may just be restarting their replicas
	// all the time. firstChange and lastChange are the times after the begin of a freeze between which the
	// operator sends changes, betweenChanges the time from one to the next.
	lastFreezes    = 3
	firstChange    = 2 * time.Second
	lastChange     = 7 * time.Second
	betweenChanges = 700 * time.Millisecond
)

// config returns a configuration; routes of higher versions have longer time-outs.
func config(version int) string {
	return fmt.Sprintf(`{"version":%d,"routes":[{"name":"r","host":"h.example","pathPrefix":"/a/","kind":"idempotent","timeoutMs":%d,"targetLatencyMs":300,"priority":0,"service":"app","maxAttempts":1,"public":false}],"services":[{"name":"app","healthPath":"/health","maxConns":100,"protocol":"h1","tls":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[{"name":"t","apiKeys":["key"],"priority":1,"unit":"token_count","plainTokens":200,"isolated":false,"ratePerS":100000,"burst":100000}]}`, version, 2000+version)
}

// put sends a configuration to one control VM after the other until one acknowledges it, and returns that
// VM, or 0.
func put(r *rig.Rig, version int, hosts ...int) int {
	for _, host := range hosts {
		a := rig.Call(callTimeout, "POST", "http://"+r.Operator(host)+"/v1/config/put", "", config(version), nil)
		r.Log("operator: put version %d at core-%d: %v", version, host, a)
		if a.Err == nil && a.Status == 200 {
			return host
		}
	}
	return 0
}

// get reads the configuration at a control VM and returns its version, or 0.
func get(r *rig.Rig, host int) int {
	a := rig.Call(callTimeout, "GET", "http://"+r.Operator(host)+"/v1/config/get", "", "", nil)
	var document struct{ Version int }
	if a.Err != nil || a.Status != 200 || json.Unmarshal([]byte(a.Body), &document) != nil {
		r.Log("operator: get at core-%d: %v", host, a)
		return 0
	}
	r.Log("operator: get at core-%d: version %d", host, document.Version)
	return document.Version
}

func core(host int) string { return fmt.Sprintf("core-%d", host) }

func script(r *rig.Rig) (bool, error) {
	zones := []string{"kingston-a", "kingston-a", "spanish-town-b", "mandeville-c", "montego-d"}
	for host := 1; host <= 5; host++ {
		if err := r.Start(core(host), host, zones[host-1], true); err != nil {
			return false, err
		}
	}
	time.Sleep(5 * time.Second)
	if !rig.Within(10*time.Second, func() bool { return put(r, 1, 1, 2, 3, 4, 5) != 0 }) {
		return false, fmt.Errorf("first configuration was not acknowledged")
	}
	time.Sleep(2 * time.Second)
	freezeFor := func(host int, meanwhile func() error) error {
		if !r.Trouble {
			if meanwhile != nil {
				time.Sleep(freeze)
			}
			return nil
		}
		if err := r.Signal(core(host), syscall.SIGSTOP); err != nil {
			return err
		}
		end := time.Now().Add(freeze)
		if meanwhile != nil {
			if err := meanwhile(); err != nil {
				return err
			}
		}
		time.Sleep(time.Until(end))
		return r.Signal(core(host), syscall.SIGCONT)
	}
	// core-2 is frozen, and core-5 loses its disk meanwhile.
	err := freezeFor(2, func() error {
		time.Sleep(3 * time.Second)
		if err := r.Kill(core(5)); err != nil {
			return err
		}
		if err := r.Wipe(core(5)); err != nil {
			return err
		}
		time.Sleep(3 * time.Second)
		return r.Start(core(5), 5, zones[4], false)
	})
	if err != nil {
		return false, err
	}
	time.Sleep(calm)
	if err := freezeFor(3, nil); err != nil {
		return false, err
	}
	time.Sleep(calm)
	acknowledged := 1
	for range lastFreezes {
		version, second, err := changeDuringFreeze(r, acknowledged)
		if err != nil {
			return false, err
		}
		acknowledged = version
		if second {
			break
		}
		time.Sleep(calm)
	}
	time.Sleep(8 * time.Second)
	broken := false
	for range 3 {
		for host := 1; host <= 5; host++ {
			if version := get(r, host); version != 0 && version < acknowledged {
				r.Log("broken: core-%d shows version %d, version %d was acknowledged", host, version, acknowledged)
				broken = true
			}
		}
		time.Sleep(time.Second)
	}
	return broken, nil
}

// changeDuringFreeze freezes core-1 and sends changes meanwhile, the first to core-2, each next one to another VM
// first, until core-2 or core-3 has acknowledged one. It returns the newest acknowledged version, and whether
// one of these two has acknowledged it.
func changeDuringFreeze(r *rig.Rig, acknowledged int) (newest int, second bool, err error) {
	newest = acknowledged
	if r.Trouble {
		if err := r.Signal(core(1), syscall.SIGSTOP); err != nil {
			return 0, false, err
		}
	}
	start := time.Now()
	time.Sleep(firstChange)
	orders := [][]int{{2, 3, 4, 5}, {3, 2, 4, 5}}
	for version := acknowledged + 1; time.Since(start) < lastChange; version++ {
		host := put(r, version, orders[version%2]...)
		if host != 0 {
			newest = version
		}
		if second = host == 2 || host == 3; second {
			break
		}
		time.Sleep(betweenChanges)
	}
	for host := 2; host <= 5; host++ {
		get(r, host)
	}
	time.Sleep(time.Until(start.Add(freeze)))
	if r.Trouble {
		err = r.Signal(core(1), syscall.SIGCONT)
	}
	return newest, second, err
}

func main() { rig.Main(110*time.Second, nil, script) }
