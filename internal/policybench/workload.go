package policybench

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"eelgrasshollow/internal/prefix"
)

// Arrival is a request of a workload and its time of arrival.
type Arrival struct {
	ArrivalTime  time.Duration
	ClientID     int
	Account      string
	Chain        []prefix.Hash
	PromptTokens int
	OutputTokens int
	Deadline     time.Duration // time limit from arrival within which the request counts as served in time
}

// Workload generates the requests of one deployment.
type Workload struct {
	Name        string
	EngineModel EngineModel
	Generate    func(s Scenario, duration time.Duration, rng *rand.Rand) []Arrival
}

// accounts are the client accounts and their shares of the traffic.
var accounts = []struct {
	name  string
	share float64
}{{"north", 0.38}, {"south", 0.30}, {"east", 0.14}, {"west", 0.10}, {"centre", 0.08}}

// In the scenario "flood", floodAccount sends floodFactor times its rate.
const (
	floodAccount = "east"
	floodFactor  = 5
)

// Litoral returns the dawn peak of quote requests. A prompt has a price list, the history of a shop
// and a question.
func Litoral() Workload {
	return Workload{Name: "litoral", EngineModel: defaultEngineModel, Generate: litoral}
}

const (
	litoralRate     = 26.0 // requests per second at the peak
	priceListPieces = 6
	historyPieces   = 3
	questionTokens  = 300
	quoteTokens     = 40
)

func litoral(s Scenario, duration time.Duration, rng *rand.Rand) []Arrival {
	var all []Arrival
	for accountIndex, account := range accounts {
		shops := max(int(260*account.share), 4)
		atSeconds := 0.0
		for {
			rate := litoralRate * account.share * dawnLoad(atSeconds/duration.Seconds()) * s.rateFactor(account.name, atSeconds, duration)
			atSeconds += rng.ExpFloat64() / rate
			if atSeconds > duration.Seconds() {
				break
			}
			shop := zipf(rng, shops, 0.9)
			priceList := shop % 2
			if s.PrefixShift && atSeconds > duration.Seconds()/2 {
				priceList, shop = priceList+2, (shop+shops/2)%shops
			}
			chain := appendPieces(account.name, nil, fmt.Sprintf("list-%d", priceList), priceListPieces)
			chain = appendPieces(account.name, chain, fmt.Sprintf("shop-%d", shop), historyPieces)
			all = append(all, Arrival{
				ArrivalTime: seconds(atSeconds), ClientID: accountIndex*1000 + shop, Account: account.name, Chain: chain,
				PromptTokens: len(chain)*prefix.PieceTokens + questionTokens, OutputTokens: quoteTokens, Deadline: 2 * time.Second,
			})
		}
	}
	return all
}

// dawnLoad returns the load as a share of the peak. progress runs from 0 to 1; the peak is at 0.5.
func dawnLoad(progress float64) float64 {
	return 0.55 + 0.45*math.Sin(math.Pi*min(max(progress, 0), 1))
}

// Tatrametal returns the nightly planning, whose requests come in batches. A prompt has an ordinance,
// a district, a shift and a log.
func Tatrametal() Workload {
	return Workload{Name: "tatrametal", EngineModel: defaultEngineModel, Generate: tatrametal}
}

const (
	tatrametalRate  = 15.0 // requests per second
	ordinancePieces = 8
	districtPieces  = 4
	shiftPieces     = 2
	logTokens       = 700
	planTokens      = 120
	batchSize       = 16
)

func tatrametal(s Scenario, duration time.Duration, rng *rand.Rand) []Arrival {
	var all []Arrival
	for accountIndex, account := range accounts {
		districts := max(int(60*account.share), 3)
		atSeconds := 0.0
		for {
			rate := tatrametalRate * account.share * s.rateFactor(account.name, atSeconds, duration) / batchSize
			atSeconds += rng.ExpFloat64() / rate
			if atSeconds > duration.Seconds() {
				break
			}
			district := zipf(rng, districts, 0.8)
			ordinance := district % 2
			if s.PrefixShift && atSeconds > duration.Seconds()/2 {
				ordinance += 2
			}
			chain := appendPieces(account.name, nil, fmt.Sprintf("ordinance-%d", ordinance), ordinancePieces)
			chain = appendPieces(account.name, chain, fmt.Sprintf("district-%d", district), districtPieces)
			for i := range batchSize {
				shiftChain := appendPieces(account.name, chain, fmt.Sprintf("shift-%d", rng.IntN(6)), shiftPieces)
				all = append(all, Arrival{
					ArrivalTime: seconds(atSeconds + 0.1*float64(i)*rng.Float64()), ClientID: accountIndex*1000 + district*20 + i, Account: account.name, Chain: shiftChain,
					PromptTokens: len(shiftChain)*prefix.PieceTokens + logTokens, OutputTokens: planTokens, Deadline: 30 * time.Second,
				})
			}
		}
	}
	return all
}

// appendPieces returns the chain parent extended by n pieces of a level of the prompt.
func appendPieces(account string, parent []prefix.Hash, level string, n int) []prefix.Hash {
	seed := prefix.Namespace{Account: account, Model: "m", Version: "v1"}.Seed()
	if len(parent) > 0 {
		seed = prefix.Seed(parent[len(parent)-1])
	}
	chain := append([]prefix.Hash(nil), parent...)
	for i := range n {
		next := prefix.Namespace{Account: seed.Salt(), Model: level, Adapter: fmt.Sprint(i)}.Seed()
		chain = append(chain, prefix.Hash(next))
		seed = next
	}
	return chain
}

// zipf returns a random number below n with a Zipf distribution, in which 0 is most frequent.
func zipf(rng *rand.Rand, n int, exponent float64) int {
	total := 0.0
	for i := range n {
		total += math.Pow(float64(i+1), -exponent)
	}
	x := rng.Float64() * total
	for i := range n {
		x -= math.Pow(float64(i+1), -exponent)
		if x <= 0 {
			return i
		}
	}
	return n - 1
}

func seconds(x float64) time.Duration { return time.Duration(x * float64(time.Second)) }

// Scenario is a set of faults or changes during a run.
type Scenario struct {
	Name         string
	PrefixShift  bool // other prefixes are popular in the second half
	EngineCrash  bool // an engine crashes and restarts with an empty cache
	DomainOutage bool // the engines of a failure domain are down for domainDowntime
	VMRestart    bool // every entry VM restarts
	AccountFlood bool // floodAccount sends floodFactor times its rate
}

// Scenarios returns all scenarios.
func Scenarios() []Scenario {
	return []Scenario{
		{Name: "steady"}, {Name: "hot-shift", PrefixShift: true}, {Name: "engine-crash", EngineCrash: true},
		{Name: "domain-gone", DomainOutage: true}, {Name: "herd-restart", VMRestart: true}, {Name: "flood", AccountFlood: true},
	}
}

// rateFactor returns the factor that applies to the arrival rate of a client account at a time of the run.
func (s Scenario) rateFactor(account string, atSeconds float64, duration time.Duration) float64 {
	if s.AccountFlood && account == floodAccount && atSeconds > duration.Seconds()/3 {
		return floodFactor
	}
	return 1
}
