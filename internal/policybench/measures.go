package policybench

import (
	"slices"
	"time"
)

// Measures are what a run shows, after the warm-up.
type Measures struct {
	prompt, cached, wasted int
	firstTokens            []time.Duration
	byAccount              map[string]*accountMeasures
	refused                int
	digestBytes            int
}

type accountMeasures struct {
	offered, inTime, refused int
	firstTokens              []time.Duration
}

func newMeasures() *Measures { return &Measures{byAccount: map[string]*accountMeasures{}} }

func (m *Measures) account(a Arrival) *accountMeasures {
	am := m.byAccount[a.Account]
	if am == nil {
		am = &accountMeasures{}
		m.byAccount[a.Account] = am
	}
	return am
}

func (m *Measures) refuse(a Arrival, _ time.Duration) {
	if a.ArrivalTime < warmUp {
		return
	}
	am := m.account(a)
	am.offered++
	am.refused++
	m.refused++
}

func (m *Measures) first(a Arrival, now time.Duration) {
	if a.ArrivalTime < warmUp {
		return
	}
	m.firstTokens = append(m.firstTokens, now-a.ArrivalTime)
	am := m.account(a)
	am.firstTokens = append(am.firstTokens, now-a.ArrivalTime)
}

func (m *Measures) done(a Arrival, now time.Duration) {
	if a.ArrivalTime < warmUp {
		return
	}
	am := m.account(a)
	am.offered++
	if now-a.ArrivalTime <= a.Deadline {
		am.inTime++
	}
}

// add pools the runs of several seeds.
func (m *Measures) add(o *Measures) {
	m.prompt += o.prompt
	m.cached += o.cached
	m.wasted += o.wasted
	m.refused += o.refused
	m.digestBytes += o.digestBytes
	m.firstTokens = append(m.firstTokens, o.firstTokens...)
	for name, a := range o.byAccount {
		am := m.byAccount[name]
		if am == nil {
			am = &accountMeasures{}
			m.byAccount[name] = am
		}
		am.offered += a.offered
		am.inTime += a.inTime
		am.refused += a.refused
		am.firstTokens = append(am.firstTokens, a.firstTokens...)
	}
}

// Row is a line of the table.
type Row struct {
	Workload, Scenario, Variant string
	VMs                         int
	HitRate                     float64 // cached share of prompt tokens
	P50, P99                    time.Duration
	WastedShare                 float64 // share of prompt tokens computed though a live endpoint held them
	WorstShareInTime            float64 // least share in time of an account within its rate
	WorstP99                    time.Duration
	RefusedInRate               int // of accounts within their rate
	Requests                    int
	DigestBytesPerSecond        float64 // bytes sent per VM
}

// row sums the measures up; the flooding account does not count as within its rate.
func (m *Measures) row(w Workload, s Scenario, v Variant, vms, seeds int) Row {
	r := Row{Workload: w.Name, Scenario: s.Name, Variant: v.Name, VMs: vms, WorstShareInTime: 1, Requests: len(m.firstTokens)}
	r.HitRate = float64(m.cached) / float64(max(m.prompt, 1))
	r.WastedShare = float64(m.wasted) / float64(max(m.prompt, 1))
	r.P50, r.P99 = quantile(m.firstTokens, 0.5), quantile(m.firstTokens, 0.99)
	r.DigestBytesPerSecond = float64(m.digestBytes) / (runLength + 30*time.Second).Seconds() / float64(vms*seeds)
	for name, a := range m.byAccount {
		if s.AccountFlood && name == flooder {
			continue
		}
		r.RefusedInRate += a.refused
		r.WorstShareInTime = min(r.WorstShareInTime, float64(a.inTime)/float64(max(a.offered, 1)))
		r.WorstP99 = max(r.WorstP99, quantile(a.firstTokens, 0.99))
	}
	return r
}

func quantile(all []time.Duration, q float64) time.Duration {
	if len(all) == 0 {
		return 0
	}
	sorted := slices.Clone(all)
	slices.Sort(sorted)
	return sorted[int(q*float64(len(sorted)-1))]
}
