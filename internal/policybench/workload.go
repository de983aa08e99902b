package policybench

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"eelgrasshollow/internal/prefix"
)

// Arrival is one request of a workload.
type Arrival struct {
	ArrivalTime  time.Duration
	ClientID     int
	Account      string
	Chain        []prefix.Hash
	PromptTokens int
	OutputTokens int
	Deadline     time.Duration // from arrival; for the served share
}

// Workload makes the arrivals of one deployment.
type Workload struct {
	Name        string
	EngineModel EngineModel
	Generate    func(s Scenario, length time.Duration, rng *rand.Rand) []Arrival
}

// accounts are a few large and some small client accounts, by share of the traffic.
var accounts = []struct {
	name  string
	share float64
}{{"north", 0.38}, {"south", 0.30}, {"east", 0.14}, {"west", 0.10}, {"centre", 0.08}}

// flooder is the account that sends five times its rate.
const (
	flooder    = "east"
	floodTimes = 5
)

// Litoral is the dawn peak of quote requests: price list, shop history, question.
func Litoral() Workload {
	return Workload{Name: "litoral", EngineModel: defaultShape, Generate: litoral}
}

const (
	litoralRate    = 26.0 // requests per second at the peak
	priceListParts = 6
	historyParts   = 3
	questionTokens = 300
	quoteTokens    = 40
)

func litoral(s Scenario, length time.Duration, rng *rand.Rand) []Arrival {
	var all []Arrival
	for n, a := range accounts {
		shops := max(int(260*a.share), 4)
		at := 0.0
		for {
			rate := litoralRate * a.share * dawn(at/length.Seconds()) * s.factor(a.name, at, length)
			at += rng.ExpFloat64() / rate
			if at > length.Seconds() {
				break
			}
			shop := zipf(rng, shops, 0.9)
			list := shop % 2
			if s.PrefixShift && at > length.Seconds()/2 {
				list, shop = list+2, (shop+shops/2)%shops
			}
			chain := pieces(a.name, nil, fmt.Sprintf("list-%d", list), priceListParts)
			chain = pieces(a.name, chain, fmt.Sprintf("shop-%d", shop), historyParts)
			all = append(all, Arrival{
				ArrivalTime: seconds(at), ClientID: n*1000 + shop, Account: a.name, Chain: chain,
				PromptTokens: len(chain)*prefix.PieceTokens + questionTokens, OutputTokens: quoteTokens, Deadline: 2 * time.Second,
			})
		}
	}
	return all
}

// dawn rises to the peak and falls again.
func dawn(x float64) float64 { return 0.55 + 0.45*math.Sin(math.Pi*min(max(x, 0), 1)) }

// Tatrametal is the nightly planning: ordinance, district, shift, in batches.
func Tatrametal() Workload {
	return Workload{Name: "tatrametal", EngineModel: defaultShape, Generate: tatrametal}
}

const (
	tatrametalRate = 15.0
	ordinanceParts = 8
	districtParts  = 4
	shiftParts     = 2
	logTokens      = 700
	planTokens     = 120
	batchSize      = 16
)

func tatrametal(s Scenario, length time.Duration, rng *rand.Rand) []Arrival {
	var all []Arrival
	for n, a := range accounts {
		districts := max(int(60*a.share), 3)
		at := 0.0
		for {
			rate := tatrametalRate * a.share * s.factor(a.name, at, length) / batchSize
			at += rng.ExpFloat64() / rate
			if at > length.Seconds() {
				break
			}
			district := zipf(rng, districts, 0.8)
			ordinance := district % 2
			if s.PrefixShift && at > length.Seconds()/2 {
				ordinance += 2
			}
			chain := pieces(a.name, nil, fmt.Sprintf("ordinance-%d", ordinance), ordinanceParts)
			chain = pieces(a.name, chain, fmt.Sprintf("district-%d", district), districtParts)
			for i := range batchSize {
				shift := pieces(a.name, chain, fmt.Sprintf("shift-%d", rng.IntN(6)), shiftParts)
				all = append(all, Arrival{
					ArrivalTime: seconds(at + 0.1*float64(i)*rng.Float64()), ClientID: n*1000 + district*20 + i, Account: a.name, Chain: shift,
					PromptTokens: len(shift)*prefix.PieceTokens + logTokens, OutputTokens: planTokens, Deadline: 30 * time.Second,
				})
			}
		}
	}
	return all
}

// pieces continues a chain by the pieces of one level.
func pieces(account string, above []prefix.Hash, level string, n int) []prefix.Hash {
	seed := prefix.Namespace{Account: account, Model: "m", Version: "v1"}.Seed()
	if len(above) > 0 {
		seed = prefix.Seed(above[len(above)-1])
	}
	chain := append([]prefix.Hash(nil), above...)
	for i := range n {
		next := prefix.Namespace{Account: seed.Salt(), Model: level, Adapter: fmt.Sprint(i)}.Seed()
		chain = append(chain, prefix.Hash(next))
		seed = next
	}
	return chain
}

func zipf(rng *rand.Rand, n int, s float64) int {
	total := 0.0
	for i := range n {
		total += math.Pow(float64(i+1), -s)
	}
	x := rng.Float64() * total
	for i := range n {
		x -= math.Pow(float64(i+1), -s)
		if x <= 0 {
			return i
		}
	}
	return n - 1
}

func seconds(x float64) time.Duration { return time.Duration(x * float64(time.Second)) }

// Scenario is what goes wrong during a run.
type Scenario struct {
	Name         string
	PrefixShift  bool // other prefixes are hot in the second half
	EngineCrash  bool // an engine crashes and comes back empty
	DomainOutage bool // a failure domain is gone for a while
	VMRestart    bool // every entry VM restarts
	AccountFlood bool // one client account sends five times its rate
}

// Scenarios lists them.
func Scenarios() []Scenario {
	return []Scenario{
		{Name: "steady"}, {Name: "hot-shift", PrefixShift: true}, {Name: "engine-crash", EngineCrash: true},
		{Name: "domain-gone", DomainOutage: true}, {Name: "herd-restart", VMRestart: true}, {Name: "flood", AccountFlood: true},
	}
}

func (s Scenario) factor(account string, at float64, length time.Duration) float64 {
	if s.AccountFlood && account == flooder && at > length.Seconds()/3 {
		return floodTimes
	}
	return 1
}
