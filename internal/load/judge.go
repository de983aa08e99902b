package load

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sort"
	"time"

	"github.com/cockroachdb/errors"

	"eelgrasshollow/internal/oracle"
	"eelgrasshollow/internal/standin"
)

// Verdict is one oracle's finding.
type Verdict struct {
	Oracle   string   `json:"oracle"`
	Checked  int      `json:"checked"`
	Broken   int      `json:"broken"`
	Examples []string `json:"examples,omitempty"`
	// Skipped says why the oracle could not judge; that is no pass.
	Skipped string `json:"skipped,omitempty"`
}

const examplesKept = 5

func (v *Verdict) broke(format string, args ...any) {
	v.Broken++
	if len(v.Examples) < examplesKept {
		v.Examples = append(v.Examples, fmt.Sprintf(format, args...))
	}
}

// Judge runs every oracle over a trace.
func Judge(ctx context.Context, t *Trace) []Verdict {
	runs, secret, err := plainRuns(ctx, t.Settings.Target)
	return []Verdict{
		judgeAnswers(t),
		judgeOnce(t, runs, err),
		judgeNotRun(t, runs, err),
		judgeGrants(t),
		judgeWithdrawal(t),
		judgeSecrets(secret, err, len(t.Settings.Target.PlainEndpoints)+len(t.Settings.Target.EngineEndpoints)),
	}
}

func judgeAnswers(t *Trace) Verdict {
	v := Verdict{Oracle: "whole answer to its own request, in order"}
	for _, a := range t.Attempts {
		if a.Refused || a.Code == codeTransport {
			continue
		}
		v.Checked++
		if a.Violation != "" {
			v.broke("%s at %s: %s", a.CallID, a.Entry, a.Violation)
		}
	}
	return v
}

// told is what the caller of one request ID was told.
type told struct {
	notRun, others int
	completed      bool
}

func orders(t *Trace) map[string]told {
	all := map[string]told{}
	for _, a := range t.Attempts {
		if a.Kind != Order {
			continue
		}
		o := all[a.CallID]
		if a.Refused {
			o.notRun++
		} else {
			o.others++
		}
		o.completed = o.completed || a.OK
		all[a.CallID] = o
	}
	return all
}

func judgeOnce(t *Trace, runs map[string]int, err error) Verdict {
	v := Verdict{Oracle: "non-idempotent requests run at most once"}
	if err != nil {
		v.Skipped = err.Error()
		return v
	}
	for id := range orders(t) {
		v.Checked++
		if runs[id] > 1 {
			v.broke("%s ran %d times", id, runs[id])
		}
	}
	return v
}

func judgeNotRun(t *Trace, runs map[string]int, err error) Verdict {
	v := Verdict{Oracle: "what is said of a run is true"}
	if err != nil {
		v.Skipped = err.Error()
		return v
	}
	for id, o := range orders(t) {
		v.Checked++
		if fault := oracle.CheckRuns(min(runs[id], 1), o.notRun, o.others, o.completed); fault != "" {
			v.broke("%s %s", id, fault)
		}
	}
	return v
}

func judgeGrants(t *Trace) Verdict {
	v := Verdict{Oracle: "tokens within rate and burst in every window"}
	byAccount := map[string][]oracle.Interval{}
	for _, a := range t.Attempts {
		if a.OK && a.Usage.TotalTokens > 0 {
			byAccount[a.Account] = append(byAccount[a.Account], oracle.Interval{From: a.Start, To: a.FirstByte, Tokens: int64(a.Usage.TotalTokens)})
		}
	}
	for _, account := range t.Accounts {
		v.Checked += len(byAccount[account.Name])
		if over, broken := oracle.CheckIntervals(account.Rate, account.Burst, byAccount[account.Name]); broken {
			v.broke("%s: %d tokens over in the window from %v to %v", account.Name, over.Tokens, over.From, over.To)
		}
	}
	return v
}

func judgeWithdrawal(t *Trace) Verdict {
	v := Verdict{Oracle: "a withdrawn key stops working in time"}
	switch {
	case t.Settings.Oracles.WithdrawAccount == "":
		v.Skipped = "no key was withdrawn in this run"
		return v
	case t.Withdrawn == nil || t.Withdrawn.Err != "":
		v.broke("the key could not be withdrawn: %+v", t.Withdrawn)
		return v
	}
	bound := t.Withdrawn.Accepted + t.Settings.Oracles.WithdrawBound
	for _, a := range t.Attempts {
		if a.Account != t.Withdrawn.Account || a.Start < bound {
			continue
		}
		v.Checked++
		if a.OK {
			v.broke("%s was served %v after the withdrawal", a.CallID, a.Start-t.Withdrawn.Accepted)
		}
	}
	return v
}

func judgeSecrets(seen []string, err error, endpoints int) Verdict {
	v := Verdict{Oracle: "no endpoint sees a caller's key", Checked: endpoints}
	if err != nil {
		v.Skipped = err.Error()
	}
	for _, address := range seen {
		v.broke("%s saw a key", address)
	}
	return v
}

// plainRuns adds up how often each request ID ran, over all plain endpoints, and names
// the endpoints that saw a caller's key.
func plainRuns(ctx context.Context, target Target) (runs map[string]int, secret []string, err error) {
	if len(target.PlainEndpoints) == 0 {
		return nil, nil, errors.New("no plain endpoints are named to read run counts from")
	}
	runs = map[string]int{}
	for _, address := range target.PlainEndpoints {
		var stats standin.PlainStats
		if err := getJSON(ctx, address, &stats); err != nil {
			return nil, nil, err
		}
		for id, n := range stats.Runs {
			runs[id] += n
		}
		if stats.SawSecret {
			secret = append(secret, address)
		}
	}
	for _, address := range target.EngineEndpoints {
		var stats standin.EngineStats
		if err := getJSON(ctx, address, &stats); err != nil {
			return nil, nil, err
		}
		if stats.SawSecret {
			secret = append(secret, address)
		}
	}
	sort.Strings(secret)
	return runs, secret, nil
}

const statsTimeout = 5 * time.Second

func getJSON(ctx context.Context, address string, out any) error {
	ctx, cancel := context.WithTimeout(ctx, statsTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/admin/stats", nil)
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return errors.Wrapf(err, "read counts of %s", address)
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	return errors.Wrapf(json.Unmarshal(data, out), "counts of %s", address)
}
