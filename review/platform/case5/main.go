// Command case5 shows that an order of a former leader arrives shortly before one of the next leader.
package main

import (
	"bytes"
	"fmt"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	"eelgrasshollow/review/platform/rig"
)

const (
	// lease is the bound of the rule, and thawSlack what it excuses after a link has healed.
	lease     = 3000 * time.Millisecond
	thawSlack = 300 * time.Millisecond
	// cutTime is how long the link to one server is cut.
	cutTime = 2 * time.Second
	// loadTime is how long new weights take a server.
	loadTime = 760 * time.Millisecond
)

const config = `{"version":1,"routes":[{"name":"r","host":"h.example","pathPrefix":"/a/","kind":"streaming","timeoutMs":5000,"targetLatencyMs":800,"priority":0,"service":"llm","maxAttempts":1,"public":false,"sticky":true,"resumable":false,"gapTargetMs":300}],"services":[{"name":"llm","healthPath":"/health","maxConns":370,"protocol":"h1","tls":false,"engine":{"slots":64,"kvCapacityTokens":299947,"tokenKvBytes":18432,"linkMbps":280000.0,"moves":true,"backups":true,"stride":4,"maxInflight":12,"pinMs":4000.0,"holdMs":2000.0,"handle_s":5.0,"models":[{"name":"m"}]}}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[{"name":"alpha","apiKeys":["key-alpha"],"priority":1,"unit":"token_count","plainTokens":200,"isolated":false,"ratePerS":1000000,"burst":1000000}]}`

// post sends an operator's call to one control VM after the other until one answers 200.
func post(r *rig.Rig, path, body string) error {
	host := 0
	if rig.Within(15*time.Second, func() bool {
		host = host%3 + 1
		a := rig.Call(time.Second, "POST", "http://"+r.Operator(host)+path, "", body, nil)
		r.Log("operator: %s at core-%d: %v", path, host, a)
		return a.Err == nil && a.Status == http.StatusOK
	}) {
		return nil
	}
	return fmt.Errorf("%s was not acknowledged", path)
}

func name(r *rig.Rig, version int) error {
	return post(r, "/v1/version-put", fmt.Sprintf(`{"model":"m","version":%d}`, version))
}

func script(r *rig.Rig) (bool, error) {
	zones := []string{"kingston-a", "spanish-town-b", "mandeville-c"}
	var servers []*rig.ModelServer
	for i := range 3 {
		s, err := r.StartModelServer(fmt.Sprintf("i-%d", i+1), 101+i, "m")
		if err != nil {
			return false, err
		}
		s.LoadTime = loadTime
		servers = append(servers, s)
	}
	link, err := r.StartLink(111, servers[0].Address)
	if err != nil {
		return false, err
	}
	// The list follows the servers; the first one is reached over the link.
	go func() {
		for {
			var list []any
			for i, s := range servers {
				entry := s.Instance("llm", zones[i])
				if i == 0 {
					entry.Address = link.Address
				}
				list = append(list, entry)
			}
			r.SetServers(list...)
			time.Sleep(100 * time.Millisecond)
		}
	}()
	for host := 1; host <= 3; host++ {
		if err := r.Start(fmt.Sprintf("core-%d", host), host, zones[host-1], true); err != nil {
			return false, err
		}
	}
	if err := post(r, "/v1/config/put", config); err != nil {
		return false, err
	}
	if err := name(r, 2); err != nil {
		return false, err
	}
	loaded := func(version int64) bool {
		for i, s := range servers {
			if s.Instance("llm", zones[i]).Models[0].Version < version {
				return false
			}
		}
		return true
	}
	if !rig.Within(20*time.Second, func() bool { return loaded(2) }) {
		return false, fmt.Errorf("version 2 was not loaded")
	}
	leader := servers[0].Orders()[0].Holder
	r.Log("%s gives the orders", leader)
	time.Sleep(4 * time.Second)
	var cut atomic.Bool
	if r.Trouble {
		link.SetTrigger(func(data []byte) time.Duration {
			if bytes.Contains(data, []byte(`"fencingToken"`)) {
				cut.Store(true)
				r.Log("link to server i-1 cut for %v while an order is on its way", cutTime)
				return cutTime
			}
			return 0
		})
	}
	if err := name(r, 3); err != nil {
		return false, err
	}
	if r.Trouble {
		if !rig.Within(10*time.Second, cut.Load) {
			return false, fmt.Errorf("no order to server i-1")
		}
		go restart(r, leader, zones)
	}
	if err := name(r, 4); err != nil {
		return false, err
	}
	if !rig.Within(25*time.Second, func() bool { return loaded(4) }) {
		r.Log("version 4 was not loaded everywhere")
	}
	broken := false
	for _, s := range servers {
		orders := s.Orders()
		for i := 1; i < len(orders); i++ {
			before, after := orders[i-1], orders[i]
			gap := after.At.Sub(before.At)
			if before.Holder == after.Holder || gap >= lease {
				continue
			}
			if healed := link.HealedAt(); s == servers[0] && (excused(before.At, healed) || excused(after.At, healed)) {
				continue
			}
			r.Log("broken: server %s got orders of %s and %s within %v", s.ID, before.Holder, after.Holder, gap.Round(time.Millisecond))
			broken = true
		}
	}
	return broken, nil
}

// restart stops a control VM in order and starts it again.
func restart(r *rig.Rig, vm string, zones []string) {
	var host int
	_, err := fmt.Sscanf(vm, "core-%d", &host)
	if err == nil {
		err = r.Stop(vm, syscall.SIGTERM)
	}
	if err == nil {
		err = r.Start(vm, host, zones[host-1], false)
	}
	if err != nil {
		r.Log("%s not restarted: %v", vm, err)
	}
}

// excused reports whether an order arrived within thawSlack after the link had healed.
func excused(at, healed time.Time) bool {
	return !healed.IsZero() && !at.Before(healed) && at.Sub(healed) <= thawSlack
}

func main() { rig.Main(100*time.Second, nil, script) }
