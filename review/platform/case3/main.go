// Command case3 shows that an entry of another writer in the list of servers, which lacks fields, is used.
package main

import (
	"fmt"
	"net/http"
	"time"

	"eelgrasshollow/review/platform/rig"
)

const config = `{"version":1,"routes":[{"name":"orders","host":"h.example","pathPrefix":"/orders/","kind":"non_idempotent","timeoutMs":3000,"targetLatencyMs":300,"priority":0,"service":"orders","maxAttempts":1,"public":false},{"name":"billing","host":"h.example","pathPrefix":"/billing/","kind":"non_idempotent","timeoutMs":3000,"targetLatencyMs":300,"priority":0,"service":"billing","maxAttempts":1,"public":false}],"services":[{"name":"orders","healthPath":"/health","maxConns":96,"protocol":"h1","tls":false},{"name":"billing","healthPath":"/health","maxConns":96,"protocol":"h1","tls":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[{"name":"alpha","apiKeys":["key-alpha"],"priority":1,"unit":"token_count","plainTokens":200,"isolated":false,"ratePerS":1000000,"burst":1000000}]}`

func script(r *rig.Rig) (bool, error) {
	zones := []string{"kingston-a", "spanish-town-b", "mandeville-c"}
	var all []*rig.PlainServer
	var list []any
	for i, service := range []string{"orders", "orders", "billing"} {
		s, err := r.StartPlainServer(fmt.Sprintf("i-%d", i+1), service, 101+i)
		if err != nil {
			return false, err
		}
		all, list = append(all, s), append(list, s.Instance(zones[i]))
	}
	billing := all[2]
	r.SetServers(list...)
	for host := 1; host <= 3; host++ {
		if err := r.Start(fmt.Sprintf("core-%d", host), host, zones[host-1], true); err != nil {
			return false, err
		}
	}
	for host := 11; host <= 12; host++ {
		if err := r.Start(fmt.Sprintf("front-%d", host), host, zones[host-11], true); err != nil {
			return false, err
		}
	}
	if !rig.Within(15*time.Second, func() bool {
		a := rig.Call(time.Second, "POST", "http://"+r.Operator(1)+"/v1/config/put", "", config, nil)
		r.Log("operator: put version 1: %v", a)
		return a.Err == nil && a.Status == http.StatusOK
	}) {
		return false, fmt.Errorf("configuration was not acknowledged")
	}
	time.Sleep(5 * time.Second)
	if r.Trouble {
		// Another writer adds an entry, which has only some of the fields.
		entry := map[string]any{"id": billing.ID, "service": "orders", "address": billing.Address, "state": "ready"}
		r.SetServers(append(list, entry)...)
		r.Log("list: entry of another writer added: %v", entry)
	}
	served := 0
	for i := range 60 {
		id := fmt.Sprintf("o%d", i)
		a := rig.Call(3*time.Second, "POST", "http://"+r.Front(11+i%2)+"/orders/new", "h.example", "order "+id,
			http.Header{"X-Request-Id": {id}, "X-Deadline-Ms": {"3000"}, "Authorization": {"Bearer key-alpha"}})
		r.Log("client: request %s: %v", id, a)
		if a.Err == nil && a.Status == http.StatusOK {
			served++
		}
		time.Sleep(50 * time.Millisecond)
	}
	if served == 0 {
		return false, fmt.Errorf("no request was served")
	}
	broken := false
	for _, run := range billing.Runs() {
		r.Log("broken: request %s (%s) was run by server %s of service %s", run.Request, run.Line, run.Server, run.Service)
		broken = true
	}
	return broken, nil
}

func main() { rig.Main(60*time.Second, nil, script) }
