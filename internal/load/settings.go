// Package load is an open-loop load generator that checks the responses: many callers
// look up and cache entry addresses and send the traffic of a deployment; oracles check
// every response and the whole trace.
package load

import (
	"bufio"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"eelgrasshollow/internal/settings"
)

// Settings holds the settings file of eelgrass-load.
type Settings struct {
	Target        Target        `ini:"target"`
	Run           Run           `ini:"run"`
	Prompts       Prompts       `ini:"prompts"`
	Mix           Mix           `ini:"mix"`
	ShareOverride ShareOverride `ini:"greedy"`
	Oracles       Oracles       `ini:"oracles"`
}

// Target holds the addresses and accounts of the system under test.
type Target struct {
	Entries           []string `ini:"entries" doc:"Entry addresses that callers ask first for the addresses to use."`
	AccountsFile      string   `ini:"accounts_file" doc:"Lines of: client account, key, share of the traffic, rate, burst."`
	PlainEndpoints    []string `ini:"plain_endpoints" default:"" doc:"Plain stand-ins whose run counts the oracles read."`
	EngineEndpoints   []string `ini:"engine_endpoints" default:"" doc:"Engine stand-ins whose counts go into the report."`
	Operators         []string `ini:"operators" default:"" doc:"Operator addresses, to withdraw a key during the run."`
	OperatorTokenFile string   `ini:"operator_token_file" default:"" doc:"File with the operator token."`
}

// Run holds the length, rate and limits of a run.
type Run struct {
	Name     string        `ini:"name" default:"run" doc:"Name in the report."`
	Duration time.Duration `ini:"duration" default:"30s" min:"1s" max:"24h" doc:"How long requests are sent."`
	Rate     float64       `ini:"rate" default:"50" min:"0.1" max:"100000" doc:"Requests a second over all callers, sent whether or not answers come."`
	Callers  int           `ini:"callers" default:"50" min:"1" max:"100000" doc:"Callers, each with its own kept lookup."`
	Seed     int64         `ini:"seed" default:"1" doc:"Seed of every random choice."`
	Timeout  time.Duration `ini:"timeout" default:"20s" min:"100ms" max:"10m" doc:"How long a caller waits for a whole answer."`
	Attempts int           `ini:"attempts" default:"3" min:"1" max:"10" doc:"How often a caller sends a request in all while that is safe."`
	InFlight int           `ini:"in_flight" default:"2000" min:"1" max:"100000" doc:"Requests at once; one more is counted as not sent."`
}

// Prompts describes the prompts: shared levels, then a part unique to the request.
type Prompts struct {
	Levels    []string      `ini:"levels" doc:"Shared levels from the outermost on, each TOKENSxCOUNT; COUNT is per parent."`
	Skew      float64       `ini:"skew" default:"1.1" min:"1.01" max:"5" doc:"Zipf exponent of how unequally prefixes are used."`
	OwnTokens int           `ini:"own_tokens" default:"200" min:"1" max:"100000" doc:"Tokens of the request's own part."`
	MaxTokens int           `ini:"max_tokens" default:"24" min:"1" max:"10000" doc:"Greatest tokens of an answer."`
	HotShift  time.Duration `ini:"hot_shift" default:"0s" min:"0s" max:"24h" doc:"Every so often other prefixes become the hot ones; 0 never."`
}

// Mix holds the shares and targets of the kinds of calls.
type Mix struct {
	Model       string  `ini:"model" doc:"Model of the completions."`
	StreamShare float64 `ini:"stream_share" default:"0.9" min:"0" max:"1" doc:"Share of completions that are streamed."`
	LookupShare float64 `ini:"lookup_share" default:"0.1" min:"0" max:"1" doc:"Share of calls that are idempotent plain ones."`
	LookupPath  string  `ini:"lookup_path" default:"/stock" doc:"Path of idempotent plain calls."`
	OrderShare  float64 `ini:"order_share" default:"0.1" min:"0" max:"1" doc:"Share of calls that are non-idempotent plain ones."`
	OrderPath   string  `ini:"order_path" default:"/orders" doc:"Path of non-idempotent plain calls."`
	CallTokens  int64   `ini:"call_tokens" default:"0" min:"0" max:"1000000" doc:"What the routes of plain calls cost in tokens."`
	ResendShare float64 `ini:"resend_share" default:"0.1" min:"0" max:"1" doc:"Share of non-idempotent calls that the caller sends again although answered."`
}

