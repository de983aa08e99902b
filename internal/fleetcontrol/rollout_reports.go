package fleetcontrol

import (
	"maps"
	"slices"
	"sync"
	"time"

	"eelgrasshollow/internal/canary"
	"eelgrasshollow/internal/membership"
	"eelgrasshollow/internal/releasetraffic"
)

const (
	// RolloutHold is the hold of polls that carry counts of a rollout: the counts must be recent enough
	// to stop a bad release in time.
	RolloutHold = 300 * time.Millisecond
	// absentWait is the time since its last report for which an entry VM that is no longer listed, and had
	// requests on old servers, is waited for: it may only be suspended. absentShare is the share of the
	// rollout's duration up to which that is done.
	absentWait  = 5 * time.Second
	absentShare = 0.95
	// passIntervalPerVM times the number of its entry VMs is the least time between two reports of one VM
	// that a replica passes to the leader, up to maxPassInterval. A report of 8 routes has 1.6 kB: with 100
	// VMs at a replica, passing each of them every 300 ms would take 4 Mbit/s of the leader's link.
	passIntervalPerVM = 5 * time.Millisecond
	maxPassInterval   = 700 * time.Millisecond
	// reportMemory is the time for which the counts of an entry VM are kept after its last report. It
	// exceeds any rollout whose VMs all work; the counts of those that are gone still count.
	reportMemory = MaxRolloutDuration + time.Hour
	// maxProcesses is the number of processes of one VM whose reports are kept apart. Of a VM that restarts
	// again and again, only the sums of the older ones are kept; late reports of these are dropped.
	maxProcesses = 8
)

// VMReport holds what one entry VM has counted for the running rollouts.
type VMReport struct {
	VM          string // name
	Incarnation uint64
	Sequence    uint64        // of the report among those of the incarnation
	Age         time.Duration // time since a replica received it
	Rollouts    []releasetraffic.Report
}

type vmKey struct {
	vm          string
	incarnation uint64
}

// receivedReport is a VM's last report.
type receivedReport struct {
	VMReport
	receivedAt time.Time
	passed     bool      // to the current leader
	passedAt   time.Time // when a report of the VM was passed to the current leader
	// beforePassed is the number of the latest rollout of each service whose Report.Before the current leader
	// has got. Before doesn't change and makes up a third of a report.
	beforePassed map[string]uint64
}

// keepBefore fills in what the report lacks because it was passed before.
func (r *receivedReport) keepBefore(old *receivedReport) {
	r.Rollouts = slices.Clone(r.Rollouts)
	for i := range r.Rollouts {
		report := &r.Rollouts[i]
		for _, former := range old.Rollouts {
			if report.Before == nil && former.Service == report.Service && former.Number == report.Number {
				report.Before = former.Before
			}
		}
	}
}

// toPass returns the report for the current leader.
func (r *receivedReport) toPass(now time.Time) VMReport {
	report := r.VMReport
	report.Age = now.Sub(r.receivedAt)
	report.Rollouts = slices.Clone(report.Rollouts)
	for i := range report.Rollouts {
		if rollout := &report.Rollouts[i]; r.beforePassed[rollout.Service] == rollout.Number {
			rollout.Before = nil
		}
	}
	return report
}

// rolloutReports holds the last reports of the entry VMs. It is safe for concurrent use.
type rolloutReports struct {
	mu     sync.Mutex
	byVM   map[vmKey]*receivedReport
	leader string // to which reports were passed
	// processes lists the incarnations of each VM, the first reported one first. Of those before
	// folded[name], only the sums remain.
	processes map[string][]uint64
	folded    map[string]int
	sums      map[rolloutKey]*foldedCounts
}

// rolloutKey identifies a rollout.
type rolloutKey struct {
	service string
	number  uint64
}

// foldedCounts are the sums of ended processes.
type foldedCounts struct{ old, new, servers, before map[string]canary.Counts }

// fold keeps only the sums of the oldest processes of a VM. The caller holds the mutex.
func (r *rolloutReports) fold(vm string) {
	for len(r.processes[vm])-r.folded[vm] > maxProcesses {
		key := vmKey{vm, r.processes[vm][r.folded[vm]]}
		r.folded[vm]++
		if r.byVM[key] == nil {
			continue
		}
		for _, report := range r.byVM[key].Rollouts {
			k := rolloutKey{report.Service, report.Number}
			sum := r.sums[k]
			if sum == nil {
				sum = &foldedCounts{map[string]canary.Counts{}, map[string]canary.Counts{}, map[string]canary.Counts{}, map[string]canary.Counts{}}
				r.sums[k] = sum
			}
			const ended = 2 * canary.MaxEvidenceAge // its pending requests have ended with it
			mergeCounts(sum.old, report.Old, ended)
			mergeCounts(sum.new, report.New, ended)
			mergeCounts(sum.servers, report.Servers, ended)
			mergeCounts(sum.before, report.Before, ended)
		}
		delete(r.byVM, key)
	}
}

func newRolloutReports() *rolloutReports {
	return &rolloutReports{byVM: map[vmKey]*receivedReport{}, processes: map[string][]uint64{}, folded: map[string]int{}, sums: map[rolloutKey]*foldedCounts{}}
}

