package scenario

import (
	"context"
	"eelgrasshollow/internal/loopback"
	"fmt"
	"maps"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	pb "eelgrasshollow/gen/eelgrass/v1"
	"eelgrasshollow/gen/eelgrass/v1/eelgrassv1connect"
)

// fleetSize is the number of processes of each kind. With tls above 0, processes use peer TLS.
type fleetSize struct{ control, entry, engine, plain, store, weights, vms, tls int }

// fleet is the set of processes of one scenario and the links between them.
type fleet struct {
	dir       string
	binDir    string
	size      fleetSize
	processes map[string]*process
	addresses map[string]string // by process; direct addresses, not those of links
	operators []string          // operator addresses of the control replicas
	mu        sync.Mutex
	links     map[string]*loopback.Link // "from>to"
	keys      map[string]string         // by client account
	keyIDs    map[string]string         // by client account
	calls     map[string]*pendingCall
	loads     map[string]*loadRun
	// entryNode and controlNode are further lines of the section [node] of the settings.
	entryNode, controlNode string
	vmStates               map[string]string // states in the platform's list that a script has set; other VMs are live
}

const (
	operatorToken  = "scenario-operator-token"
	model          = "menu"
	weightsVersion = "v1"
	failureDomains = "abcd" // one letter per failure domain
	setupTimeout   = 30 * time.Second
)

// accounts are the client accounts of every fleet. Scenarios change them with ctl.
var accounts = []*pb.ClientAccount{
	{Name: "litoral", RateTokens: 1_000_000, BurstTokens: 2_000_000},
	{Name: "tatra", RateTokens: 1_000_000, BurstTokens: 2_000_000},
	{Name: "small", RateTokens: 1_000, BurstTokens: 4_000},
}

func newFleet(dir, bin string, s fleetSize) *fleet {
	return &fleet{dir: dir, binDir: bin, size: s, processes: map[string]*process{}, addresses: map[string]string{},
		links: map[string]*loopback.Link{}, keys: map[string]string{}, keyIDs: map[string]string{}, calls: map[string]*pendingCall{}, loads: map[string]*loadRun{}, vmStates: map[string]string{}}
}

func failureDomainOf(i int) string {
	return failureDomains[i%len(failureDomains) : i%len(failureDomains)+1]
}

// name returns the name of process i of a kind, such as "entry-1" for i = 0.
func name(kind string, i int) string { return fmt.Sprintf("%s-%d", kind, i+1) }

// names returns the names of the first n processes of a kind.
func names(kind string, n int) []string {
	all := make([]string, n)
	for i := range all {
		all[i] = name(kind, i)
	}
	return all
}

// start starts all processes and waits until the configuration is in force.
func (f *fleet) start() error {
	if err := f.writeSecrets(); err != nil {
		return err
	}
	for _, prepare := range []func() error{f.prepareEndpoints, f.prepareControl, f.prepareEntries} {
		if err := prepare(); err != nil {
			return err
		}
	}
	for _, p := range f.processes {
		if err := p.start(); err != nil {
			return err
		}
	}
	return f.configure()
}

// stop kills all processes that still run and closes the links.
func (f *fleet) stop() {
	for _, p := range f.processes {
		p.killIfRunning()
	}
	for _, l := range f.allLinks() {
		l.Close()
	}
}

func (f *fleet) writeSecrets() error {
	if err := f.write("hash-key", "scenario-hash-key-0123456789abcdef\n"); err != nil {
		return err
	}
	if err := f.write("operator-token", operatorToken+"\n"); err != nil {
		return err
	}
	if err := f.writeCertificate(); err != nil {
		return err
	}
	return f.write("operators", "scenario "+operatorToken+"\n")
}

func (f *fleet) path(file string) string { return filepath.Join(f.dir, file) }

func (f *fleet) write(file, text string) error {
	return os.WriteFile(f.path(file), []byte(text), 0o600)
}

func (f *fleet) addProcess(name, binary string, args ...string) {
	f.processes[name] = &process{name: name, path: filepath.Join(f.binDir, binary), args: args, logPath: f.path(name + ".log")}
}

// linkAddress returns the address of the link over which from reaches to. It creates the link if
// there is none.
func (f *fleet) linkAddress(from, to string) (string, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	key := from + ">" + to
	if k := f.links[key]; k != nil {
		return k.Address(), nil
	}
	l, err := freeListener()
	if err != nil {
		return "", err
	}
	k := loopback.New(l, f.addresses[to])
	f.links[key] = k
	return k.Address(), nil
}

func (f *fleet) allLinks() map[string]*loopback.Link {
	f.mu.Lock()
	defer f.mu.Unlock()
	return maps.Clone(f.links)
}

// addStandin adds a stand-in process with a free listen address.
func (f *fleet) addStandin(name string, args ...string) {
	f.addresses[name] = freeAddress()
	f.addProcess(name, "eelgrass-standin", append(args, "--listen", f.addresses[name])...)
	f.processes[name].listenAddress = f.addresses[name]
}

