package scenario

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os/exec"
	"path"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"syscall"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"github.com/rogpeppe/go-internal/testscript"

	pb "eelgrasshollow/gen/eelgrass/v1"
	"eelgrasshollow/gen/eelgrass/v1/eelgrassv1connect"
	"eelgrasshollow/internal/engineapi"
	"eelgrasshollow/internal/loopback"
	"eelgrasshollow/internal/standin"
)

// command is a command of the scenario language. It returns its output.
type command func(f *fleet, args []string) (string, error)

func commandTable() map[string]command {
	return map[string]command{
		"start":     onProcesses((*process).start, (*loopback.Link).Accept),
		"shutdown":  onProcesses((*process).shutdown, (*loopback.Link).Refuse),
		"crash":     onProcesses((*process).crash, (*loopback.Link).Refuse),
		"pause":     onProcesses(func(p *process) error { return p.signal(syscall.SIGSTOP) }, nil),
		"resume":    onProcesses(func(p *process) error { return p.signal(syscall.SIGCONT) }, nil),
		"cut":       onLinks(func(k *loopback.Link, _ bool) { k.Cut(true, true) }),
		"cut-out":   onLinks(func(k *loopback.Link, toDials bool) { k.Cut(!toDials, toDials) }),
		"heal":      onLinks(func(k *loopback.Link, _ bool) { k.Heal() }),
		"silence":   onLinks(func(k *loopback.Link, _ bool) { k.Silence() }),
		"ctl":       ctl,
		"try":       func(f *fleet, args []string) (string, error) { out, _ := ctl(f, args); return out, nil },
		"vm":        setVMState,
		"call":      callCommand,
		"begin":     beginCall,
		"reached":   awaitEvents,
		"await":     awaitCall,
		"runs":      countRuns,
		"fault":     setFault,
		"stats":     fetchStats,
		"logged":    grepLog,
		"sleep":     sleepCommand,
		"accounts":  createAccounts,
		"load":      startLoad,
		"finished":  awaitLoad,
		"plainpeer": pingWithoutTLS,
	}
}

// testscriptCommands returns the commands in the form that testscript needs, together with
// "eventually DURATION REGEXP COMMAND..." and "throughout DURATION REGEXP COMMAND...", which run
// another command repeatedly.
func testscriptCommands() map[string]func(*testscript.TestScript, bool, []string) {
	all := map[string]func(*testscript.TestScript, bool, []string){"fleet": fleetCommand, "eventually": eventually, "throughout": throughout}
	for name, c := range commandTable() {
		all[name] = func(ts *testscript.TestScript, neg bool, args []string) {
			out, err := c(fleetFor(ts), args)
			fmt.Fprint(ts.Stdout(), out)
			if neg && err == nil {
				ts.Fatalf("unexpected success: %s", out)
			}
			if !neg && err != nil {
				ts.Fatalf("%v\n%s", err, out)
			}
		}
	}
	return all
}

var fleets = newRegistry()

func fleetFor(ts *testscript.TestScript) *fleet {
	f := fleets.get(ts.Name())
	if f == nil {
		ts.Fatalf("the script has not started a fleet")
	}
	return f
}

// fleetCommand starts a fleet: fleet control=1 entry=2 engine=3 plain=1 store=0
// weights=0 vms=0 tls=0. Without their options, control, entry, engine and plain are 1 and the
// others are 0.
func fleetCommand(ts *testscript.TestScript, _ bool, args []string) {
	s := fleetSize{control: 1, entry: 1, engine: 1, plain: 1}
	for k, v := range options(args) {
		n, err := strconv.Atoi(v)
		ts.Check(err)
		switch k {
		case "control":
			s.control = n
		case "entry":
			s.entry = n
		case "engine":
			s.engine = n
		case "plain":
			s.plain = n
		case "store":
			s.store = n
		case "weights":
			s.weights = n
		case "vms":
			s.vms = n
		case "tls":
			s.tls = n
		default:
			ts.Fatalf("unknown kind of process %q in a fleet", k)
		}
	}
	f := newFleet(ts.MkAbs("."), binDir, s)
	fleets.set(ts.Name(), f)
	ts.Defer(f.stop)
	ts.Check(f.start())
	for account, key := range f.keys {
		ts.Setenv("KEY_"+account, key)
		ts.Setenv("KEYID_"+account, f.keyIDs[account])
	}
	for name, address := range f.addresses {
		ts.Setenv("ADDR_"+strings.ReplaceAll(name, "-", "_"), address)
	}
}

