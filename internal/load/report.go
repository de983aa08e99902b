package load

import (
	"cmp"
	"encoding/json"
	"os"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"

	"eelgrasshollow/internal/errkind"
	"eelgrasshollow/internal/grants"
	"eelgrasshollow/internal/prefix"
)

// Report is the summary of a run.
type Report struct {
	Name     string          `json:"name"`
	Seed     int64           `json:"seed"`
	Started  time.Time       `json:"started"`
	Seconds  float64         `json:"seconds"`
	Requests int             `json:"requests"`
	OK       int             `json:"answered"`
	Refused  int             `json:"refused"`
	Failed   int             `json:"failed"`
	NotSent  int             `json:"not_sent"`
	Attempts int             `json:"attempts"`
	Codes    map[string]int  `json:"codes"` // number of unsuccessful attempts by code
	First    Quantiles       `json:"first_token_ms"`
	Gap      Quantiles       `json:"between_tokens_ms"`
	Order    Quantiles       `json:"order_ms"`
	Cache    CacheFigures    `json:"cache"`
	Accounts []AccountReport `json:"accounts"`
	Verdicts []Verdict       `json:"oracles"`
	Timeline []SecondStats   `json:"timeline"`
}

// Quantiles holds quantiles of a latency, in milliseconds.
type Quantiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50"`
	P90   float64 `json:"p90"`
	P95   float64 `json:"p95"`
	P99   float64 `json:"p99"`
	Max   float64 `json:"max"`
}

// CacheFigures measures how much prompt computation was repeated. CachedTokens is the sum that
// the engines reported. KnownTokens counts the tokens of shared prompt parts that an earlier
// successful request of the same client account in this run had as well.
type CacheFigures struct {
	PromptTokens int64   `json:"prompt_tokens"`
	CachedTokens int64   `json:"cached_tokens"`
	HitRate      float64 `json:"hit_rate"`
	KnownTokens  int64   `json:"known_tokens"`
	Recomputed   int64   `json:"recomputed_tokens"` // known tokens that were not cached
}

// AccountReport is the summary of one client account.
type AccountReport struct {
	Name          string    `json:"name"`
	Requests      int       `json:"requests"`
	OK            int       `json:"answered"`
	Refused       int       `json:"refused"`
	RefusedInRate int       `json:"refused_inside_rate"` // attempts refused that one central bucket would have admitted
	Tokens        int64     `json:"tokens"`
	ShareOfGrant  float64   `json:"share_of_grant"` // tokens used over rate times duration
	AnsweredShare float64   `json:"answered_share"` // answered requests over all requests
	First         Quantiles `json:"first_token_ms"`
}

// SecondStats is the summary of the requests due in one second of the run.
type SecondStats struct {
	At      int     `json:"at"`
	OK      int     `json:"answered"`
	Refused int     `json:"refused"`
	Failed  int     `json:"failed"`
	P99     float64 `json:"first_token_p99_ms"`
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	return Quantiles{Count: h.TotalCount(), P50: percentileMS(h, 50), P90: percentileMS(h, 90),
		P95: percentileMS(h, 95), P99: percentileMS(h, 99), Max: percentileMS(h, 100)}
}

// NewReport summarizes a trace.
func NewReport(t *Trace, verdicts []Verdict) *Report {
	r := &Report{Name: t.Settings.Run.Name, Seed: t.Settings.Run.Seed, Started: t.Started,
		Seconds: t.Settings.Run.Duration.Seconds(), Requests: len(t.Results) + t.NotSent,
		NotSent: t.NotSent, Attempts: len(t.Attempts), Codes: map[string]int{}, Verdicts: verdicts}
	first, gap, order := newHistogram(), newHistogram(), newHistogram()
	for _, a := range t.Attempts {
		if !a.OK {
			r.Codes[a.codeOrViolation()]++
		}
		for _, d := range a.TokenGaps {
			recordLatency(gap, d)
		}
	}
	for _, result := range t.Results {
		switch {
		case result.LastAttempt.OK:
			r.OK++
		case result.LastAttempt.Refused:
			r.Refused++
		default:
			r.Failed++
		}
		switch {
		case result.LastAttempt.OK && result.LastAttempt.Streamed:
			recordLatency(first, result.LastAttempt.FirstByte-result.Due)
		case result.LastAttempt.OK && result.Kind == Order:
			recordLatency(order, result.LastAttempt.End-result.Due)
		}
	}
	r.First, r.Gap, r.Order = quantiles(first), quantiles(gap), quantiles(order)
	r.Cache = cacheFigures(t)
	r.Accounts = accountReports(t)
	r.Timeline = timeline(t)
	return r
}

