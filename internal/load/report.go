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

// Report is what a run showed.
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
	Codes    map[string]int  `json:"codes"` // of attempts without an answer
	First    Quantiles       `json:"first_token_ms"`
	Gap      Quantiles       `json:"between_tokens_ms"`
	Order    Quantiles       `json:"order_ms"`
	Cache    CacheFigures    `json:"cache"`
	Accounts []AccountReport `json:"accounts"`
	Verdicts []Verdict       `json:"oracles"`
	Timeline []SecondStats   `json:"timeline"`
}

// Quantiles of a latency, in milliseconds.
type Quantiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50"`
	P90   float64 `json:"p90"`
	P95   float64 `json:"p95"`
	P99   float64 `json:"p99"`
	Max   float64 `json:"max"`
}

// CacheFigures say how much prompt work was repeated. The engines report cached
// tokens; Known are the tokens of shared parts that had been answered before in this
// run, for the same client account.
type CacheFigures struct {
	PromptTokens int64   `json:"prompt_tokens"`
	CachedTokens int64   `json:"cached_tokens"`
	HitRate      float64 `json:"hit_rate"`
	KnownTokens  int64   `json:"known_tokens"`
	Recomputed   int64   `json:"recomputed_tokens"` // known, yet computed again
}

// AccountReport is one client account's part.
type AccountReport struct {
	Name          string    `json:"name"`
	Requests      int       `json:"requests"`
	OK            int       `json:"answered"`
	Refused       int       `json:"refused"`
	RefusedInRate int       `json:"refused_inside_rate"` // attempts that one central bucket would have admitted
	Tokens        int64     `json:"tokens"`
	ShareOfGrant  float64   `json:"share_of_grant"` // tokens used over what rate and time gave
	AnsweredShare float64   `json:"answered_share"` // answered over requests
	First         Quantiles `json:"first_token_ms"`
}

// SecondStats is one second of the run.
type SecondStats struct {
	At      int     `json:"at"`
	OK      int     `json:"answered"`
	Refused int     `json:"refused"`
	Failed  int     `json:"failed"`
	P99     float64 `json:"first_token_p99_ms"`
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	return Quantiles{Count: h.TotalCount(), P50: milliseconds(h, 50), P90: milliseconds(h, 90),
		P95: milliseconds(h, 95), P99: milliseconds(h, 99), Max: milliseconds(h, 100)}
}

// NewReport sums a trace up.
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
			record(gap, d)
		}
	}
	for _, f := range t.Results {
		switch {
		case f.LastAttempt.OK:
			r.OK++
		case f.LastAttempt.Refused:
			r.Refused++
		default:
			r.Failed++
		}
		switch {
		case f.LastAttempt.OK && f.LastAttempt.Streamed:
			record(first, f.LastAttempt.FirstByte-f.Due)
		case f.LastAttempt.OK && f.Kind == Order:
			record(order, f.LastAttempt.End-f.Due)
		}
	}
	r.First, r.Gap, r.Order = quantiles(first), quantiles(gap), quantiles(order)
	r.Cache = cacheFigures(t)
	r.Accounts = accountReports(t)
	r.Timeline = timeline(t)
	return r
}

func (a *Attempt) codeOrViolation() string {
	if a.Violation != "" {
		return "violation"
	}
	return cmp.Or(a.Code, "none")
}

// cacheFigures follows the trace in the order of answers.
func cacheFigures(t *Trace) CacheFigures {
	finals := slices.Clone(t.Results)
	slices.SortFunc(finals, func(a, b CallResult) int { return cmp.Compare(a.LastAttempt.Start, b.LastAttempt.Start) })
	seen := map[prefix.Hash]bool{}
	var c CacheFigures
	for _, f := range finals {
		if f.Kind != Chat || !f.LastAttempt.OK {
			continue
		}
		known := knownTokens(seen, f)
		cached := int64(f.LastAttempt.Usage.Details.CachedTokens)
		c.PromptTokens += int64(f.LastAttempt.Usage.PromptTokens)
		c.CachedTokens += cached
		c.KnownTokens += known
		c.Recomputed += max(known-cached, 0)
	}
	if c.PromptTokens > 0 {
		c.HitRate = float64(c.CachedTokens) / float64(c.PromptTokens)
	}
	return c
}