func options(args []string) map[string]string {
	all := map[string]string{}
	for _, a := range args {
		k, v, _ := strings.Cut(a, "=")
		all[k] = v
	}
	return all
}

const pollInterval = 50 * time.Millisecond

// eventually runs a command repeatedly until its output matches, and fails after the duration.
func eventually(ts *testscript.TestScript, _ bool, args []string) {
	timeout, pattern, run := parseRepeated(ts, args)
	deadline := time.Now().Add(timeout)
	for {
		out, err := run()
		if err == nil && pattern.MatchString(out) {
			fmt.Fprint(ts.Stdout(), out)
			return
		}
		if time.Now().After(deadline) {
			ts.Fatalf("after %v, no output matched %q; last error: %v, last output:\n%s", timeout, pattern, err, out)
		}
		time.Sleep(pollInterval)
	}
}

// throughout runs a command repeatedly for the duration and fails if an output does not match.
func throughout(ts *testscript.TestScript, _ bool, args []string) {
	timeout, pattern, run := parseRepeated(ts, args)
	deadline := time.Now().Add(timeout)
	for time.Now().Before(deadline) {
		out, err := run()
		if err != nil || !pattern.MatchString(out) {
			ts.Fatalf("output did not match %q: error %v, output:\n%s", pattern, err, out)
		}
		time.Sleep(pollInterval)
	}
}

func parseRepeated(ts *testscript.TestScript, args []string) (time.Duration, *regexp.Regexp, func() (string, error)) {
	if len(args) < 3 {
		ts.Fatalf("usage: DURATION REGEXP COMMAND...")
	}
	timeout, err := time.ParseDuration(args[0])
	ts.Check(err)
	pattern, err := regexp.Compile(args[1])
	ts.Check(err)
	c, ok := commandTable()[args[2]]
	if !ok {
		ts.Fatalf("unknown command %q", args[2])
	}
	f := fleetFor(ts)
	return timeout, pattern, func() (string, error) { return c(f, args[3:]) }
}

// onProcesses returns a command that calls do on each process and then onLink on each link to it.
func onProcesses(do func(*process) error, onLink func(*loopback.Link) error) command {
	return func(f *fleet, args []string) (string, error) {
		for _, n := range args {
			p := f.processes[n]
			if p == nil {
				return "", errors.Newf("no process %q", n)
			}
			if err := do(p); err != nil {
				return "", err
			}
			if err := f.onLinksTo(n, onLink); err != nil {
				return "", err
			}
		}
		return "", nil
	}
}

// onLinksTo calls do, unless it is nil, on every link to the named process.
func (f *fleet) onLinksTo(name string, do func(*loopback.Link) error) error {
	if do == nil {
		return nil
	}
	for key, k := range f.allLinks() {
		if !strings.HasSuffix(key, ">"+name) {
			continue
		}
		if err := do(k); err != nil {
			return err
		}
	}
	return nil
}

// onLinks returns a command that calls do on every link between FROM and TO, whichever side dials. TO
// may be a pattern such as "control-*". The second argument of do is true if TO is the side that
// dials.
func onLinks(do func(k *loopback.Link, toDials bool)) command {
	return func(f *fleet, args []string) (string, error) {
		if len(args) != 2 {
			return "", errors.New("usage: FROM TO")
		}
		matched := 0
		for key, k := range f.allLinks() {
			from, to, _ := strings.Cut(key, ">")
			forward := linkMatches(args[0], args[1], from, to)
			if forward || linkMatches(args[0], args[1], to, from) {
				do(k, !forward)
				matched++
			}
		}
		if matched == 0 {
			return "", errors.Newf("no link between %s and %s", args[0], args[1])
		}
		return "", nil
	}
}

