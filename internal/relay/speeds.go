package relay

import (
	"maps"
	"slices"

	"eelgrasshollow/internal/digest"
	"eelgrasshollow/internal/speed"
)

const (
	// maxSpeeds bounds the speeds in a message from a relay: a kilobyte.
	maxSpeeds = 200
	// maxSpeedSums is the number of incarnations whose sums a relay keeps. Beyond it, it starts anew: the sums of
	// ended incarnations stay otherwise.
	maxSpeedSums = 4096
)

// speedQueues holds the speeds that a relay passes on: to its cell those of all other VMs, and to the other relays
// those of its cell, so that each sample reaches each VM once.
type speedQueues struct{ all, cell *speedSums }

func newSpeedQueues() speedQueues { return speedQueues{newSpeedSums(), newSpeedSums()} }

func (r *speedQueues) record(d *digest.Digest, fromCell bool) {
	r.all.add(d.From, d.Speeds)
	if fromCell {
		r.cell.add(d.From, d.Speeds)
	}
}

// speedSums are the sums of all samples by incarnation, and the part of them that each receiver has got. A message
// that is lost takes its samples with it; later ones replace them.
type speedSums struct {
	total map[digest.EndpointRun]speed.Sum
	order []digest.EndpointRun
	sent  map[string]*sentSums // by peer address
}

// sentSums is what a receiver has got.
type sentSums struct {
	sums map[digest.EndpointRun]speed.Sum
	next int // index in order from which on the next message starts
}

func newSpeedSums() *speedSums {
	return &speedSums{total: map[digest.EndpointRun]speed.Sum{}, sent: map[string]*sentSums{}}
}

// add adds the samples of a VM, which counts them as received by itself.
func (s *speedSums) add(origin string, speeds []digest.Speed) {
	if len(s.total) > maxSpeedSums {
		*s = *newSpeedSums()
	}
	for _, received := range speeds {
		sum, known := s.total[received.EndpointRun]
		if !known {
			s.order = append(s.order, received.EndpointRun)
		}
		added := speed.Packed(received.Packed).Sum()
		sum.Add(added)
		s.total[received.EndpointRun] = sum
		if sent := s.sent[origin]; sent != nil {
			before := sent.sums[received.EndpointRun]
			before.Add(added)
			sent.sums[received.EndpointRun] = before
		}
	}
}

// take returns the samples that the receiver has not got, at most limit speeds. A new receiver gets those from now on.
func (s *speedSums) take(receiver string, limit int) []digest.Speed {
	sent := s.sent[receiver]
	if sent == nil {
		s.skip(receiver)
		return nil
	}
	var taken []digest.Speed
	first := sent.next
	for i := range s.order {
		n := (first + i) % len(s.order)
		if len(taken) >= limit {
			sent.next = n
			break
		}
		at := s.order[n]
		total, before := s.total[at], sent.sums[at]
		if packed, ok := (speed.Sum{Count: total.Count - before.Count, Log: total.Log - before.Log}).Pack(); ok {
			taken = append(taken, digest.Speed{EndpointRun: at, Packed: uint8(packed)})
			sent.sums[at] = total
		}
	}
	return taken
}

// skip counts all samples until now as sent to the receiver.
func (s *speedSums) skip(receiver string) {
	s.sent[receiver] = &sentSums{sums: maps.Clone(s.total)}
}

func (s *speedSums) forget(receiver string) { delete(s.sent, receiver) }

// keepOnly forgets the other receivers.
func (s *speedSums) keepOnly(receivers []string) {
	maps.DeleteFunc(s.sent, func(address string, _ *sentSums) bool { return !slices.Contains(receivers, address) })
}
