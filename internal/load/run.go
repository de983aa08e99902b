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

// Trace is everything a run saw.
type Trace struct {
	Settings  Settings
	Accounts  []Account
	Started   time.Time
	Attempts  []Attempt
	Results   []CallResult
	NotSent   int // requests beyond the bound in flight
	Withdrawn *Withdrawal
}

// CallResult is what a caller has in the end.
type CallResult struct {
	CallID      string
	Kind        CallKind
	Account     string
	Due         time.Duration
	Attempts    int
	LastAttempt Attempt
	prompt      string // shared part, to tell what had to be computed again
}

// Withdrawal is a key withdrawn during the run.
type Withdrawal struct {
	Account  string
	Accepted time.Duration // since the start
	Err      string
}

// runner carries one run out.
type runner struct {
	sender   *sender
	accounts []Account
	lookups  []*lookup
	mu       sync.Mutex
	trace    Trace
	progress *progress
}

// maxRetryWait bounds how long a caller waits before it sends again.
const maxRetryWait = 3 * time.Second

// Execute sends the load and returns what it saw; progress goes to out.
func Execute(ctx context.Context, s Settings, accounts []Account, out io.Writer) (*Trace, error) {
	work, err := newWorkload(s, accounts)
	if err != nil {
		return nil, err
	}
	transport := &http.Transport{MaxIdleConnsPerHost: s.Run.InFlight, IdleConnTimeout: time.Minute, DisableCompression: true}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}
	r := &runner{
		sender:   &sender{settings: s, client: client, begin: time.Now()},
		accounts: accounts,
		progress: newProgress(out, s.Run.Duration),
	}
	r.trace = Trace{Settings: s, Accounts: accounts, Started: r.sender.begin}
	for i := range s.Run.Callers {
		r.lookups = append(r.lookups, newLookup(client, s.Target.Entries, uint64(i)))
	}
	stopProgress := r.progress.start()
	defer stopProgress()
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { r.withdraw(ctx); return nil })
	r.sendAll(ctx, g, work)
	err = g.Wait()
	return &r.trace, err
}

// sendAll starts each call when it is due, whether or not earlier ones have ended.
func (r *runner) sendAll(ctx context.Context, g *errgroup.Group, work *workload) {
	places := make(chan struct{}, r.sender.settings.Run.InFlight)
	for {
		c, ok := work.next()
		if !ok || !wait(ctx, c.due-r.sender.since()) {
			return
		}
		select {
		case places <- struct{}{}:
		default:
			r.notSent()
			continue
		}
		g.Go(func() error {
			r.call(ctx, c)
			<-places
			return nil
		})
	}
}

func wait(ctx context.Context, d time.Duration) bool {
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

func (r *runner) notSent() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.trace.NotSent++
}

// call sends one call until it is answered for good, and once more where the workload
// says that the caller resends.
func (r *runner) call(ctx context.Context, c call) {
	final := CallResult{CallID: c.id, Kind: c.kind, Account: r.accounts[c.account].Name, Due: c.due, prompt: c.system}
	avoid := ""
	for n := 1; n <= r.sender.settings.Run.Attempts; n++ {
		final.LastAttempt = r.attempt(ctx, c, n, avoid)
		final.Attempts = n
		if final.LastAttempt.OK || !again(c, final.LastAttempt) {
			break
		}
		avoid = final.LastAttempt.Entry
		if final.LastAttempt.lastID > c.last {
			c.partial, c.last = final.LastAttempt.text, final.LastAttempt.lastID
		}
		if !wait(ctx, retryWait(final.LastAttempt, n)) {
			break
		}
	}
	if c.resend && final.LastAttempt.OK {
		if a := r.attempt(ctx, c, final.Attempts+1, final.LastAttempt.Entry); a.Violation != "" {
			final.LastAttempt = a
		}
	}
	r.mu.Lock()
	r.trace.Results = append(r.trace.Results, final)
	r.mu.Unlock()
	r.progress.add(final)
}

func (r *runner) attempt(ctx context.Context, c call, n int, avoid string) Attempt {
	entry, err := r.lookups[c.caller].address(ctx, avoid)
	var a Attempt
	if err != nil {
		now := r.sender.since()
		a = Attempt{CallID: c.id, Kind: c.kind, Account: r.accounts[c.account].Name, Start: now, FirstByte: now, End: now,
			Code: codeNoEntry, Outcome: errkind.NotRun, Refused: true}
	} else {
		a = r.sender.send(ctx, c, r.accounts[c.account], entry, n)
	}
	if a.Code == codeTransport {
		r.lookups[c.caller].forget(entry)
	}
	r.mu.Lock()
	r.trace.Attempts = append(r.trace.Attempts, a)
	r.mu.Unlock()
	return a
}

// again reports whether a caller sends the call once more: when it was not run and
// may be, when a broken connection leaves the outcome open (the same request ID makes
// that safe), and when it is still in progress.
func again(c call, a Attempt) bool {
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

func retryWait(a Attempt, n int) time.Duration {
	const base = 50 * time.Millisecond
	d := max(a.retry, base<<n)
	return min(d, maxRetryWait) + rand.N(base)
}
