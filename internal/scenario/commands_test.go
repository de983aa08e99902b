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

// command is one of ours: it returns what it saw.
type command func(f *fleet, args []string) (string, error)

func table() map[string]command {
	return map[string]command{
		"start":     onProcesses((*process).start, (*loopback.Link).Accept),
		"shutdown":  onProcesses((*process).shutdown, (*loopback.Link).Refuse),
		"crash":     onProcesses((*process).crash, (*loopback.Link).Refuse),
		"pause":     onProcesses(func(p *process) error { return p.signal(syscall.SIGSTOP) }, nil),
		"resume":    onProcesses(func(p *process) error { return p.signal(syscall.SIGCONT) }, nil),
		"cut":       onLinks(func(k *loopback.Link, _ bool) { k.Cut(true, true) }),
		"cut-out":   onLinks(func(k *loopback.Link, dialled bool) { k.Cut(!dialled, dialled) }),
		"heal":      onLinks(func(k *loopback.Link, _ bool) { k.Heal() }),
		"silence":   onLinks(func(k *loopback.Link, _ bool) { k.Silence() }),
		"ctl":       ctl,
		"try":       func(f *fleet, args []string) (string, error) { out, _ := ctl(f, args); return out, nil },
		"vm":        platformVM,
		"call":      callNow,
		"begin":     begin,
		"reached":   reached,
		"await":     await,
		"runs":      runs,
		"fault":     fault,
		"stats":     stats,
		"logged":    logged,
		"sleep":     pauseScript,
		"accounts":  manyAccounts,
		"load":      startLoad,
		"finished":  finished,
		"plainpeer": plainPeer,
	}
}