func (f *fleet) prepareEndpoints() error {
	for i := range f.size.engine {
		f.addStandin(name("engine", i), "engine", "--name", name("engine", i), "--model", model+"="+weightsVersion,
			"--seed", fmt.Sprint(i+1), fmt.Sprintf("--checks-fencing=%t", checksFencing(i)))
	}
	for i := range f.size.plain {
		f.addStandin(name("plain", i), "plain", "--name", "ordering")
	}
	for i := range f.size.store {
		f.addStandin(name("store", i), "store")
	}
	for i := range f.size.weights {
		f.addStandin(name("weights", i), "weights", "--load-time", "1s")
	}
	for i := range f.size.vms {
		f.addStandin(name("vms", i), "vms", "--lag", "1s")
	}
	return nil
}

// checksFencing reports whether engine i checks fencing numbers. Every third engine does not.
func checksFencing(i int) bool { return i%3 != 2 }

func (f *fleet) prepareControl() error {
	for _, n := range names("control", f.size.control) {
		f.addresses[n] = freeAddress()
	}
	for i, n := range names("control", f.size.control) {
		operator := freeAddress()
		f.operators = append(f.operators, operator)
		replicas := make([]string, f.size.control)
		for j, other := range names("control", f.size.control) {
			address := f.addresses[other]
			if j != i {
				linked, err := f.linkAddress(n, other)
				if err != nil {
					return err
				}
				address = linked
			}
			replicas[j] = fmt.Sprintf("%d=%s", j+1, address)
		}
		text := fmt.Sprintf(controlSettings, n, failureDomainOf(i), f.path(n+".data"), f.addresses[n], operator, i+1,
			strings.Join(replicas, ","), f.path("hash-key"), f.path("operators"))
		text = strings.Replace(text, "[node]\n", "[node]\n"+f.controlNode, 1)
		if f.size.vms > 0 {
			text = strings.Replace(text, "[control]\n", "[control]\nplatform_address = "+f.addresses["vms-1"]+"\n", 1)
		}
		if err := f.write(n+".ini", text+f.peerTLS()); err != nil {
			return err
		}
		f.addProcess(n, "eelgrass-control", "--config", f.path(n+".ini"))
	}
	return nil
}

const controlSettings = `[log]
level = debug
[node]
name = %s
failure_domain = %s
data_dir = %s
peer_address = %s
operator_address = %s
[control]
replica_id = %d
replicas = %s
[security]
hash_key_file = %s
operator_tokens_file = %s
[journal]
run_time = 15s
`

func (f *fleet) prepareEntries() error {
	for i, n := range names("entry", f.size.entry) {
		f.addresses[n] = freeAddress()
		var control []string
		for _, c := range names("control", f.size.control) {
			linked, err := f.linkAddress(n, c)
			if err != nil {
				return err
			}
			control = append(control, linked)
		}
		text := fmt.Sprintf(entrySettings, n, failureDomainOf(i), f.addresses[n], freeAddress(), strings.Join(control, ","), f.path("hash-key"))
		text = strings.Replace(text, "[node]\n", "[node]\n"+f.entryNode, 1)
		if err := f.write(n+".ini", text+f.peerTLS()); err != nil {
			return err
		}
		f.addProcess(n, "eelgrass-entry", "--config", f.path(n+".ini"))
	}
	return nil
}

const entrySettings = `[log]
level = debug
[node]
name = %s
failure_domain = %s
address = %s
peer_address = %s
[control]
addresses = %s
[security]
hash_key_file = %s
`

// operator returns an operator client of control replica i.
func (f *fleet) operator(i int) eelgrassv1connect.OperatorClient {
	auth := connect.UnaryInterceptorFunc(func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, r connect.AnyRequest) (connect.AnyResponse, error) {
			r.Header().Set("Authorization", "Bearer "+operatorToken)
			return next(ctx, r)
		}
	})
	return eelgrassv1connect.NewOperatorClient(http.DefaultClient, "http://"+f.operators[i], connect.WithInterceptors(auth))
}

// configure applies the fleet's configuration and waits until it is in force.
func (f *fleet) configure() error {
	mutations, err := f.mutations()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), setupTimeout)
	defer cancel()
	_, err = tryReplicas(ctx, f, func(c eelgrassv1connect.OperatorClient) (*connect.Response[pb.ChangeResponse], error) {
		return c.Change(ctx, connect.NewRequest(&pb.ChangeRequest{Meta: &pb.ChangeMeta{OperationId: "scenario-setup"}, Mutations: mutations}))
	})
	if err != nil {
		return errors.Wrap(err, "set up the configuration")
	}
	revision := uint64(0)
	for _, a := range accounts {
		key, err := tryReplicas(ctx, f, func(c eelgrassv1connect.OperatorClient) (*connect.Response[pb.IssueKeyResponse], error) {
			return c.IssueKey(ctx, connect.NewRequest(&pb.IssueKeyRequest{Meta: &pb.ChangeMeta{OperationId: "scenario-key-" + a.GetName()}, ClientAccount: a.GetName()}))
		})
		if err != nil {
			return errors.Wrap(err, "issue a key")
		}
		f.keys[a.GetName()], f.keyIDs[a.GetName()], revision = key.Msg.GetToken(), key.Msg.GetId(), key.Msg.GetRevision()
	}
	return f.waitInForce(ctx, revision)
}

