package policybench

import (
	"slices"
	"time"
)

// Measures collects the results of a run. Requests that arrive during the warm-up are not counted.
type Measures struct {
	promptTokens, cachedTokens, wastedTokens int
	firstTokenTimes                          []time.Duration
	byAccount                                map[string]*accountMeasures
	refused                                  int
	digestBytes                              int
}

// accountMeasures collects the results of a client account's requests. offered counts the requests
// that completed or were refused, and inTime those that completed before their deadline.
type accountMeasures struct {
	offered, inTime, refused int
	firstTokenTimes          []time.Duration
}

func newMeasures() *Measures { return &Measures{byAccount: map[string]*accountMeasures{}} }

func (m *Measures) accountOf(a Arrival) *accountMeasures {
	am := m.byAccount[a.Account]
	if am == nil {
		am = &accountMeasures{}
		m.byAccount[a.Account] = am
	}
	return am
}

func (m *Measures) recordRefusal(a Arrival, _ time.Duration) {
	if a.ArrivalTime < warmUp {
		return
	}
	am := m.accountOf(a)
	am.offered++
	am.refused++
	m.refused++
}

func (m *Measures) recordFirstToken(a Arrival, now time.Duration) {
	if a.ArrivalTime < warmUp {
		return
	}
	m.firstTokenTimes = append(m.firstTokenTimes, now-a.ArrivalTime)
	am := m.accountOf(a)
	am.firstTokenTimes = append(am.firstTokenTimes, now-a.ArrivalTime)
}

func (m *Measures) recordCompletion(a Arrival, now time.Duration) {
	if a.ArrivalTime < warmUp {
		return
	}
	am := m.accountOf(a)
	am.offered++
	if now-a.ArrivalTime <= a.Deadline {
		am.inTime++
	}
}

// merge adds the results of another run, made with another seed.
func (m *Measures) merge(other *Measures) {
	m.promptTokens += other.promptTokens
	m.cachedTokens += other.cachedTokens
	m.wastedTokens += other.wastedTokens
	m.refused += other.refused
	m.digestBytes += other.digestBytes
	m.firstTokenTimes = append(m.firstTokenTimes, other.firstTokenTimes...)
	for name, a := range other.byAccount {
		am := m.byAccount[name]
		if am == nil {
			am = &accountMeasures{}
			m.byAccount[name] = am
		}
		am.offered += a.offered
		am.inTime += a.inTime
		am.refused += a.refused
		am.firstTokenTimes = append(am.firstTokenTimes, a.firstTokenTimes...)
	}
}

// Row is a row of the result table.
type Row struct {
	Workload, Scenario, Variant string
	VMs                         int
	HitRate                     float64       // cached share of the prompt tokens
	P50, P99                    time.Duration // quantiles of the time to first token
	WastedShare                 float64       // share of the prompt tokens computed while a live engine had them cached
	WorstShareInTime            float64       // lowest share of requests in time among the accounts within their rate
	WorstP99                    time.Duration // highest P99 among the accounts within their rate
	RefusedInRate               int           // refused requests of accounts within their rate
	Requests                    int           // requests that received a first token
	DigestBytesPerSecond        float64       // digest bytes sent per second and VM
}

// row computes the table row of runs merged over a number of seeds. The flooding account does not
// count as within its rate.
func (m *Measures) row(w Workload, s Scenario, v Variant, vms, seeds int) Row {
	r := Row{Workload: w.Name, Scenario: s.Name, Variant: v.Name, VMs: vms, WorstShareInTime: 1, Requests: len(m.firstTokenTimes)}
	r.HitRate = float64(m.cachedTokens) / float64(max(m.promptTokens, 1))
	r.WastedShare = float64(m.wastedTokens) / float64(max(m.promptTokens, 1))
	r.P50, r.P99 = quantile(m.firstTokenTimes, 0.5), quantile(m.firstTokenTimes, 0.99)
	r.DigestBytesPerSecond = float64(m.digestBytes) / (runLength + 30*time.Second).Seconds() / float64(vms*seeds)
	for name, a := range m.byAccount {
		if s.AccountFlood && name == floodAccount {
			continue
		}
		r.RefusedInRate += a.refused
		r.WorstShareInTime = min(r.WorstShareInTime, float64(a.inTime)/float64(max(a.offered, 1)))
		r.WorstP99 = max(r.WorstP99, quantile(a.firstTokenTimes, 0.99))
	}
	return r
}

// quantile returns the q-quantile of the values, or 0 if there are none.
func quantile(values []time.Duration, q float64) time.Duration {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Clone(values)
	slices.Sort(sorted)
	return sorted[int(q*float64(len(sorted)-1))]
}
