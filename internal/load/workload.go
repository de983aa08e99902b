package load

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"eelgrasshollow/internal/prefix"
)

// CallKind is what a call is.
type CallKind string

// The kinds of calls.
const (
	Chat   CallKind = "chat"
	Lookup CallKind = "lookup" // idempotent plain call
	Order  CallKind = "order"  // non-idempotent plain call
)

// call is one request as the workload makes it.
type call struct {
	id      string
	kind    CallKind
	account int // index into the accounts
	caller  int
	due     time.Duration // since the start
	system  string        // shared levels of a chat's prompt
	user    string        // the request's own part
	stream  bool
	resend  bool // send it again although answered

	// What an earlier attempt brought before its stream broke.
	partial string
	last    int // position of its last event
}

// workload makes calls from a seed; the same settings make the same calls.
type workload struct {
	settings Settings
	accounts []Account
	levels   []level
	random   *rand.Rand
	zipf     []*rand.Zipf
	weights  []float64 // cumulative
	texts    map[string]string
	count    int
	at       time.Duration
}

func newWorkload(s Settings, accounts []Account) (*workload, error) {
	levels, err := parseLevels(s.Prompts.Levels)
	if err != nil {
		return nil, err
	}
	w := &workload{settings: s, accounts: accounts, levels: levels, texts: map[string]string{},
		random: rand.New(rand.NewPCG(uint64(s.Run.Seed), 1))}
	for _, l := range levels {
		w.zipf = append(w.zipf, rand.NewZipf(w.random, s.Prompts.Skew, 1, uint64(l.count-1)))
	}
	total := 0.0
	for _, a := range accounts {
		share := a.Share
		if a.Name == s.ShareOverride.Account {
			share *= s.ShareOverride.Factor
		}
		total += share
		w.weights = append(w.weights, total)
	}
	return w, nil
}

// next returns the next call, or false once the run is over.
func (w *workload) next() (call, bool) {
	w.at += time.Duration(w.random.ExpFloat64() / w.settings.Run.Rate * float64(time.Second))
	if w.at > w.settings.Run.Duration {
		return call{}, false
	}
	w.count++
	c := call{
		id:      fmt.Sprintf("%s-%d-%d", w.settings.Run.Name, w.settings.Run.Seed, w.count),
		kind:    w.kind(),
		account: w.account(),
		caller:  w.random.IntN(w.settings.Run.Callers),
		due:     w.at,
	}
	switch c.kind {
	case Chat:
		c.stream = w.random.Float64() < w.settings.Mix.StreamShare
		c.system = w.sharedPart(c.account)
		c.user = filler("question "+c.id, w.settings.Prompts.OwnTokens)
	case Order:
		c.resend = w.random.Float64() < w.settings.Mix.ResendShare
	}
	return c, true
}

func (w *workload) kind() CallKind {
	x := w.random.Float64()
	switch {
	case x < w.settings.Mix.LookupShare:
		return Lookup
	case x < w.settings.Mix.LookupShare+w.settings.Mix.OrderShare:
		return Order
	}
	return Chat
}

func (w *workload) account() int {
	x := w.random.Float64() * w.weights[len(w.weights)-1]
	for i, upTo := range w.weights {
		if x < upTo {
			return i
		}
	}
	return len(w.weights) - 1
}

// sharedPart picks a path down the levels; a hot shift moves which ones are common.
func (w *workload) sharedPart(account int) string {
	var b strings.Builder
	path := w.accounts[account].Name
	for i, l := range w.levels {
		pick := (int(w.zipf[i].Uint64()) + w.shift()) % l.count
		path = fmt.Sprintf("%s/%d", path, pick)
		b.WriteString(w.text(path, l.tokens))
	}
	return b.String()
}

// shift is how far the common prefixes have moved.
func (w *workload) shift() int {
	if w.settings.Prompts.HotShift == 0 {
		return 0
	}
	const step = 7 // prime to the usual counts, so that the hot ones change
	return int(w.at/w.settings.Prompts.HotShift) * step
}

func (w *workload) text(path string, tokens int) string {
	t, ok := w.texts[path]
	if !ok {
		t = filler("part "+path, tokens)
		w.texts[path] = t
	}
	return t
}

// filler makes a text of so many tokens that depends on what in every word.
func filler(what string, tokens int) string {
	size := tokens * prefix.BytesPerToken
	var b strings.Builder
	for i := 0; b.Len() < size; i++ {
		fmt.Fprintf(&b, "%s line %d. ", what, i)
	}
	return b.String()[:size]
}