// ShareOverride multiplies the traffic share of one client account.
type ShareOverride struct {
	Account string  `ini:"account" default:"" doc:"The client account; none when empty."`
	Factor  float64 `ini:"times" default:"5" min:"1" max:"100" doc:"How many times its share it sends."`
}

// Oracles holds the settings of the oracle for withdrawn keys.
type Oracles struct {
	WithdrawAccount string        `ini:"withdraw_account" default:"" doc:"Client account whose key is withdrawn during the run; none when empty."`
	WithdrawAfter   time.Duration `ini:"withdraw_after" default:"10s" min:"0s" max:"24h" doc:"When the key is withdrawn."`
	WithdrawBound   time.Duration `ini:"withdraw_bound" default:"5s" min:"0s" max:"1m" doc:"How long a withdrawn key may still work."`
}

// Validate checks conditions that involve several keys or the form of a list.
func (s *Settings) Validate() []settings.Problem {
	var problems []settings.Problem
	if _, err := parseLevels(s.Prompts.Levels); err != nil {
		problems = append(problems, settings.Problem{Section: "prompts", Key: "levels", Text: err.Error()})
	}
	if s.Mix.LookupShare+s.Mix.OrderShare > 1 {
		problems = append(problems, settings.Problem{Section: "mix", Key: "order_share", Text: "with lookup_share is above 1"})
	}
	if len(s.Target.Entries) == 0 {
		problems = append(problems, settings.Problem{Section: "target", Key: "entries", Text: "names no address"})
	}
	if s.Oracles.WithdrawAccount != "" && len(s.Target.Operators) == 0 {
		problems = append(problems, settings.Problem{Section: "oracles", Key: "withdraw_account", Text: "needs operators in [target]"})
	}
	return problems
}

// promptLevel is one shared level of prompts: its tokens, and the number of texts per parent.
type promptLevel struct{ tokens, count int }

func parseLevels(texts []string) ([]promptLevel, error) {
	var levels []promptLevel
	for _, text := range texts {
		var parsed promptLevel
		if n, err := fmt.Sscanf(text, "%dx%d", &parsed.tokens, &parsed.count); n != 2 || err != nil || parsed.tokens < 1 || parsed.count < 1 {
			return nil, errors.Newf("%q is not TOKENSxCOUNT", text)
		}
		levels = append(levels, parsed)
	}
	if len(levels) == 0 {
		return nil, errors.New("names no level")
	}
	return levels, nil
}

// Account is a client account that sends traffic.
type Account struct {
	Name  string
	Key   string
	Share float64
	Rate  float64 // tokens per second
	Burst float64 // tokens
}

const accountFieldCount = 5

// LoadAccounts reads an accounts file; empty lines and lines starting with # are skipped.
func LoadAccounts(path string) ([]Account, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, errors.Wrap(err, "read accounts")
	}
	defer f.Close()
	var accounts []Account
	scanner := bufio.NewScanner(f)
	for line := 1; scanner.Scan(); line++ {
		text := strings.TrimSpace(scanner.Text())
		if text == "" || text[0] == '#' {
			continue
		}
		a, err := parseAccount(text)
		if err != nil {
			return nil, errors.Wrapf(err, "%s:%d", path, line)
		}
		accounts = append(accounts, a)
	}
	if len(accounts) == 0 {
		return nil, errors.Newf("%s names no client account", path)
	}
	return accounts, scanner.Err()
}

func parseAccount(text string) (Account, error) {
	parts := strings.Fields(text)
	if len(parts) != accountFieldCount {
		return Account{}, errors.New("a line is: client account, key, share, rate, burst")
	}
	a := Account{Name: parts[0], Key: parts[1]}
	for i, field := range []*float64{&a.Share, &a.Rate, &a.Burst} {
		n, err := strconv.ParseFloat(parts[i+2], 64)
		if err != nil || n < 0 {
			return Account{}, errors.Newf("field %d is not a number", i+3)
		}
		*field = n
	}
	return a, nil
}