// record records a report, unless a newer one of the same incarnation is known.
func (r *rolloutReports) record(report VMReport, now time.Time) {
	if len(report.Rollouts) == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	key := vmKey{report.VM, report.Incarnation}
	if old := r.byVM[key]; old != nil && old.Sequence >= report.Sequence {
		return
	}
	switch i := slices.Index(r.processes[report.VM], report.Incarnation); {
	case i < 0:
		r.processes[report.VM] = append(r.processes[report.VM], report.Incarnation)
	case i < r.folded[report.VM]:
		return
	}
	defer r.fold(report.VM)
	next := &receivedReport{VMReport: report, receivedAt: now.Add(-report.Age)}
	if old := r.byVM[key]; old != nil {
		next.passedAt, next.beforePassed = old.passedAt, old.beforePassed
		next.keepBefore(old)
	}
	r.byVM[key] = next
}

// unpassed returns the reports that the leader has not got from this replica and that are due.
func (r *rolloutReports) unpassed(leader string, now time.Time) []VMReport {
	r.mu.Lock()
	defer r.mu.Unlock()
	if leader != r.leader {
		r.leader = leader
		for _, report := range r.byVM {
			report.passed, report.passedAt, report.beforePassed = false, time.Time{}, nil
		}
	}
	var reports []VMReport
	interval := min(passIntervalPerVM*time.Duration(len(r.byVM)), maxPassInterval)
	for key, report := range r.byVM {
		if now.Sub(report.receivedAt) > reportMemory {
			delete(r.byVM, key)
			continue
		}
		if !report.passed && now.Sub(report.passedAt) >= interval {
			reports = append(reports, report.toPass(now))
		}
	}
	return reports
}

// markPassed records that the leader has got reports.
func (r *rolloutReports) markPassed(reports []VMReport, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, report := range reports {
		if known := r.byVM[vmKey{report.VM, report.Incarnation}]; known != nil {
			known.passed, known.passedAt = known.Sequence == report.Sequence, now
			for _, rollout := range report.Rollouts {
				if rollout.Before != nil {
					known.beforePassed = maps.Clone(known.beforePassed)
					if known.beforePassed == nil {
						known.beforePassed = map[string]uint64{}
					}
					known.beforePassed[rollout.Service] = rollout.Number
				}
			}
		}
	}
}

// clear forgets all reports, once no rollout is running.
func (r *rolloutReports) clear() {
	r.mu.Lock()
	defer r.mu.Unlock()
	clear(r.byVM)
	clear(r.processes)
	clear(r.folded)
	clear(r.sums)
}

// evidence sums the counts of a rollout. vms are the known entry VMs; settled is true if these are all.
func (r *rolloutReports) evidence(rollout *Rollout, vms []membership.VM, settled bool, now time.Time) canary.Evidence {
	e := canary.Evidence{Old: map[string]canary.Counts{}, New: map[string]canary.Counts{}, Servers: map[string]canary.Counts{}, Before: map[string]canary.Counts{}, Age: reportMemory, Drained: settled && len(vms) > 0 && rollout.Stage.Phase == canary.All}
	listed := make(map[vmKey]bool, len(vms))
	newest := map[string]uint64{} // incarnation by name
	for _, vm := range vms {
		listed[vmKey{vm.Name, vm.Incarnation}] = true
		newest[vm.Name] = vm.Incarnation
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if sum := r.sums[rolloutKey{rollout.Service, rollout.Number}]; sum != nil {
		mergeCounts(e.Old, sum.old, 0)
		mergeCounts(e.New, sum.new, 0)
		mergeCounts(e.Servers, sum.servers, 0)
		mergeCounts(e.Before, sum.before, 0)
	}
	fresh := 0
	for key, received := range r.byVM {
		for i := range received.Rollouts {
			report := &received.Rollouts[i]
			if report.Service != rollout.Service || report.Number != rollout.Number {
				continue
			}
			age := now.Sub(received.receivedAt)
			mergeCounts(e.Old, report.Old, age)
			mergeCounts(e.New, report.New, age)
			mergeCounts(e.Servers, report.Servers, age)
			mergeCounts(e.Before, report.Before, age)
			e.Age = min(e.Age, age)
			drained := report.OldInFlight == 0 && report.StageNumber >= rollout.StageNumber
			switch {
			case listed[key]:
				if age <= canary.MaxEvidenceAge {
					fresh++
					delete(listed, key)
				}
				e.Drained = e.Drained && drained
			case newest[key.vm] == 0: // it is not listed, nor is a later process of the same VM
				waits := age <= absentWait && now.Sub(rollout.appliedAt) < time.Duration(absentShare*float64(rollout.Duration))
				e.Drained = e.Drained && (drained || !waits)
			}
		}
	}
	e.Drained = e.Drained && len(listed) == 0
	if settled { // the first VMs that a new leader hears of are not representative
		e.ReportedShare = float64(fresh) / float64(max(len(vms), 1))
	}
	return e
}

// mergeCounts adds the counts of a report. What an old report says about pending requests no longer holds.
func mergeCounts(into, from map[string]canary.Counts, age time.Duration) {
	for key, counts := range from {
		if age > canary.MaxEvidenceAge {
			counts.Pending, counts.Waiting = 0, canary.Histogram{}
		}
		sum := into[key]
		sum.Merge(counts)
		into[key] = sum
	}
}