func knownTokens(seen map[prefix.Hash]bool, f CallResult) int64 {
	seed := prefix.Namespace{Account: f.Account}.Seed()
	known := int64(0)
	for _, h := range prefix.Chain(seed, []byte(f.prompt)) {
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
	index := map[string]int{}
	for i, a := range t.Accounts {
		reports[i].Name, histograms[i], index[a.Name] = a.Name, newHistogram(), i
	}
	for _, f := range t.Results {
		r := &reports[index[f.Account]]
		r.Requests++
		switch {
		case f.LastAttempt.OK:
			r.OK++
			if f.LastAttempt.Streamed {
				record(histograms[index[f.Account]], f.LastAttempt.FirstByte-f.Due)
			}
		case f.LastAttempt.Refused:
			r.Refused++
		}
	}
	for i, a := range t.Accounts {
		r := &reports[i]
		r.First = quantiles(histograms[i])
		r.Tokens, r.RefusedInRate = againstCentralBucket(t, a)
		if a.Rate > 0 {
			r.ShareOfGrant = float64(r.Tokens) / (a.Rate * t.Settings.Run.Duration.Seconds())
		}
		if r.Requests > 0 {
			r.AnsweredShare = float64(r.OK) / float64(r.Requests)
		}
	}
	return reports
}

// bucketEvent is a change of the level of the reference bucket, or a question to it.
type bucketEvent struct {
	at     time.Duration
	tokens float64 // given back; negative: taken
	asked  float64 // of a refused attempt
}

// againstCentralBucket returns the tokens an account used and how many of its refused
// attempts were refused while one central token bucket held their tokens. The bucket
// knows no more than a real one: an attempt takes what it asks for, and gives back the
// rest at its end; it counts time as slow as the drift bound of clocks allows, as a bucket
// must that keeps the rate by every clock. A refusal is judged when it is given: what
// waits may see its tokens go to a request of the same account at another VM, but must
// not be refused once they are there.
func againstCentralBucket(t *Trace, account Account) (used int64, refused int) {
	var events []bucketEvent
	for _, a := range t.Attempts {
		if a.Account != account.Name {
			continue
		}
		asked, spent := float64(a.ReservedTokens), float64(a.Usage.TotalTokens)
		if a.Kind != Chat {
			asked = float64(t.Settings.Mix.CallTokens)
			spent = asked
		}
		switch {
		case a.OK:
			used += int64(spent)
			events = append(events, bucketEvent{at: a.Start, tokens: -asked}, bucketEvent{at: a.End, tokens: asked - spent})
		case a.Code == errkind.RateLimited.String():
			events = append(events, bucketEvent{at: a.End, asked: asked})
		}
	}
	slices.SortStableFunc(events, func(a, b bucketEvent) int { return cmp.Compare(a.at, b.at) })
	level, last := account.Burst, time.Duration(0)
	rate := account.Rate * (1 - grants.DriftPPM/1e6)
	for _, e := range events {
		level = min(account.Burst, level+rate*(e.at-last).Seconds()+e.tokens)
		last = e.at
		if e.asked > 0 && e.asked <= level {
			refused++
		}
	}
	return used, refused
}

func timeline(t *Trace) []SecondStats {
	seconds := make([]SecondStats, max(1, int(t.Settings.Run.Duration/time.Second)))
	histograms := make([]*hdrhistogram.Histogram, len(seconds))
	for i := range seconds {
		seconds[i].At, histograms[i] = i, newHistogram()
	}
	for _, f := range t.Results {
		i := min(int(f.Due/time.Second), len(seconds)-1)
		switch {
		case f.LastAttempt.OK:
			seconds[i].OK++
			if f.LastAttempt.Streamed {
				record(histograms[i], f.LastAttempt.FirstByte-f.Due)
			}
		case f.LastAttempt.Refused:
			seconds[i].Refused++
		default:
			seconds[i].Failed++
		}
	}
	for i := range seconds {
		seconds[i].P99 = milliseconds(histograms[i], 99)
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