// codeOrViolation returns the key of an unsuccessful attempt in Report.Codes.
func (a *Attempt) codeOrViolation() string {
	if a.Violation != "" {
		return "violation"
	}
	return cmp.Or(a.Code, "none")
}

// cacheFigures processes the successful completions in the order in which their last attempts
// were sent.
func cacheFigures(t *Trace) CacheFigures {
	results := slices.Clone(t.Results)
	slices.SortFunc(results, func(a, b CallResult) int { return cmp.Compare(a.LastAttempt.Start, b.LastAttempt.Start) })
	seen := map[prefix.Hash]bool{}
	var c CacheFigures
	for _, result := range results {
		if result.Kind != Chat || !result.LastAttempt.OK {
			continue
		}
		known := knownTokens(seen, result)
		cached := int64(result.LastAttempt.Usage.Details.CachedTokens)
		c.PromptTokens += int64(result.LastAttempt.Usage.PromptTokens)
		c.CachedTokens += cached
		c.KnownTokens += known
		c.Recomputed += max(known-cached, 0)
	}
	if c.PromptTokens > 0 {
		c.HitRate = float64(c.CachedTokens) / float64(c.PromptTokens)
	}
	return c
}

// knownTokens returns the tokens of the shared prompt pieces that are in seen, and adds all of
// the prompt's pieces to seen.
func knownTokens(seen map[prefix.Hash]bool, result CallResult) int64 {
	seed := prefix.Namespace{Account: result.Account}.Seed()
	known := int64(0)
	for _, h := range prefix.Chain(seed, []byte(result.sharedPrompt)) {
		if seen[h] {
			known += prefix.PieceTokens
		}
		seen[h] = true
	}
	return known
}

func accountReports(t *Trace) []AccountReport {
	reports := make([]AccountReport, len(t.Accounts))
	histograms := make([]*hdrhistogram.Histogram, len(t.Accounts))
	indexByName := map[string]int{}
	for i, a := range t.Accounts {
		reports[i].Name, histograms[i], indexByName[a.Name] = a.Name, newHistogram(), i
	}
	for _, result := range t.Results {
		r := &reports[indexByName[result.Account]]
		r.Requests++
		switch {
		case result.LastAttempt.OK:
			r.OK++
			if result.LastAttempt.Streamed {
				recordLatency(histograms[indexByName[result.Account]], result.LastAttempt.FirstByte-result.Due)
			}
		case result.LastAttempt.Refused:
			r.Refused++
		}
	}
	for i, a := range t.Accounts {
		r := &reports[i]
		r.First = quantiles(histograms[i])
		r.Tokens, r.RefusedInRate = compareWithCentralBucket(t, a)
		if a.Rate > 0 {
			r.ShareOfGrant = float64(r.Tokens) / (a.Rate * t.Settings.Run.Duration.Seconds())
		}
		if r.Requests > 0 {
			r.AnsweredShare = float64(r.OK) / float64(r.Requests)
		}
	}
	return reports
}

// bucketEvent is a change of the level of the central token bucket, or a refusal to check
// against that level.
type bucketEvent struct {
	at            time.Duration
	delta         float64 // tokens returned; negative: reserved
	pending       float64 // change of the tokens that attempts under way may have reserved already, or not
	refusedTokens float64 // tokens that a refused attempt asked for; 0: no refusal
}

