package scenario

import (
	"fmt"
	"os/exec"
	"path/filepath"
	"strings"

	"github.com/cockroachdb/errors"
)

// loadRun is an eelgrass-load process that runs in the background. done is closed when it has ended.
type loadRun struct {
	done chan struct{}
	out  []byte
	err  error
}

const loadSettings = `[target]
entries = %s
accounts_file = %s
plain_endpoints = %s
engine_endpoints = %s
operators = %s
operator_token_file = %s
[run]
name = %s
duration = %s
rate = %s
callers = 30
timeout = 30s
attempts = 6
[prompts]
levels = 2000x3, 1000x4
own_tokens = 50
max_tokens = 16
hot_shift = %s
[mix]
model = %s
order_share = 0.25
call_tokens = 1
resend_share = 0.3
[greedy]
account = %s
times = %s
[oracles]
withdraw_account = %s
withdraw_after = 3s
`

// startLoad starts eelgrass-load in the background: load NAME [duration=D] [rate=N]
// [hot_shift=D] [greedy=ACCOUNT] [times=N] [withdraw=ACCOUNT].
func startLoad(f *fleet, args []string) (string, error) {
	opts := map[string]string{"duration": "8s", "rate": "60", "hot_shift": "0s", "times": "1"}
	for k, v := range options(args[1:]) {
		opts[k] = v
	}
	if err := f.writeAccounts(); err != nil {
		return "", err
	}
	text := fmt.Sprintf(loadSettings, f.addressList("entry", f.size.entry), f.path("accounts"),
		f.addressList("plain", f.size.plain), f.addressList("engine", f.size.engine), strings.Join(f.operators, ","),
		f.path("operator-token"), args[0], opts["duration"], opts["rate"], opts["hot_shift"], model, opts["greedy"], opts["times"], opts["withdraw"])
	if err := f.write(args[0]+".ini", text); err != nil {
		return "", err
	}
	run := &loadRun{done: make(chan struct{})}
	f.loads[args[0]] = run
	command := exec.Command(filepath.Join(f.binDir, "eelgrass-load"), "--config", f.path(args[0]+".ini"), "--json", f.path(args[0]+".json"))
	go func() {
		run.out, run.err = command.CombinedOutput()
		close(run.done)
	}()
	return "", nil
}

// awaitLoad waits until a load run ends and returns its output: finished NAME. It fails if an oracle
// found a violation.
func awaitLoad(f *fleet, args []string) (string, error) {
	run := f.loads[args[0]]
	if run == nil {
		return "", errors.Newf("no load %q has been started", args[0])
	}
	<-run.done
	return string(run.out), run.err
}

func (f *fleet) addressList(kind string, n int) string {
	addresses := make([]string, n)
	for i, name := range names(kind, n) {
		addresses[i] = f.addresses[name]
	}
	return strings.Join(addresses, ",")
}

// writeAccounts writes the accounts file of eelgrass-load, with the keys of all client accounts.
func (f *fleet) writeAccounts() error {
	var b strings.Builder
	for _, a := range accounts {
		fmt.Fprintf(&b, "%s %s 1 %d %d\n", a.GetName(), f.keys[a.GetName()], a.GetRateTokens(), a.GetBurstTokens())
	}
	return f.write("accounts", b.String())
}