// commands wraps ours for testscript: "eventually DURATION REGEXP COMMAND..." and
// "throughout DURATION REGEXP COMMAND..." run one of them again and again.
func commands() map[string]func(*testscript.TestScript, bool, []string) {
	all := map[string]func(*testscript.TestScript, bool, []string){"fleet": fleetCommand, "eventually": eventually, "throughout": throughout}
	for name, c := range table() {
		all[name] = func(ts *testscript.TestScript, neg bool, args []string) {
			out, err := c(fleetOf(ts), args)
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

func fleetOf(ts *testscript.TestScript) *fleet {
	f := fleets.get(ts.Name())
	if f == nil {
		ts.Fatalf("no fleet has been started")
	}
	return f
}

// fleetCommand starts a fleet: fleet control=1 entry=2 engine=3 plain=1 store=0
// weights=0 vms=0 tls=0.
func fleetCommand(ts *testscript.TestScript, _ bool, args []string) {
	s := shape{control: 1, entry: 1, engine: 1, plain: 1}
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
			ts.Fatalf("a fleet has no %q", k)
		}
	}
	f := newFleet(ts.MkAbs("."), binaries, s)
	fleets.set(ts.Name(), f)
	ts.Defer(f.down)
	ts.Check(f.up())
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

const pollPause = 50 * time.Millisecond

// eventually runs a command until its output matches, or fails at the end.
func eventually(ts *testscript.TestScript, _ bool, args []string) {
	bound, pattern, run := repeated(ts, args)
	deadline := time.Now().Add(bound)
	for {
		out, err := run()
		if err == nil && pattern.MatchString(out) {
			fmt.Fprint(ts.Stdout(), out)
			return
		}
		if time.Now().After(deadline) {
			ts.Fatalf("not within %v: %q; at last: %v\n%s", bound, pattern, err, out)
		}
		time.Sleep(pollPause)
	}
}

// throughout runs a command for a while and fails once its output does not match.
func throughout(ts *testscript.TestScript, _ bool, args []string) {
	bound, pattern, run := repeated(ts, args)
	deadline := time.Now().Add(bound)
	for time.Now().Before(deadline) {
		out, err := run()
		if err != nil || !pattern.MatchString(out) {
			ts.Fatalf("no longer %q: %v\n%s", pattern, err, out)
		}
		time.Sleep(pollPause)
	}
}

func repeated(ts *testscript.TestScript, args []string) (time.Duration, *regexp.Regexp, func() (string, error)) {
	if len(args) < 3 {
		ts.Fatalf("usage: DURATION REGEXP COMMAND...")
	}
	bound, err := time.ParseDuration(args[0])
	ts.Check(err)
	pattern, err := regexp.Compile(args[1])
	ts.Check(err)
	c, ok := table()[args[2]]
	if !ok {
		ts.Fatalf("unknown command %q", args[2])
	}
	f := fleetOf(ts)
	return bound, pattern, func() (string, error) { return c(f, args[3:]) }
}

// onProcesses does something to processes, then to the links that lead to them.
func onProcesses(do func(*process) error, then func(*loopback.Link) error) command {
	return func(f *fleet, args []string) (string, error) {
		for _, n := range args {
			p := f.processes[n]
			if p == nil {
				return "", errors.Newf("no process %q", n)
			}
			if err := do(p); err != nil {
				return "", err
			}
			if err := f.onLinksTo(n, then); err != nil {
				return "", err
			}
		}
		return "", nil
	}
}

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

// onLinks works on every link between FROM and TO, whichever dials; TO may be a
// pattern such as "control-*".
// dialled says that TO is the side that dials.
func onLinks(do func(k *loopback.Link, dialled bool)) command {
	return func(f *fleet, args []string) (string, error) {
		if len(args) != 2 {
			return "", errors.New("usage: FROM TO")
		}
		hit := 0
		for key, k := range f.allLinks() {
			from, to, _ := strings.Cut(key, ">")
			forward := matches(args[0], args[1], from, to)
			if forward || matches(args[0], args[1], to, from) {
				do(k, !forward)
				hit++
			}
		}
		if hit == 0 {
			return "", errors.Newf("no link between %s and %s", args[0], args[1])
		}
		return "", nil
	}
}

func matches(wantFrom, wantTo, from, to string) bool {
	ok, err := path.Match(wantTo, to)
	return wantFrom == from && ok && err == nil && to != "caller" && from != "caller" || wantFrom == from && wantTo == to
}

// ctl runs eelctl against all control replicas, or with at=N against one.
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
	out, err := exec.Command(filepath.Join(f.bin, "eelctl"), args...).CombinedOutput()
	return string(out), err
}

func parseCall(args []string) (callSpec, error) {
	if len(args) < 2 {
		return callSpec{}, errors.New("usage: ENTRY KIND [key=ACCOUNT] [id=ID] [body=B] [prompt=P] [prefix=TOKENS] [tokens=N] [whole=true] [timeout=D]")
	}
	c := callSpec{entry: args[0], kind: args[1], key: "litoral", prompt: "quote", tokens: 8, model: model, body: "tagliatelle"}
	var err error
	for k, v := range options(args[2:]) {
		switch k {
		case "key":
			c.key = v
		case "id":
			c.id = v
		case "body":
			c.body = v
		case "prompt":
			c.prompt = v
		case "model":
			c.model = v
		case "whole":
			c.whole = v == "true"
		case "prefix":
			c.prefix, err = strconv.Atoi(v)
		case "tokens":
			c.tokens, err = strconv.Atoi(v)
		case "timeout":
			c.timeout, err = time.ParseDuration(v)
		default:
			err = errors.Newf("a call has no %q", k)
		}
		if err != nil {
			return c, err
		}
	}
	return c, nil
}

func callNow(f *fleet, args []string) (string, error) {
	c, err := parseCall(args)
	if err != nil {
		return "", err
	}
	return f.call(c).String(), nil
}

// begin starts a call in the background: begin NAME ENTRY KIND...
func begin(f *fleet, args []string) (string, error) {
	c, err := parseCall(args[1:])
	if err != nil {
		return "", err
	}
	if _, err := f.link("caller", c.entry); err != nil {
		return "", err
	}
	p := newPending()
	f.calls[args[0]] = p
	go func() {
		p.result = f.callWith(c, p)
		close(p.done)
	}()
	return "", nil
}

const awaitBound = 60 * time.Second

// reached waits until a stream has brought so many events: reached NAME N.
func reached(f *fleet, args []string) (string, error) {
	p, ok := f.calls[args[0]]
	n, err := strconv.Atoi(args[1])
	if !ok || err != nil {
		return "", errors.Newf("usage: reached NAME N")
	}
	end := time.After(awaitBound)
	for {
		events, moved := p.seen()
		if events >= n {
			return "", nil
		}
		select {
		case <-moved:
		case <-p.done:
			return p.result.String(), errors.New("the call ended before")
		case <-end:
			return "", errors.Newf("%d events after %v", events, awaitBound)
		}
	}
}

// await returns the result of a call begun before.
func await(f *fleet, args []string) (string, error) {
	p, ok := f.calls[args[0]]
	if !ok {
		return "", errors.Newf("no call %q has begun", args[0])
	}
	select {
	case <-p.done:
		return p.result.String(), nil
	case <-time.After(awaitBound):
		return "", errors.Newf("no end after %v", awaitBound)
	}
}

// runs adds up how often a request ID ran at the plain endpoints: runs ID.
func runs(f *fleet, args []string) (string, error) {
	total := 0
	for _, n := range names("plain", f.shape.plain) {
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

func (f *fleet) getStats(name string, out any) error {
	data, err := stats(f, []string{name})
	if err != nil {
		return err
	}
	return json.Unmarshal([]byte(data), out)
}

var adminClient = &http.Client{Timeout: 5 * time.Second}

// stats prints a stand-in's counts: stats NAME.
func stats(f *fleet, args []string) (string, error) {
	response, err := adminClient.Get("http://" + f.addresses[args[0]] + "/admin/stats")
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return string(data), err
}

// fault switches a stand-in's fault: fault NAME KIND [count=N] [delay_ms=N] [after_tokens=N].
func fault(f *fleet, args []string) (string, error) {
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

// logged prints a process's log lines that match: logged NAME REGEXP.
func logged(f *fleet, args []string) (string, error) {
	out, err := exec.Command("grep", "-E", "--", args[1], f.path(args[0]+".log")).Output()
	return string(out), err
}

func pauseScript(_ *fleet, args []string) (string, error) {
	d, err := time.ParseDuration(args[0])
	time.Sleep(d)
	return "", err
}

// manyAccounts carries out so many changes one by one: accounts N PREFIX.
func manyAccounts(f *fleet, args []string) (string, error) {
	n, err := strconv.Atoi(args[0])
	if err != nil {
		return "", err
	}
	ctx, cancel := context.WithTimeout(context.Background(), awaitBound)
	defer cancel()
	for i := range n {
		account := &pb.ClientAccount{Name: fmt.Sprintf("%s-%d", args[1], i+1), RateTokens: 1, BurstTokens: 1}
		meta := &pb.ChangeMeta{OperationId: "scenario-" + account.GetName()}
		_, err := retry(ctx, f, func(c eelgrassv1connect.OperatorClient) (*connect.Response[pb.ChangeResponse], error) {
			return c.CreateClientAccount(ctx, connect.NewRequest(&pb.CreateClientAccountRequest{Meta: meta, ClientAccount: account}))
		})
		if err != nil {
			return "", err
		}
	}
	return "", nil
}

// platformVM changes a VM's state in the platform's list: vm NAME live|leaving.
func platformVM(f *fleet, args []string) (string, error) {
	f.vmStates[args[0]] = args[1]
	var list engineapi.VMList
	for i, n := range names("entry", f.shape.entry) {
		state := f.vmStates[n]
		if state == "" {
			state = engineapi.VMLive
		}
		list.VMs = append(list.VMs, engineapi.VM{Name: n, Address: f.addresses[n], FailureDomain: domain(i), State: state})
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
