package permits

import (
	"time"

	"eelgrasshollow/internal/pace"
)

const (
	// reportInterval is the least time between two reports of rejections by one VM. They are not
	// delayed until the VM's next ask, because the owner has to stop before there are too many; they
	// are as rare as rejections.
	reportInterval = 20 * time.Millisecond
	// knownTTL is how long a VM passes on the rate that it has got from an owner.
	knownTTL = 5 * time.Second
	// rejectionWindow is the time in which the rejections of a brittle endpoint are summed.
	rejectionWindow = time.Second
	// ownReduction lowers a VM's equal share for each rejection that it sees while the owner is
	// away, up to maxOwnCuts.
	ownReduction = 0.7
	maxOwnCuts   = 8
)

// Rate returns the last rate that an owner has told for the endpoint's pace, or 0.
func (q *Queue) Rate() float64 { return q.rate }

// KnownRate returns the rate that an owner has told lately, or 0.
func (q *Queue) KnownRate(now time.Time) float64 {
	if now.Sub(q.rateAt) > knownTTL {
		return 0
	}
	return q.rate
}

// Observe records results of requests to a brittle endpoint. When it rejects a request, the VM gives up
// its permits.
func (q *Queue) Observe(now time.Time, f pace.Feedback) {
	q.observed.Add(f)
	if f.Rejected == 0 {
		return
	}
	q.permits = nil
	if q.ownerAway {
		q.ownCuts++
		q.lastShare = now.Add(rejectionWindow)
		q.askAfter = now.Add(rejectionWindow)
	}
}

// ReportDue reports whether rejections have to be reported now, without waiting for the next ask.
func (q *Queue) ReportDue(now time.Time) bool {
	return q.observed.Rejected > 0 && now.Sub(q.reportedAt) >= reportInterval
}

// TakeObserved returns the results since the last call, for an ask.
func (q *Queue) TakeObserved(now time.Time) pace.Feedback {
	f := q.observed
	q.observed, q.reportedAt = pace.Feedback{}, now
	return f
}

// ReturnObserved takes back the results of an ask that no owner has answered, except rejections: they
// have been acted upon, and are out of date when an owner hears of them.
func (q *Queue) ReturnObserved(f pace.Feedback) {
	f.Rejected = 0
	q.observed.Add(f)
}

// OwnerAnswered records that the owner answers.
func (q *Queue) OwnerAnswered() { q.ownerAway, q.ownCuts = false, 0 }
