package quarantine

import (
	"slices"

	"eelgrasshollow/internal/prefix"

	"github.com/cespare/xxhash/v2"
)

// Trait is what may make a request crash endpoints: a part of its prompt or its fingerprint.
type Trait struct {
	ID   prefix.Hash
	Name string
}

// requestBit is set in the IDs of fingerprints and clear in those of prompt parts, so that VMs which
// hear of a trait know what it is.
const requestBit prefix.Hash = 1 << 63

// PartTrait returns the trait of the requests whose prompts have a part. id is the hash of the model and
// the part, wherever it stands in the prompt.
func PartTrait(id prefix.Hash, name string) Trait { return Trait{ID: id &^ requestBit, Name: name} }

// RequestTrait returns the trait that a request shares with its repeats only: the fingerprint of its
// client account, method, target, body and prompt parts.
func RequestTrait(account, method, target string, body []byte, parts ...string) Trait {
	fields := append([]string{account, method, target, prefix.Hash(xxhash.Sum64(body)).String()}, parts...)
	fingerprint := requestBit | prefix.Hash(prefix.HashFields(fields...))
	return Trait{ID: fingerprint, Name: fingerprint.String()}
}

// answerMask is an arbitrary number without requestBit.
const answerMask prefix.Hash = 0x5a17_c39e_64d2_8b0f

// answerMark returns the ID of the record by whose epoch VMs tell each other that a request has been
// answered before. Builds without it keep and pass on such a record like that of a request without crashes.
func answerMark(request prefix.Hash) prefix.Hash { return request ^ answerMask }

// IsRequest reports whether the trait is the fingerprint of a request.
func (t Trait) IsRequest() bool { return isRequest(t.ID) }

func isRequest(id prefix.Hash) bool { return id&requestBit != 0 }

func hasTrait(traits []Trait, id prefix.Hash) bool {
	return slices.ContainsFunc(traits, func(trait Trait) bool { return trait.ID == id })
}

// recentSet holds at least the last maxRecords of the hashes that were added. Its zero value is empty.
type recentSet struct{ current, former map[prefix.Hash]struct{} }

func (s *recentSet) add(h prefix.Hash) {
	if s.current == nil || len(s.current) >= maxRecords {
		s.current, s.former = make(map[prefix.Hash]struct{}), s.current
	}
	s.current[h] = struct{}{}
}

func (s *recentSet) contains(h prefix.Hash) bool {
	_, current := s.current[h]
	_, former := s.former[h]
	return current || former
}