// compareWithCentralBucket returns the tokens that an account used and the number of its
// attempts that were refused while one central token bucket had enough tokens for them. The
// central bucket has no more information than a real one: an attempt reserves what it asks
// for and returns the unused rest at its end. Its clock runs slow by the drift bound of
// clocks, because a real bucket must keep the rate by every clock. An attempt that was sent reserves its tokens
// at some time until its first byte, which the trace does not tell: at the latest then, so that what the
// rate adds to a full bucket while the attempt waits is lost; and as early as it was sent. A refusal is checked at
// the time when it was returned: while an attempt waits, another request of the same account
// at another VM may use the tokens, but once they are available the attempt must be admitted.
func compareWithCentralBucket(t *Trace, account Account) (used int64, refused int) {
	var events []bucketEvent
	for _, a := range t.Attempts {
		if a.Account != account.Name {
			continue
		}
		reserved, spent := float64(a.ReservedTokens), float64(a.Usage.TotalTokens)
		if a.Kind != Chat {
			reserved = float64(t.Settings.Mix.CallTokens)
			spent = reserved
		}
		switch {
		case a.OK:
			used += int64(spent)
			events = append(events, bucketEvent{at: a.Start, pending: reserved},
				bucketEvent{at: max(a.Start, a.FirstByte), delta: -reserved, pending: -reserved}, bucketEvent{at: a.End, delta: reserved - spent})
		case a.Code == errkind.RateLimited.String():
			events = append(events, bucketEvent{at: a.End, refusedTokens: reserved})
		}
	}
	slices.SortStableFunc(events, func(a, b bucketEvent) int { return cmp.Compare(a.at, b.at) })
	level, pending, lastAt := account.Burst, 0.0, time.Duration(0)
	rate := account.Rate * (1 - grants.DriftPPM/1e6)
	for _, e := range events {
		level = min(account.Burst, level+rate*(e.at-lastAt).Seconds()) // a full bucket gains nothing before it is used
		level = min(account.Burst, level+e.delta)
		pending += e.pending
		lastAt = e.at
		if e.refusedTokens > 0 && e.refusedTokens <= level-pending {
			refused++
		}
	}
	return used, refused
}

// timeline returns one entry for each second of the run, by the time when requests were due.
func timeline(t *Trace) []SecondStats {
	seconds := make([]SecondStats, max(1, int(t.Settings.Run.Duration/time.Second)))
	histograms := make([]*hdrhistogram.Histogram, len(seconds))
	for i := range seconds {
		seconds[i].At, histograms[i] = i, newHistogram()
	}
	for _, result := range t.Results {
		i := min(int(result.Due/time.Second), len(seconds)-1)
		switch {
		case result.LastAttempt.OK:
			seconds[i].OK++
			if result.LastAttempt.Streamed {
				recordLatency(histograms[i], result.LastAttempt.FirstByte-result.Due)
			}
		case result.LastAttempt.Refused:
			seconds[i].Refused++
		default:
			seconds[i].Failed++
		}
	}
	for i := range seconds {
		seconds[i].P99 = percentileMS(histograms[i], 99)
	}
	return seconds
}

// HasViolations reports whether an oracle failed.
func (r *Report) HasViolations() bool {
	return slices.ContainsFunc(r.Verdicts, func(v Verdict) bool { return v.Broken > 0 })
}

// WriteJSON writes the report to a file.
func (r *Report) WriteJSON(path string) error {
	data, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return err
	}
	return errors.Wrap(os.WriteFile(path, append(data, '\n'), 0o644), "write report")
}

// ReadReport reads a report that WriteJSON wrote.
func ReadReport(path string) (*Report, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read report")
	}
	r := &Report{}
	return r, errors.Wrapf(json.Unmarshal(data, r), "decode report %s", path)
}
