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

// Verdict is the finding of one oracle: how many cases it checked and how many were violations.
type Verdict struct {
	Oracle   string   `json:"oracle"`
	Checked  int      `json:"checked"`
	Broken   int      `json:"broken"`
	Examples []string `json:"examples,omitempty"`
	// Skipped states why the oracle could not check anything; a skipped oracle has not passed.
	Skipped string `json:"skipped,omitempty"`
}

const maxExamples = 5

// addViolation counts a violation and keeps the first few as examples.
func (v *Verdict) addViolation(format string, args ...any) {
	v.Broken++
	if len(v.Examples) < maxExamples {
		v.Examples = append(v.Examples, fmt.Sprintf(format, args...))
	}
}

// Judge runs every oracle over a trace. It reads run counts from the stand-ins.
func Judge(ctx context.Context, t *Trace) []Verdict {
	runs, exposed, err := readEndpointStats(ctx, t.Settings.Target)
	return []Verdict{
		judgeAnswers(t),
		judgeRunsAtMostOnce(t, runs, err),
		judgeReportedRuns(t, runs, err),
		judgeGrants(t),
		judgeWithdrawal(t),
		judgeSecrets(exposed, err, len(t.Settings.Target.PlainEndpoints)+len(t.Settings.Target.EngineEndpoints)),
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
			v.addViolation("%s at %s: %s", a.CallID, a.Entry, a.Violation)
		}
	}
	return v
}

// orderOutcomes holds the outcomes that the caller received for one request ID: the number
// of attempts reported as not run, the number of others, and whether one completed.
type orderOutcomes struct {
	notRun, others int
	completed      bool
}

// orderOutcomesByID returns the outcomes of the orders of a trace by request ID.
func orderOutcomesByID(t *Trace) map[string]orderOutcomes {
	outcomes := map[string]orderOutcomes{}
	for _, a := range t.Attempts {
		if a.Kind != Order {
			continue
		}
		order := outcomes[a.CallID]
		if a.Refused {
			order.notRun++
		} else {
			order.others++
		}
		order.completed = order.completed || a.OK
		outcomes[a.CallID] = order
	}
	return outcomes
}

func judgeRunsAtMostOnce(t *Trace, runs map[string]int, statsErr error) Verdict {
	v := Verdict{Oracle: "non-idempotent requests run at most once"}
	if statsErr != nil {
		v.Skipped = statsErr.Error()
		return v
	}
	for id := range orderOutcomesByID(t) {
		v.Checked++
		if runs[id] > 1 {
			v.addViolation("%s ran %d times", id, runs[id])
		}
	}
	return v
}

func judgeReportedRuns(t *Trace, runs map[string]int, statsErr error) Verdict {
	v := Verdict{Oracle: "what is said of a run is true"}
	if statsErr != nil {
		v.Skipped = statsErr.Error()
		return v
	}
	for id, order := range orderOutcomesByID(t) {
		v.Checked++
		if fault := oracle.CheckRuns(min(runs[id], 1), order.notRun, order.others, order.completed); fault != "" {
			v.addViolation("%s %s", id, fault)
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
			v.addViolation("%s: %d tokens over in the window from %v to %v", account.Name, over.Tokens, over.From, over.To)
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
		v.addViolation("the key could not be withdrawn: %+v", t.Withdrawn)
		return v
	}
	deadline := t.Withdrawn.Accepted + t.Settings.Oracles.WithdrawBound
	for _, a := range t.Attempts {
		if a.Account != t.Withdrawn.Account || a.Start < deadline {
			continue
		}
		v.Checked++
		if a.OK {
			v.addViolation("%s was served %v after the withdrawal", a.CallID, a.Start-t.Withdrawn.Accepted)
		}
	}
	return v
}

func judgeSecrets(exposed []string, statsErr error, endpoints int) Verdict {
	v := Verdict{Oracle: "no endpoint sees a caller's key", Checked: endpoints}
	if statsErr != nil {
		v.Skipped = statsErr.Error()
	}
	for _, address := range exposed {
		v.addViolation("%s saw a key", address)
	}
	return v
}

// readEndpointStats returns how often each request ID ran, summed over all plain endpoints,
// and the addresses of the endpoints that received a caller's key.
func readEndpointStats(ctx context.Context, target Target) (runs map[string]int, exposed []string, err error) {
	if len(target.PlainEndpoints) == 0 {
		return nil, nil, errors.New("no plain endpoints are named to read run counts from")
	}
	runs = map[string]int{}
	for _, address := range target.PlainEndpoints {
		var stats standin.PlainStats
		if err := getStats(ctx, address, &stats); err != nil {
			return nil, nil, err
		}
		for id, n := range stats.Runs {
			runs[id] += n
		}
		if stats.SawSecret {
			exposed = append(exposed, address)
		}
	}
	for _, address := range target.EngineEndpoints {
		var stats standin.EngineStats
		if err := getStats(ctx, address, &stats); err != nil {
			return nil, nil, err
		}
		if stats.SawSecret {
			exposed = append(exposed, address)
		}
	}
	sort.Strings(exposed)
	return runs, exposed, nil
}

const statsTimeout = 5 * time.Second

// getStats decodes the counts of a stand-in at address into out.
func getStats(ctx context.Context, address string, out any) error {
	ctx, cancel := context.WithTimeout(ctx, statsTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/admin/stats", nil)
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return errors.Wrapf(err, "read counts of %s", address)
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	return errors.Wrapf(json.Unmarshal(data, out), "decode counts of %s", address)
}