// waitInForce waits until the revision is in force and every entry VM serves.
func (f *fleet) waitInForce(ctx context.Context, revision uint64) error {
	for {
		_, err := tryReplicas(ctx, f, func(c eelgrassv1connect.OperatorClient) (*connect.Response[pb.WaitResponse], error) {
			return c.Wait(ctx, connect.NewRequest(&pb.WaitRequest{Revision: revision, TimeoutMs: 1000}))
		})
		if err != nil {
			return errors.Wrap(err, "wait until the configuration is in force")
		}
		if f.allEntriesServe() {
			return nil
		}
	}
}

// allEntriesServe reports whether every entry VM returns the list of entry VMs to clients.
func (f *fleet) allEntriesServe() bool {
	for _, n := range names("entry", f.size.entry) {
		answer := f.call(callSpec{entry: n, kind: "entries", timeout: time.Second})
		if answer.status != http.StatusOK {
			return false
		}
	}
	return true
}

const retryInterval = 50 * time.Millisecond

// tryReplicas calls the control replicas in turn until a call succeeds, a call fails with an error that
// a retry can't change, or ctx ends.
func tryReplicas[T any](ctx context.Context, f *fleet, call func(eelgrassv1connect.OperatorClient) (T, error)) (T, error) {
	for i := 0; ; i++ {
		answer, err := call(f.operator(i % f.size.control))
		if err == nil || ctx.Err() != nil {
			return answer, err
		}
		if code := connect.CodeOf(err); code == connect.CodeInvalidArgument || code == connect.CodeUnauthenticated || code == connect.CodeUnimplemented {
			return answer, err
		}
		time.Sleep(retryInterval)
	}
}

// mutations returns the changes that create the fleet's configuration.
func (f *fleet) mutations() ([]*pb.Mutation, error) {
	var all []*pb.Mutation
	for _, a := range accounts {
		all = append(all, &pb.Mutation{Change: &pb.Mutation_PutClientAccount{PutClientAccount: a}})
	}
	all = append(all, &pb.Mutation{Change: &pb.Mutation_PutModel{PutModel: &pb.Model{Name: model, WeightsVersion: weightsVersion, MinEndpoints: 1}}})
	for _, r := range []*pb.Route{
		{Name: "chat", Kind: pb.RouteKind_ROUTE_KIND_MODEL, Model: model, Idempotent: true},
		{Name: "orders", Kind: pb.RouteKind_ROUTE_KIND_PLAIN, PathPrefix: "/orders", Service: "ordering", CallTokens: 1},
		{Name: "stock", Kind: pb.RouteKind_ROUTE_KIND_PLAIN, PathPrefix: "/stock", Service: "ordering", Idempotent: true, CallTokens: 1},
		{Name: "hours", Kind: pb.RouteKind_ROUTE_KIND_PLAIN, PathPrefix: "/hours", Service: "ordering", Idempotent: true, Open: true},
	} {
		all = append(all, &pb.Mutation{Change: &pb.Mutation_PutRoute{PutRoute: r}})
	}
	endpoints, err := f.endpoints()
	for _, e := range endpoints {
		all = append(all, &pb.Mutation{Change: &pb.Mutation_PutEndpoint{PutEndpoint: e}})
	}
	return all, err
}

func (f *fleet) endpoints() ([]*pb.Endpoint, error) {
	var all []*pb.Endpoint
	add := func(kind string, n int, set func(i int, e *pb.Endpoint)) error {
		for i := range n {
			address, err := f.linkAddress("fleet", name(kind, i))
			if err != nil {
				return err
			}
			e := &pb.Endpoint{Name: name(kind, i), Address: address, FailureDomain: failureDomainOf(i)}
			set(i, e)
			all = append(all, e)
		}
		return nil
	}
	err := add("engine", f.size.engine, func(i int, e *pb.Endpoint) {
		e.Role, e.Models, e.ChecksFencing = pb.EndpointRole_ENDPOINT_ROLE_ENGINE, []string{model}, checksFencing(i)
	})
	if err == nil {
		err = add("plain", f.size.plain, func(_ int, e *pb.Endpoint) {
			e.Role, e.Service = pb.EndpointRole_ENDPOINT_ROLE_PLAIN, "ordering"
		})
	}
	if err == nil {
		err = add("store", f.size.store, func(_ int, e *pb.Endpoint) { e.Role = pb.EndpointRole_ENDPOINT_ROLE_KEPT_CACHE })
	}
	if err == nil {
		err = add("weights", f.size.weights, func(_ int, e *pb.Endpoint) { e.Role = pb.EndpointRole_ENDPOINT_ROLE_WEIGHT_STORE })
	}
	return all, err
}
