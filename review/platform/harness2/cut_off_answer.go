package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"eelgrasshollow/internal/loopback"
)

// Times of the disruption, from the requests on: the link to the endpoint is cut for cutTime, and behind the cut the
// endpoint's process is killed and, addrReuseS (2 s) later, started again.
const (
	cutAfter, killAfter, restartAfter = 600 * time.Millisecond, 700 * time.Millisecond, 2800 * time.Millisecond
	cutTime                           = 2500 * time.Millisecond
)

const cutOffConfig = `{"version":1,"routes":[
{"name":"quote","host":"h.example","pathPrefix":"/stream/","kind":"streaming","timeoutMs":5000,"targetLatencyMs":1000,"priority":0,"service":"app","maxAttempts":1,"public":false,"sticky":false,"resumable":false,"gapTargetMs":250},
{"name":"order","host":"h.example","pathPrefix":"/order/","kind":"non_idempotent","timeoutMs":5000,"targetLatencyMs":300,"priority":2,"service":"app","maxAttempts":1,"public":false}],
"services":[{"name":"app","healthPath":"/health","maxConns":96,"protocol":"h1","tls":false}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"acc","apiKeys":["key"],"priority":1,"unit":"token_count","plainTokens":1,"isolated":false,"ratePerS":100000,"burst":100000}]}`

// cutOffServers is the number of endpoints. One of them is cut off, which is less than the share of 0.17 that a deployment names.
const cutOffServers = 9

// cutOffAnswer sends requests whose answers have no length, and crashes one endpoint behind a cut while it answers. That
// endpoint has its address and ID again when the cut heals.
func cutOffAnswer(f *fleet, trouble bool) ([]string, error) {
	links := make([]*loopback.Link, cutOffServers)
	var entries []string
	for n := range links {
		listed := f.address(firstEndpoint+n, endpointPort)
		if err := f.startEndpoint(endpointName(n), f.address(firstEndpoint+n, behindPort), endpointID(n)); err != nil {
			return nil, err
		}
		l, err := net.Listen("tcp", listed)
		if err != nil {
			return nil, err
		}
		links[n] = loopback.New(l, f.address(firstEndpoint+n, behindPort))
		defer links[n].Close()
		entries = append(entries, fmt.Sprintf(`{"id":"%s","service":"app","address":"%s","zone":"a","version":"v1","slots":6,"state":"ready","coldRemainingMs":0}`, endpointID(n), listed))
	}
	f.list.set(entries...)
	if err := f.startAll(3, 1, cutOffConfig); err != nil {
		return nil, err
	}

	var broken []string
	var mu sync.Mutex
	var wg sync.WaitGroup
	for i := range 2 * cutOffServers {
		path := []string{"/stream/20/100", "/order/20/100"}[i%2]
		wg.Go(func() {
			id := fmt.Sprint("request-", i+1)
			status, stamp, body, err := f.send(0, id, path)
			f.record.line("client got for %s %s: status %d, stamp %q, %d of %d bytes, error %v", id, path, status, stamp, len(body), len(wholeBody(path)), err)
			if err == nil && status/100 == 2 && body != wholeBody(path) {
				mu.Lock()
				defer mu.Unlock()
				broken = append(broken, fmt.Sprintf("%s %s got a complete success with %d of %d bytes", id, path, len(body), len(wholeBody(path))))
			}
		})
	}
	if trouble {
		time.Sleep(cutAfter)
		f.record.line("link to %s cut", endpointName(0))
		links[0].Cut(true, true)
		time.Sleep(killAfter - cutAfter)
		f.kill(endpointName(0))
		time.Sleep(restartAfter - killAfter)
		if err := f.startEndpoint(endpointName(0), f.address(firstEndpoint, behindPort), endpointID(0)); err != nil {
			return nil, err
		}
		time.Sleep(cutTime - (restartAfter - cutAfter))
		f.record.line("link to %s healed", endpointName(0))
		links[0].Heal()
	}
	wg.Wait()
	return broken, nil
}

func endpointName(n int) string { return fmt.Sprint("app-", n+1) }
func endpointID(n int) string   { return fmt.Sprint("i-", n+1) }

// send sends a request on a new connection and returns the response, or the error of one that is incomplete.
func (f *fleet) send(entry int, id, path string) (status int, stamp, body string, err error) {
	request, err := http.NewRequest(http.MethodPost, "http://"+f.address(firstEntry+entry, clientPort)+path, strings.NewReader("order"))
	if err != nil {
		return 0, "", "", err
	}
	request.Host, request.Close = "h.example", true
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("X-Deadline-Ms", "5000")
	request.Header.Set("Authorization", "Bearer key")
	f.record.line("client sent %s %s", id, path)
	client := http.Client{Timeout: 6 * time.Second}
	response, err := client.Do(request)
	if err != nil {
		return 0, "", "", err
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	return response.StatusCode, response.Header.Get("X-Response-Stamp"), string(text), err
}
