package load

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"eelgrasshollow/internal/prefix"
)

// CallKind is the kind of a call.
type CallKind string

// The kinds of calls.
const (
	Chat   CallKind = "chat"
	Lookup CallKind = "lookup" // idempotent plain call
	Order  CallKind = "order"  // non-idempotent plain call
)

// call is one request of the workload; its attempts share the ID.
type call struct {
	id           string
	kind         CallKind
	account      int           // index into the accounts
	caller       int           // index of the caller, below Run.Callers
	due          time.Duration // since the start of the run
	sharedPrompt string        // text of the shared levels, sent as the system message
	ownPrompt    string        // text unique to the request, sent as the user message
	stream       bool
	resend       bool // send the call again after a successful response

	// Text and last position that earlier attempts received before their streams broke.
	partialText string
	lastEventID int
}

// workload generates calls from a seed; the same settings yield the same calls.
type workload struct {
	settings         Settings
	accounts         []Account
	levels           []promptLevel
	random           *rand.Rand
	zipf             []*rand.Zipf
	cumulativeShares []float64         // by account, in the order of accounts
	levelTexts       map[string]string // by path, as formed by drawSharedPrompt
	callCount        int
	lastDue          time.Duration // due time of the last call, since the start of the run
}

func newWorkload(s Settings, accounts []Account) (*workload, error) {
	levels, err := parseLevels(s.Prompts.Levels)
	if err != nil {
		return nil, err
	}
	w := &workload{settings: s, accounts: accounts, levels: levels, levelTexts: map[string]string{},
		random: rand.New(rand.NewPCG(uint64(s.Run.Seed), 1))}
	for _, level := range levels {
		w.zipf = append(w.zipf, rand.NewZipf(w.random, s.Prompts.Skew, 1, uint64(level.count-1)))
	}
	total := 0.0
	for _, a := range accounts {
		share := a.Share
		if a.Name == s.ShareOverride.Account {
			share *= s.ShareOverride.Factor
		}
		total += share
		w.cumulativeShares = append(w.cumulativeShares, total)
	}
	return w, nil
}

// next returns the next call, or false after the end of the run.
func (w *workload) next() (call, bool) {
	w.lastDue += time.Duration(w.random.ExpFloat64() / w.settings.Run.Rate * float64(time.Second))
	if w.lastDue > w.settings.Run.Duration {
		return call{}, false
	}
	w.callCount++
	c := call{
		id:      fmt.Sprintf("%s-%d-%d", w.settings.Run.Name, w.settings.Run.Seed, w.callCount),
		kind:    w.drawKind(),
		account: w.drawAccount(),
		caller:  w.random.IntN(w.settings.Run.Callers),
		due:     w.lastDue,
	}
	switch c.kind {
	case Chat:
		c.stream = w.random.Float64() < w.settings.Mix.StreamShare
		c.sharedPrompt = w.drawSharedPrompt(c.account)
		c.ownPrompt = fillerText("question "+c.id, w.settings.Prompts.OwnTokens)
	case Order:
		c.resend = w.random.Float64() < w.settings.Mix.ResendShare
	}
	return c, true
}

// drawKind returns the kind of a call, drawn by the shares in Mix.
func (w *workload) drawKind() CallKind {
	x := w.random.Float64()
	switch {
	case x < w.settings.Mix.LookupShare:
		return Lookup
	case x < w.settings.Mix.LookupShare+w.settings.Mix.OrderShare:
		return Order
	}
	return Chat
}

// drawAccount returns the index of an account, drawn by the accounts' shares.
func (w *workload) drawAccount() int {
	x := w.random.Float64() * w.cumulativeShares[len(w.cumulativeShares)-1]
	for i, upperBound := range w.cumulativeShares {
		if x < upperBound {
			return i
		}
	}
	return len(w.cumulativeShares) - 1
}

// drawSharedPrompt draws one text from each level, depending on the texts of the outer levels,
// and joins them. hotShift changes which texts are drawn often.
func (w *workload) drawSharedPrompt(account int) string {
	var b strings.Builder
	path := w.accounts[account].Name
	for i, level := range w.levels {
		index := (int(w.zipf[i].Uint64()) + w.hotShift()) % level.count
		path = fmt.Sprintf("%s/%d", path, index)
		b.WriteString(w.levelText(path, level.tokens))
	}
	return b.String()
}

// hotShift returns the offset that is added to drawn indexes at present. It changes every
// Prompts.HotShift.
func (w *workload) hotShift() int {
	if w.settings.Prompts.HotShift == 0 {
		return 0
	}
	const step = 7 // coprime to the usual counts, so that other prefixes become hot
	return int(w.lastDue/w.settings.Prompts.HotShift) * step
}

// levelText returns the text of the prompt level at a path, generated on first use.
func (w *workload) levelText(path string, tokens int) string {
	t, ok := w.levelTexts[path]
	if !ok {
		t = fillerText("part "+path, tokens)
		w.levelTexts[path] = t
	}
	return t
}

// fillerText returns a text of the given number of tokens that repeats label on every line.
func fillerText(label string, tokens int) string {
	size := tokens * prefix.BytesPerToken
	var b strings.Builder
	for i := 0; b.Len() < size; i++ {
		fmt.Fprintf(&b, "%s line %d. ", label, i)
	}
	return b.String()[:size]
}
