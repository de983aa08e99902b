package scenario

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"

	pb "eelgrasshollow/gen/eelgrass/v1"
	"eelgrasshollow/internal/crowd"
	"eelgrasshollow/internal/engineapi"
	"eelgrasshollow/internal/standin"
)

// addFaultyEndpoint adds a plain service "faulty" with the paths /faulty and /faulty-once, and a model "faulty", which one
// endpoint serves: calls of clients get the responses of the faulty server, all others those of an engine.
func (f *fleet) addFaultyEndpoint(t *testing.T, faulty http.Handler) {
	mux := http.NewServeMux()
	for _, path := range []string{"/faulty", "/faulty-once", "/v1/chat/completions"} {
		mux.Handle(path, faulty)
	}
	mux.Handle("/", standin.NewEngine(standin.EngineConfig{
		Models: map[string]string{"faulty": weightsVersion}, CacheBlocks: 100, BatchSlots: 500, PrefillRate: 1e6, TokenTime: time.Millisecond,
	}).Handler())
	server := httptest.NewServer(mux)
	t.Cleanup(func() { server.CloseClientConnections(); server.Close() })
	address := server.Listener.Addr().String()
	mutations := []*pb.Mutation{
		{Change: &pb.Mutation_PutModel{PutModel: &pb.Model{Name: "faulty", WeightsVersion: weightsVersion, MinEndpoints: 1}}},
		{Change: &pb.Mutation_PutEndpoint{PutEndpoint: &pb.Endpoint{
			Name: "faulty-engine", Address: address, FailureDomain: failureDomainOf(0), Role: pb.EndpointRole_ENDPOINT_ROLE_ENGINE, Models: []string{"faulty"},
		}}},
		{Change: &pb.Mutation_PutEndpoint{PutEndpoint: &pb.Endpoint{
			Name: "faulty-plain", Address: address, FailureDomain: failureDomainOf(0), Role: pb.EndpointRole_ENDPOINT_ROLE_PLAIN, Service: "faulty",
		}}},
	}
	for _, r := range []*pb.Route{
		{Name: "faulty", Kind: pb.RouteKind_ROUTE_KIND_PLAIN, PathPrefix: "/faulty", Service: "faulty", Idempotent: true, CallTokens: 1},
		{Name: "faulty-once", Kind: pb.RouteKind_ROUTE_KIND_PLAIN, PathPrefix: "/faulty-once", Service: "faulty", CallTokens: 1},
		{Name: "faulty-model", Kind: pb.RouteKind_ROUTE_KIND_MODEL, Model: "faulty", Idempotent: true},
	} {
		mutations = append(mutations, &pb.Mutation{Change: &pb.Mutation_PutRoute{PutRoute: r}})
	}
	ctx, cancel := context.WithTimeout(t.Context(), setupTimeout)
	defer cancel()
	_, err := f.operator(0).Change(ctx, connect.NewRequest(&pb.ChangeRequest{Meta: &pb.ChangeMeta{OperationId: "faulty-endpoint"}, Mutations: mutations}))
	assert.NilError(t, err)
}

// TestCrowdOfEndlessResponses guards against an entry VM that keeps what a faulty endpoint sends without end until its
// memory is used up and the requests of all its clients end with it. Many clients get such a response at once, to each kind of
// call.
func TestCrowdOfEndlessResponses(t *testing.T) {
	// concurrent is the number of requests that reach an endpoint at the same time.
	const clients, concurrent = 64, 16
	f, _ := crowdFleet(t)
	faulty := &crowd.FaultyServer{IDHeader: engineapi.HeaderRequestID}
	f.addFaultyEndpoint(t, faulty)
	served := func() bool {
		return f.call(callSpec{entry: "entry-1", kind: "stock", account: "litoral", body: "b", timeout: time.Second}).status == http.StatusOK
	}
	responses := map[string]crowd.Endless{}
	for _, r := range crowd.EndlessResponses(engineapi.HeaderRequestID + ": %s\r\n") {
		responses[r.Name] = r
	}
	const completion = `{"model":"faulty","messages":[{"role":"user","content":"x"}],"max_tokens":4,"stream":%v}`
	for _, call := range []struct{ name, path, body, response string }{
		{"plain", "/faulty", "x", "body"},
		{"once", "/faulty-once", "x", "chunks"},
		{"completion", "/v1/chat/completions", fmt.Sprintf(completion, false), "announced body"},
		{"stream", "/v1/chat/completions", fmt.Sprintf(completion, true), "line of an event"},
	} {
		t.Run(call.name, func(t *testing.T) {
			faulty.Expect(responses[call.response], concurrent)
			var complete sync.Map // statuses by client
			f.checkCrowd(t, "entry-1", f.addresses["entry-1"], crowdEntryMB, crowd.Crowd{Name: call.name, Clients: clients, Send: func(conn net.Conn, n int) {
				_, _ = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\n%s: %s-%d\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s",
					call.path, f.keys["litoral"], engineapi.HeaderIdempotencyKey, call.name, n, len(call.body), call.body)
				answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
				if err != nil {
					return
				}
				text, err := io.ReadAll(answer.Body)
				if err == nil && answer.StatusCode < http.StatusBadRequest && !strings.Contains(string(text), `"error"`) {
					complete.Store(n, answer.StatusCode)
				}
			}}, served)
			t.Logf("%d requests reached the endpoint", faulty.Arrived())
			complete.Range(func(n, status any) bool {
				t.Errorf("client %v got a response with status %v that looks whole", n, status)
				return false
			})
		})
	}
}