// linkMatches reports whether a link connects the wanted ends. The wanted TO may be a pattern, which
// does not match the links of callers.
func linkMatches(wantFrom, wantTo, from, to string) bool {
	ok, err := path.Match(wantTo, to)
	return wantFrom == from && ok && err == nil && to != "caller" && from != "caller" || wantFrom == from && wantTo == to
}

// ctl runs eelctl against all control replicas, or with at=N against replica N only.
func ctl(f *fleet, args []string) (string, error) {
	servers := make([]string, len(f.operators))
	for i, o := range f.operators {
		servers[i] = "http://" + o
	}
	if at, ok := strings.CutPrefix(args[0], "at="); ok {
		n, err := strconv.Atoi(at)
		if err != nil {
			return "", err
		}
		servers, args = servers[n-1:n], args[1:]
	}
	args = append([]string{"--server", strings.Join(servers, ","), "--token-file", f.path("operator-token")}, args...)
	out, err := exec.Command(filepath.Join(f.binDir, "eelctl"), args...).CombinedOutput()
	return string(out), err
}

func parseCall(args []string) (callSpec, error) {
	if len(args) < 2 {
		return callSpec{}, errors.New("usage: ENTRY KIND [key=ACCOUNT] [id=ID] [body=B] [prompt=P] [prefix=TOKENS] [tokens=N] [whole=true] [timeout=D]")
	}
	c := callSpec{entry: args[0], kind: args[1], account: "litoral", prompt: "quote", maxTokens: 8, model: model, body: "tagliatelle"}
	var err error
	for k, v := range options(args[2:]) {
		switch k {
		case "key":
			c.account = v
		case "id":
			c.id = v
		case "body":
			c.body = v
		case "prompt":
			c.prompt = v
		case "model":
			c.model = v
		case "whole":
			c.unstreamed = v == "true"
		case "prefix":
			c.prefixTokens, err = strconv.Atoi(v)
		case "tokens":
			c.maxTokens, err = strconv.Atoi(v)
		case "timeout":
			c.timeout, err = time.ParseDuration(v)
		default:
			err = errors.Newf("unknown option %q of a call", k)
		}
		if err != nil {
			return c, err
		}
	}
	return c, nil
}

func callCommand(f *fleet, args []string) (string, error) {
	c, err := parseCall(args)
	if err != nil {
		return "", err
	}
	return f.call(c).String(), nil
}

// beginCall starts a call in the background: begin NAME ENTRY KIND...
func beginCall(f *fleet, args []string) (string, error) {
	c, err := parseCall(args[1:])
	if err != nil {
		return "", err
	}
	if _, err := f.linkAddress("caller", c.entry); err != nil {
		return "", err
	}
	p := newPendingCall()
	f.calls[args[0]] = p
	go func() {
		p.result = f.callTracked(c, p)
		close(p.done)
	}()
	return "", nil
}

const awaitTimeout = 60 * time.Second

// awaitEvents waits until N events of a stream have arrived: reached NAME N.
func awaitEvents(f *fleet, args []string) (string, error) {
	p, ok := f.calls[args[0]]
	n, err := strconv.Atoi(args[1])
	if !ok || err != nil {
		return "", errors.Newf("usage: reached NAME N")
	}
	timeout := time.After(awaitTimeout)
	for {
		events, changed := p.eventCount()
		if events >= n {
			return "", nil
		}
		select {
		case <-changed:
		case <-p.done:
			return p.result.String(), errors.New("the call ended before these events arrived")
		case <-timeout:
			return "", errors.Newf("only %d events arrived within %v", events, awaitTimeout)
		}
	}
}

// awaitCall waits for a background call and returns its result: await NAME.
func awaitCall(f *fleet, args []string) (string, error) {
	p, ok := f.calls[args[0]]
	if !ok {
		return "", errors.Newf("no call %q has been started", args[0])
	}
	select {
	case <-p.done:
		return p.result.String(), nil
	case <-time.After(awaitTimeout):
		return "", errors.Newf("the call did not end within %v", awaitTimeout)
	}
}

