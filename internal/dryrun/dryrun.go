// Package dryrun holds the messages with which entry VMs explain where they would send a request now, and why,
// without sending it; the net/rpc service for them; and the comparison of the explanations of several VMs.
//
// Messages are encoded with gob between processes that may run different builds, so fields may be added only.
package dryrun

import (
	"strings"
	"time"

	"eelgrasshollow/internal/errkind"
)

// ServiceName is the net/rpc service of entry VMs, and Method its only method. Its argument is a Query, its reply
// an Explanation.
const (
	ServiceName = "DryRun"
	Method      = ServiceName + ".Explain"
)

// Query describes a request. Of Account and Key at most one is set. Route, Model, and Host with Path are alternatives.
type Query struct {
	Account string // client account; its keys are not checked
	Key     string // key of a client
	Method  string // HTTP method; "" means POST
	Host    string
	Path    string
	Route   string // name
	Model   string // for the OpenAI interface
	Body    []byte // example request
	Prompt  string // text of the prompt, in place of Body
	// Parts, PromptTokens and MaxOutput describe a prompt that is announced in parts. PromptTokens of 0 means
	// the sum of Parts.
	Parts        []Part
	PromptTokens int
	MaxOutput    int
}

// Part is a part of a prompt that other prompts may share.
type Part struct {
	Name   string
	Tokens int
}

// Verdict says what would happen to the request now.
type Verdict string

// The verdicts.
const (
	Send   Verdict = "send"
	Wait   Verdict = "wait"
	Refuse Verdict = "refuse"
	// Forward means that the VM is cut off from the endpoints and passes the request to another VM.
	Forward Verdict = "forward"
)

// Explanation is what one entry VM says about a request.
type Explanation struct {
	Verdict Verdict
	// Kind, Reason and RetryAfter describe a refusal; Reason also says why a request would wait.
	Kind       string // code of the errkind
	Reason     string
	RetryAfter time.Duration

	Route, Service, Model, Version string // Version is that of the weights, "" for any
	Account                        string
	PromptTokens, MaxOutput        int
	Release                        string // release that a running rollout assigns to the request, or ""

	Revision  uint64        // of the configuration
	ConfigAge time.Duration // since the configuration was last confirmed to be current; negative if it is not known
	Grant     *Grant        // nil if the request takes no tokens
	Placement *Placement    // nil if the request was refused before an endpoint was selected
	Notes     []string      // what the dry run could not take into account
}

// Refused makes the explanation that of a refused request.
func (e *Explanation) Refused(err error) {
	refusal := errkind.Of(err)
	e.Verdict, e.Kind, e.Reason, e.RetryAfter = Refuse, refusal.Kind.String(), refusal.Text, refusal.RetryAfter
}

// Grant is what the request would get from its account's grant at this VM.
type Grant struct {
	Tokens  int64 // that the request takes
	Held    int64 // that the VM may give out without asking the owner of the grants
	Verdict Verdict
	Reason  string
}

// Placement is the selection of an endpoint.
type Placement struct {
	Verdict    Verdict
	Kind       string // of a refusal
	Reason     string
	RetryAfter time.Duration
	// Quarantined is set if a trait of the request is quarantined; Traits is the number of its traits.
	Quarantined bool
	Traits      int
	// Endpoint is the selected endpoint, or "". Wait is the predicted wait for a place and a permit there, and
	// FirstToken the predicted time to the first token, the wait included; 0 while the cost of a token is not known.
	Endpoint   string
	Wait       time.Duration
	FirstToken time.Duration
	ImportFrom string // address that the endpoint copies cached parts of the prompt from, or ""
	// Crowded is set while the requests of the service compete for its places, of which Held wait for admission.
	Crowded bool
	Held    int

	Candidates []Candidate // that were compared, the best first
	Dropped    []Dropped   // the other endpoints of the model or service

	// VMs is the number of entry VMs that this one counts, Peers the number of VMs or relays whose digests it has,
	// and OldestDigest the age of the oldest of these.
	VMs, Peers   int
	OldestDigest time.Duration
}

// Refused makes the placement that of a refused request.
func (p *Placement) Refused(e *errkind.Error) {
	p.Verdict, p.Kind, p.Reason, p.RetryAfter = Refuse, e.Kind.String(), e.Text, e.RetryAfter
}

// Candidate is an endpoint that was compared with others.
type Candidate struct {
	Endpoint, Address, FailureDomain, Release, Weights string
	Total                                              float64 // predicted milliseconds, weighted; the lowest is selected
	Scores                                             []Score
	CachedTokens, UncachedTokens                       int
	InFlight, PeerInFlight, Queued, Slots              int
	PerToken                                           time.Duration // to compute an uncached token
	Permit                                             Permit
	// Starting is set while the endpoint gets fewer requests because it has just started or recovered.
	Starting bool
	// LoadAge is the age of the endpoint's own load report; negative if there is none.
	LoadAge time.Duration
}

// Score is the share of one scorer in the total of a candidate.
type Score struct {
	Name         string
	Milliseconds float64
}

// Permit says whether a request to an endpoint with a rate limit or a pace may be sent now.
type Permit struct {
	Needed bool
	Held   bool          // this VM holds one
	Wait   time.Duration // until one is expected
	Rate   float64       // requests per second, for all VMs together
}

// Dropped is an endpoint that was not compared.
type Dropped struct {
	Endpoint string
	Reason   string
}

// Answer is the explanation of one VM, or the error of the call.
type Answer struct {
	VM          string
	Explanation *Explanation
	Err         error
}

// Decide sets the verdict of an explanation from those of the grant and the placement.
func (e *Explanation) Decide() {
	p := e.Placement
	switch {
	case e.Verdict == Refuse || e.Verdict == Forward:
	case e.Grant != nil && e.Grant.Verdict == Wait:
		e.Verdict, e.Reason = Wait, e.Grant.Reason
		if p != nil && p.Verdict == Refuse {
			e.Verdict, e.Kind, e.Reason, e.RetryAfter = p.Verdict, p.Kind, p.Reason, p.RetryAfter
		}
	case p != nil:
		e.Verdict, e.Kind, e.Reason, e.RetryAfter = p.Verdict, p.Kind, p.Reason, p.RetryAfter
	}
}

// outcome is what the explanations of VMs are compared by.
func (e *Explanation) outcome() string {
	if e.Placement != nil && e.Placement.Endpoint != "" && e.Verdict != Refuse {
		return string(e.Verdict) + " to " + e.Placement.Endpoint
	}
	return strings.TrimSpace(string(e.Verdict) + " " + e.Kind)
}

// Difference is an outcome and the VMs that have it.
type Difference struct {
	Outcome string
	VMs     []string
}

// Outcomes groups the VMs that have answered by what would happen to the request, in the order of answers.
func Outcomes(answers []Answer) []Difference {
	var all []Difference
	at := map[string]int{}
	for _, a := range answers {
		if a.Explanation == nil {
			continue
		}
		outcome := a.Explanation.outcome()
		i, known := at[outcome]
		if !known {
			i = len(all)
			at[outcome] = i
			all = append(all, Difference{Outcome: outcome})
		}
		all[i].VMs = append(all[i].VMs, a.VM)
	}
	return all
}
