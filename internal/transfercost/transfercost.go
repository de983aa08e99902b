// Package transfercost estimates how long an endpoint takes to import cached tokens from another
// endpoint.
package transfercost

import "time"

const (
	bitsPerByte = 8
	// contention is how much longer a transfer takes than on idle links. The transfers of one
	// endpoint run one after another, and those of a popular prefix share the link of its source.
	contention = 1.5
	// betweenDomains is how much longer a transfer takes between failure domains.
	betweenDomains = 2
)

// Link is the connection over which an endpoint exchanges cached tokens with others. The zero value
// is a link of unknown rate.
type Link struct {
	perToken time.Duration // on an idle link within a failure domain
}

// LinkOf returns the link of an endpoint whose cache takes tokenBytes for a token. It is unknown if
// either argument is not positive.
func LinkOf(tokenBytes int, bitsPerSecond float64) Link {
	if tokenBytes <= 0 || bitsPerSecond <= 0 {
		return Link{}
	}
	return Link{time.Duration(float64(tokenBytes) * bitsPerByte / bitsPerSecond * float64(time.Second))}
}

// PerToken returns the expected transfer time of one token, or 0 if the link is unknown.
func (l Link) PerToken(sameDomain bool) time.Duration {
	perToken := time.Duration(contention * float64(l.perToken))
	if !sameDomain {
		perToken *= betweenDomains
	}
	return perToken
}