// countRuns prints how often the running plain endpoints together executed a request ID: runs ID.
func countRuns(f *fleet, args []string) (string, error) {
	total := 0
	for _, n := range names("plain", f.size.plain) {
		if !f.processes[n].running() {
			continue
		}
		var s standin.PlainStats
		if err := f.getStats(n, &s); err != nil {
			return "", err
		}
		total += s.Runs[args[0]]
	}
	return fmt.Sprintf("runs=%d\n", total), nil
}

// getStats decodes the counters of a stand-in into out.
func (f *fleet) getStats(name string, out any) error {
	data, err := fetchStats(f, []string{name})
	if err != nil {
		return err
	}
	return json.Unmarshal([]byte(data), out)
}

var adminClient = &http.Client{Timeout: 5 * time.Second}

// fetchStats prints the counters of a stand-in: stats NAME.
func fetchStats(f *fleet, args []string) (string, error) {
	response, err := adminClient.Get("http://" + f.addresses[args[0]] + "/admin/stats")
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return string(data), err
}

// setFault activates a fault of a stand-in: fault NAME KIND [count=N] [delay_ms=N] [after_tokens=N].
func setFault(f *fleet, args []string) (string, error) {
	body := map[string]any{"kind": args[1]}
	for k, v := range options(args[2:]) {
		n, err := strconv.Atoi(v)
		if err != nil {
			return "", err
		}
		body[k] = n
	}
	data, err := json.Marshal(body)
	if err != nil {
		return "", err
	}
	response, err := adminClient.Post("http://"+f.addresses[args[0]]+"/admin/fault", "application/json", bytes.NewReader(data))
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusNoContent {
		return "", errors.Newf("fault: %s", response.Status)
	}
	return "", nil
}

// grepLog prints the log lines of a process that match: logged NAME REGEXP.
func grepLog(f *fleet, args []string) (string, error) {
	out, err := exec.Command("grep", "-E", "--", args[1], f.path(args[0]+".log")).Output()
	return string(out), err
}

func sleepCommand(_ *fleet, args []string) (string, error) {
	d, err := time.ParseDuration(args[0])
	time.Sleep(d)
	return "", err
}

// createAccounts creates N client accounts with one change each: accounts N PREFIX.
func createAccounts(f *fleet, args []string) (string, error) {
	n, err := strconv.Atoi(args[0])
	if err != nil {
		return "", err
	}
	ctx, cancel := context.WithTimeout(context.Background(), awaitTimeout)
	defer cancel()
	for i := range n {
		account := &pb.ClientAccount{Name: fmt.Sprintf("%s-%d", args[1], i+1), RateTokens: 1, BurstTokens: 1}
		meta := &pb.ChangeMeta{OperationId: "scenario-" + account.GetName()}
		_, err := tryReplicas(ctx, f, func(c eelgrassv1connect.OperatorClient) (*connect.Response[pb.ChangeResponse], error) {
			return c.CreateClientAccount(ctx, connect.NewRequest(&pb.CreateClientAccountRequest{Meta: meta, ClientAccount: account}))
		})
		if err != nil {
			return "", err
		}
	}
	return "", nil
}

// setVMState sets the state of a VM in the platform's list: vm NAME live|leaving.
func setVMState(f *fleet, args []string) (string, error) {
	f.vmStates[args[0]] = args[1]
	var list engineapi.VMList
	for i, n := range names("entry", f.size.entry) {
		state := f.vmStates[n]
		if state == "" {
			state = engineapi.VMLive
		}
		list.VMs = append(list.VMs, engineapi.VM{Name: n, Address: f.addresses[n], FailureDomain: failureDomainOf(i), State: state})
	}
	data, err := json.Marshal(list)
	if err != nil {
		return "", err
	}
	r, err := http.NewRequest(http.MethodPut, "http://"+f.addresses["vms-1"]+"/admin/vms", bytes.NewReader(data))
	if err != nil {
		return "", err
	}
	response, err := adminClient.Do(r)
	if err != nil {
		return "", err
	}
	return "", response.Body.Close()
}
