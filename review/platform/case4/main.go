// Command case4 shows that a tenant that a configuration makes isolated still shares prompt parts.
package main

import (
	"fmt"
	"net/http"
	"time"

	"eelgrasshollow/review/platform/rig"
)

// wait is longer than the bound for a configuration to apply everywhere.
const wait = 6 * time.Second

// config returns a configuration of two tenants.
func config(version int, isolated bool) string {
	return fmt.Sprintf(`{"version":%d,"routes":[{"name":"r","host":"h.example","pathPrefix":"/a/","kind":"streaming","timeoutMs":5000,"targetLatencyMs":800,"priority":0,"service":"llm","maxAttempts":1,"public":false,"sticky":true,"resumable":false,"gapTargetMs":300}],"services":[{"name":"llm","healthPath":"/health","maxConns":370,"protocol":"h1","tls":false,"engine":{"slots":64,"kvCapacityTokens":299947,"tokenKvBytes":18432,"linkMbps":280000.0,"moves":true,"backups":true,"stride":4,"maxInflight":12,"pinMs":4000.0,"holdMs":2000.0,"handle_s":5.0,"models":[{"name":"m"}]}}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[{"name":"alpha","apiKeys":["key-alpha"],"priority":1,"unit":"token_count","plainTokens":200,"isolated":%v,"ratePerS":1000000,"burst":1000000},{"name":"beta","apiKeys":["key-beta"],"priority":1,"unit":"token_count","plainTokens":200,"isolated":false,"ratePerS":1000000,"burst":1000000}]}`, version, isolated)
}

// put sends a configuration until it is acknowledged.
func put(r *rig.Rig, version int, isolated bool) error {
	acknowledged := rig.Within(15*time.Second, func() bool {
		a := rig.Call(time.Second, "POST", "http://"+r.Operator(version)+"/v1/config/put", "", config(version, isolated), nil)
		r.Log("operator: put version %d (alpha isolated: %v): %v", version, isolated, a)
		return a.Err == nil && a.Status == http.StatusOK
	})
	if !acknowledged {
		return fmt.Errorf("configuration %d was not acknowledged", version)
	}
	return nil
}

// send sends a request with the shared part and one of its own, and reports whether it was served.
func send(r *rig.Rig, host int, tenant, id string) bool {
	header := http.Header{
		"X-Request-Id": {id}, "X-Model": {"m"}, "X-Token-Usage": {"2100,20"}, "X-Prompt-Prefix": {"5c1e07a2:2000," + id + ":100"}, "X-Deadline-Ms": {"4000"},
		"Authorization": {"Bearer key-" + tenant},
	}
	a := rig.Call(4*time.Second, "POST", "http://"+r.Front(host)+"/a/x", "h.example", "prompt", header)
	r.Log("client of %s: request %s at entry %d: status %d, %d bytes, %v", tenant, id, host, a.Status, len(a.Body), a.Err)
	return a.Err == nil && a.Status == http.StatusOK
}

func script(r *rig.Rig) (bool, error) {
	zones := []string{"kingston-a", "spanish-town-b", "mandeville-c"}
	var servers []*rig.ModelServer
	var list []any
	for i := range 2 {
		s, err := r.StartModelServer(fmt.Sprintf("i-%d", i+1), 101+i, "m")
		if err != nil {
			return false, err
		}
		servers, list = append(servers, s), append(list, s.Instance("llm", zones[i]))
	}
	r.SetServers(list...)
	for host := 1; host <= 3; host++ {
		if err := r.Start(fmt.Sprintf("core-%d", host), host, zones[host-1], true); err != nil {
			return false, err
		}
	}
	for host := 11; host <= 13; host++ {
		if err := r.Start(fmt.Sprintf("front-%d", host), host, zones[host-11], true); err != nil {
			return false, err
		}
	}
	if err := put(r, 1, false); err != nil {
		return false, err
	}
	time.Sleep(wait)
	served := 0
	for i := range 6 {
		if send(r, 11+i%3, "alpha", fmt.Sprintf("a%d", i)) {
			served++
		}
	}
	if served == 0 {
		return false, fmt.Errorf("no request was served")
	}
	isolated := false // as the newest acknowledged configuration says of alpha
	if r.Trouble {
		if err := put(r, 2, true); err != nil {
			return false, err
		}
		isolated = true
	}
	time.Sleep(wait)
	for i := range 6 {
		send(r, 11+i%3, "beta", fmt.Sprintf("b%d", i))
		send(r, 11+i%3, "alpha", fmt.Sprintf("c%d", i))
	}
	broken := false
	for _, s := range servers {
		for _, run := range s.Runs() {
			for name, part := range run.Used {
				if isolated && run.Request[0] != 'a' && part.Tenant != run.Tenant {
					r.Log("broken: request %s of %s used part %s, which a request of %s made; alpha is isolated", run.Request, run.Tenant, name, part.Tenant)
					broken = true
				}
			}
		}
	}
	return broken, nil
}

func main() { rig.Main(100*time.Second, nil, script) }
