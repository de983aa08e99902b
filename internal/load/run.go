package load

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"eelgrasshollow/internal/errkind"
)

// Trace records the attempts and results of a run.
type Trace struct {
	Settings  Settings
	Accounts  []Account
	Started   time.Time
	Attempts  []Attempt
	Results   []CallResult
	NotSent   int // calls dropped because Run.InFlight others were in flight
	Withdrawn *Withdrawal
}

// CallResult is the final result of a call after all its attempts. Due is the time when the
// call was due, since the start of the run.
type CallResult struct {
	CallID       string
	Kind         CallKind
	Account      string
	Due          time.Duration
	Attempts     int
	LastAttempt  Attempt
	sharedPrompt string // shared prompt part, to find what was computed again
}

// Withdrawal is the withdrawal of an account's key during the run.
type Withdrawal struct {
	Account  string
	Accepted time.Duration // time of the operator's response since the start of the run
	Err      string
}

// runner executes one run and records its trace.
type runner struct {
	sender      *sender
	accounts    []Account
	entryCaches []*entryCache
	mu          sync.Mutex
	trace       Trace
	progress    *progress
}

// maxRetryDelay bounds the delay before a retry, apart from jitter.
const maxRetryDelay = 3 * time.Second

// Execute sends the load and returns its trace. It writes lines of progress to out.
func Execute(ctx context.Context, s Settings, accounts []Account, out io.Writer) (*Trace, error) {
	work, err := newWorkload(s, accounts)
	if err != nil {
		return nil, err
	}
	transport := &http.Transport{MaxIdleConnsPerHost: s.Run.InFlight, IdleConnTimeout: time.Minute, DisableCompression: true}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}
	r := &runner{
		sender:   &sender{settings: s, client: client, start: time.Now()},
		accounts: accounts,
		progress: newProgress(out, s.Run.Duration),
	}
	r.trace = Trace{Settings: s, Accounts: accounts, Started: r.sender.start}
	for i := range s.Run.Callers {
		r.entryCaches = append(r.entryCaches, newEntryCache(client, s.Target.Entries, uint64(i)))
	}
	stopProgress := r.progress.start()
	defer stopProgress()
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { r.withdraw(ctx); return nil })
	r.sendAll(ctx, g, work)
	err = g.Wait()
	return &r.trace, err
}

// sendAll starts each call when it is due, whether or not earlier calls have ended. A call
// that is due while Run.InFlight others are in flight is counted as not sent.
func (r *runner) sendAll(ctx context.Context, g *errgroup.Group, work *workload) {
	inFlight := make(chan struct{}, r.sender.settings.Run.InFlight)
	for {
		c, ok := work.next()
		if !ok || !sleepContext(ctx, c.due-r.sender.elapsed()) {
			return
		}
		select {
		case inFlight <- struct{}{}:
		default:
			r.countNotSent()
			continue
		}
		g.Go(func() error {
			r.sendWithRetries(ctx, c)
			<-inFlight
			return nil
		})
	}
}

// sleepContext waits for d and returns false if ctx ends first.
func sleepContext(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (r *runner) countNotSent() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.trace.NotSent++
}

// sendWithRetries sends a call until it has a final response or no attempts are left. If the
// workload marks an answered call for resending, it sends the call once more.
func (r *runner) sendWithRetries(ctx context.Context, c call) {
	result := CallResult{CallID: c.id, Kind: c.kind, Account: r.accounts[c.account].Name, Due: c.due, sharedPrompt: c.sharedPrompt}
	avoid := ""
	for attempt := 1; attempt <= r.sender.settings.Run.Attempts; attempt++ {
		result.LastAttempt = r.sendAttempt(ctx, c, attempt, avoid)
		result.Attempts = attempt
		if result.LastAttempt.OK || !shouldRetry(c, result.LastAttempt) {
			break
		}
		avoid = result.LastAttempt.Entry
		if result.LastAttempt.lastEventID > c.lastEventID {
			c.partialText, c.lastEventID = result.LastAttempt.partialText, result.LastAttempt.lastEventID
		}
		if !sleepContext(ctx, retryDelay(result.LastAttempt, attempt)) {
			break
		}
	}
	if c.resend && result.LastAttempt.OK {
		if a := r.sendAttempt(ctx, c, result.Attempts+1, result.LastAttempt.Entry); a.Violation != "" {
			result.LastAttempt = a
		}
	}
	r.mu.Lock()
	r.trace.Results = append(r.trace.Results, result)
	r.mu.Unlock()
	r.progress.add(result)
}

// sendAttempt sends a call once to an entry VM other than avoid, if possible, and records the
// attempt. A failed connection removes the address from the caller's cache.
func (r *runner) sendAttempt(ctx context.Context, c call, number int, avoid string) Attempt {
	entry, err := r.entryCaches[c.caller].pick(ctx, avoid)
	var a Attempt
	if err != nil {
		now := r.sender.elapsed()
		a = Attempt{CallID: c.id, Kind: c.kind, Account: r.accounts[c.account].Name, Start: now, FirstByte: now, End: now,
			Code: codeNoEntry, Outcome: errkind.NotRun, Refused: true}
	} else {
		a = r.sender.send(ctx, c, r.accounts[c.account], entry, number)
	}
	if a.Code == codeTransport {
		r.entryCaches[c.caller].remove(entry)
	}
	r.mu.Lock()
	r.trace.Attempts = append(r.trace.Attempts, a)
	r.mu.Unlock()
	return a
}

// shouldRetry reports whether the caller retries a call: if it was not run and the error is
// retryable, if the outcome is unknown but a retry is safe (the call is idempotent or the
// connection broke; the same request ID prevents a second run), or if it is still in progress.
func shouldRetry(c call, a Attempt) bool {
	if a.Violation != "" {
		return false
	}
	kind, known := errkind.FromCode(a.Code)
	switch {
	case a.Code == codeTransport || a.Code == codeNoEntry:
		return true
	case !known:
		return false
	case kind == errkind.InProgress:
		return true
	case c.kind != Order && a.Outcome == errkind.Unknown:
		return true
	}
	return kind.Properties().Retryable && a.Outcome == errkind.NotRun
}

// retryDelay returns the delay after attempt number n: exponential, at least as long as the
// refusal asked for, at most maxRetryDelay, plus jitter.
func retryDelay(a Attempt, n int) time.Duration {
	const baseDelay = 50 * time.Millisecond
	d := max(a.retryAfter, baseDelay<<n)
	return min(d, maxRetryDelay) + rand.N(baseDelay)
}
