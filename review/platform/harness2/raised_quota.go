package main

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	quotaEntries = 6
	quotaTenants = 3
	// quietTime is how long the tenants send nothing before their quota is raised again, and applyTime how long
	// after the acknowledgement of that the next requests are sent: configApplyMs is 2,000.
	quietTime, applyTime = 45 * time.Second, 5 * time.Second
	// deniedSlack and deniedShare are the bound of the rule: more than 5 + one in 500 of all requests.
	deniedSlack, deniedShare = 5, 500
)

// quotaConfig returns a configuration in which all tenants have the same quota in tokens.
func quotaConfig(version, rate, burst int) string {
	var tenants []string
	for n := range quotaTenants {
		tenants = append(tenants, fmt.Sprintf(`{"name":"acc%d","apiKeys":["key%d"],"priority":1,"unit":"token_count","plainTokens":200,"isolated":false,"ratePerS":%d,"burst":%d}`, n, n, rate, burst))
	}
	return fmt.Sprintf(`{"version":%d,"routes":[
{"name":"quote","host":"h.example","pathPrefix":"/stream/","kind":"streaming","timeoutMs":5000,"targetLatencyMs":1000,"priority":0,"service":"app","maxAttempts":1,"public":false,"sticky":true,"resumable":false,"gapTargetMs":250}],
"services":[{"name":"app","healthPath":"/health","maxConns":360,"protocol":"h1","tls":false}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[%s]}`, version, strings.Join(tenants, ","))
}

// raisedQuota lowers the quota of tenants below their requests and raises it again. The requests after that are allowed by
// every configuration that may be in force.
func raisedQuota(f *fleet, trouble bool) ([]string, error) {
	var entries []string
	for n := range 4 {
		address := f.address(firstEndpoint+n, endpointPort)
		if err := f.startEndpoint(endpointName(n), address, endpointID(n)); err != nil {
			return nil, err
		}
		entries = append(entries, fmt.Sprintf(`{"id":"%s","service":"app","address":"%s","zone":"a","version":"v1","slots":64,"state":"ready","coldRemainingMs":0}`, endpointID(n), address))
	}
	f.list.set(entries...)
	if err := f.startAll(3, quotaEntries, quotaConfig(1, 100_000, 100_000)); err != nil {
		return nil, err
	}
	sent := 0
	round := func(name string) (statuses map[int]int) {
		statuses = map[int]int{}
		var mu sync.Mutex
		var wg sync.WaitGroup
		for entry := range quotaEntries {
			for tenant := range quotaTenants {
				sent++
				wg.Go(func() {
					id := fmt.Sprintf("%s-%d-%d", name, entry, tenant)
					status, err := f.sendPrompt(entry, tenant, id)
					f.record.line("client of acc%d got for %s from %s: status %d, error %v", tenant, id, entryName(entry), status, err)
					mu.Lock()
					defer mu.Unlock()
					statuses[status]++
				})
			}
		}
		wg.Wait()
		f.record.line("round %s: %v", name, statuses)
		return statuses
	}
	if first := round("before"); first[http.StatusOK] != quotaEntries*quotaTenants {
		return nil, errors.New("not all requests were served before the disruption")
	}
	if trouble {
		if f.putConfig(1, quotaConfig(2, 1000, 1000)) != http.StatusOK {
			return nil, errors.New("the lower quota was not acknowledged")
		}
		time.Sleep(applyTime)
		round("lowered") // these requests are over the quota
		time.Sleep(quietTime)
		if f.putConfig(1, quotaConfig(3, 100_000, 100_000)) != http.StatusOK {
			return nil, errors.New("the higher quota was not acknowledged")
		}
	} else {
		time.Sleep(quietTime)
	}
	time.Sleep(applyTime)
	denied := 0
	for status, n := range round("raised") {
		switch {
		case status == http.StatusRequestTimeout, status == http.StatusMisdirectedRequest, status == http.StatusTooManyRequests:
		case status/100 == 3, status/100 == 4:
			denied += n
		}
	}
	if denied*deniedShare > deniedSlack*deniedShare+sent {
		return []string{fmt.Sprintf("%d of %d requests were denied with a 4xx although the configuration in force allows them", denied, sent)}, nil
	}
	return nil, nil
}

// sendPrompt sends a request of 5,000 tokens for a tenant.
func (f *fleet) sendPrompt(entry, tenant int, id string) (status int, err error) {
	request, err := http.NewRequest(http.MethodPost, "http://"+f.address(firstEntry+entry, clientPort)+"/stream/3/20", strings.NewReader("prompt"))
	if err != nil {
		return 0, err
	}
	request.Host, request.Close = "h.example", true
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("X-Deadline-Ms", "5000")
	request.Header.Set("X-Model", "m0")
	request.Header.Set("X-Token-Usage", "4900,100")
	request.Header.Set("X-Prompt-Prefix", fmt.Sprintf("5c1e%x:4000,%x:900", tenant, 0xa000+entry*16+tenant))
	request.Header.Set("Authorization", fmt.Sprint("Bearer key", tenant))
	f.record.line("client of acc%d sent %s to %s", tenant, id, entryName(entry))
	client := http.Client{Timeout: 6 * time.Second}
	response, err := client.Do(request)
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}
