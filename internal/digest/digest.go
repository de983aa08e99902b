// Package digest defines the digests that entry VMs send to each other for routing: requests in
// flight and loaded weights by endpoint, the endpoints to which prefixes were sent, the traits of
// requests under which endpoints crashed, and the rate limits that endpoints state. The size of a
// digest is limited. Lost digests lower the cache hit rate and delay a quarantine or a rate limit,
// but never affect correctness.
//
// The encoding has these fields in this order, integers in little-endian byte order:
//
//	From        uint16 length in bytes, then the bytes
//	Loads       uint16 count, then for each: uint32 Endpoint, uint32 Run, uint16 InFlight, uint32 PendingTokens
//	Loaded      uint16 count, then for each: uint32 EndpointRun, uint32 Weights
//	Placements  uint16 count, then for each: uint32 EndpointRun, uint64 Prefix
//	Evicted     uint16 count, then for each: uint32 EndpointRun, uint64 Prefix
//	Suspects    uint16 count, then for each: uint64 Trait, uint32 Epoch, uint16 Chain, 12 times uint16 CrashID;
//	            left out if there are no suspects and no limits, as in the digests of earlier versions
//	Limits      uint16 count, then for each: uint32 EndpointRun, uint32 Version, uint32 MilliPerSecond;
//	            left out if there are none, as in the digests of earlier versions
//
// There are no bytes after the last field. The speeds of endpoints are encoded apart (see EncodeSpeeds), as earlier
// versions reject a digest with further fields.
package digest

import (
	"encoding/binary"

	"eelgrasshollow/internal/errkind"
	"eelgrasshollow/internal/prefix"

	"github.com/cespare/xxhash/v2"
)

// EndpointID identifies an endpoint in digests. It is a 32-bit hash of the endpoint's name.
type EndpointID uint32

// Run identifies an endpoint's incarnation in digests. It is a 32-bit hash of the incarnation,
// or 0 if the incarnation is unknown.
type Run uint32

// EndpointIDOf returns the ID of the endpoint with the given name.
func EndpointIDOf(name string) EndpointID { return EndpointID(xxhash.Sum64String(name)) }

// RunOf returns the Run of an incarnation, or 0 if incarnation is empty.
func RunOf(incarnation string) Run {
	if incarnation == "" {
		return 0
	}
	return Run(xxhash.Sum64String(incarnation) | 1)
}

// EndpointRun identifies one incarnation of one endpoint, as a 32-bit hash of both, so that
// information about an earlier incarnation is not applied to its successor.
type EndpointRun uint32

// EndpointRunOf returns the EndpointRun of an endpoint and an incarnation.
func EndpointRunOf(endpoint EndpointID, run Run) EndpointRun {
	var b [8]byte
	binary.LittleEndian.PutUint32(b[:], uint32(endpoint))
	binary.LittleEndian.PutUint32(b[4:], uint32(run))
	return EndpointRun(xxhash.Sum64(b[:]))
}

// Load is the load of one entry VM at an endpoint.
type Load struct {
	Endpoint      EndpointID
	Run           Run
	InFlight      uint16 // requests in flight
	PendingTokens uint32 // uncached prompt tokens of requests that have no first output token yet
}

// Placement is a prefix at an endpoint: one that was sent to it, or one that it evicted.
type Placement struct {
	EndpointRun EndpointRun
	Prefix      prefix.Hash
}

// WeightsID identifies one weights version of a model. It is a 32-bit hash of both names.
type WeightsID uint32

// WeightsIDOf returns the ID of a weights version of a model.
func WeightsIDOf(model, version string) WeightsID {
	return WeightsID(xxhash.Sum64String(model + "\x00" + version))
}

// LoadedWeights states that an incarnation of an endpoint has loaded the weights.
type LoadedWeights struct {
	EndpointRun EndpointRun
	Weights     WeightsID
}

// CrashID identifies the crash of one incarnation of an endpoint, as a hash that is not 0.
type CrashID uint16

// CrashIDOf returns the ID of the crash of an incarnation.
func CrashIDOf(run EndpointRun) CrashID { return CrashID(max(run>>16, 1)) }

// SuspectCrashes is the number of crashes that a Suspect names.
const SuspectCrashes = 12

// Suspect is a trait of requests under which endpoints crashed; see package quarantine.
type Suspect struct {
	Trait   prefix.Hash             // ID of the trait
	Epoch   uint32                  // how often the trait was cleared by an answer
	Chain   uint16                  // length of the chain of crashes since
	Crashes [SuspectCrashes]CrashID // crashes under it, in ascending order; 0 for none
}

// RateLimit is the number of requests that an incarnation of an endpoint takes from all VMs
// together.
type RateLimit struct {
	EndpointRun EndpointRun
	// Version counts the changes of the limit. A higher version replaces a lower one.
	Version        uint32
	MilliPerSecond uint32 // requests per 1,000 seconds; 0 for no limit
}

// Digest is the message that one entry VM sends to its peers.
type Digest struct {
	From       string // peer address of the sending VM
	Loads      []Load
	Loaded     []LoadedWeights
	Placements []Placement // prefixes sent to endpoints
	Evicted    []Placement // evicted prefixes
	Suspects   []Suspect
	Limits     []RateLimit
	Speeds     []Speed // not part of Encode, see EncodeSpeeds
}

// Speed is how long an incarnation of an endpoint takes relative to the mean of its service, as the sender has
// seen since its last digest: a packed value of package speed.
type Speed struct {
	EndpointRun EndpointRun
	Packed      uint8
}

// SpeedBytes is the encoded size of a speed.
const SpeedBytes = 4 + 1

// EncodeSpeeds returns the encoded speeds: for each, uint32 EndpointRun and a byte. It returns nil if there are none.
func (d *Digest) EncodeSpeeds() []byte {
	var b []byte
	for _, s := range d.Speeds {
		b = append(binary.LittleEndian.AppendUint32(b, uint32(s.EndpointRun)), s.Packed)
	}
	return b
}

// DecodeSpeeds sets the speeds from their encoding. It ignores an incomplete one at the end.
func (d *Digest) DecodeSpeeds(b []byte) {
	d.Speeds = nil
	for ; len(b) >= SpeedBytes; b = b[SpeedBytes:] {
		d.Speeds = append(d.Speeds, Speed{EndpointRun(binary.LittleEndian.Uint32(b)), b[SpeedBytes-1]})
	}
}

const (
	// Encoded sizes of one item of each kind, and of the length and count fields.
	loadBytes      = 4 + 4 + 2 + 4
	loadedBytes    = 4 + 4
	placementBytes = 4 + 8
	suspectBytes   = 8 + 4 + 2 + SuspectCrashes*2
	limitBytes     = 4 + 4 + 4
	countBytes     = 2
	headerBytes    = 2 + 2 + 2 + 2 + 2

	// MaxNewsBytes is the greatest encoded size of a placement, an eviction, loaded weights, a
	// suspect or a limit, with the counts that the first one needs.
	MaxNewsBytes = 2*countBytes + suspectBytes
)

// Size returns the length of the encoded digest in bytes.
func (d *Digest) Size() int {
	placements := len(d.Placements) + len(d.Evicted)
	size := headerBytes + len(d.From) + len(d.Loads)*loadBytes + len(d.Loaded)*loadedBytes + placements*placementBytes
	if len(d.Suspects)+len(d.Limits) > 0 {
		size += countBytes + len(d.Suspects)*suspectBytes
	}
	if len(d.Limits) > 0 {
		size += countBytes + len(d.Limits)*limitBytes
	}
	return size
}

// TrimTo removes items until the encoded digest is at most maxBytes long: first evictions and
// then placements, both from the start, because routing appends the newest at the end; then
// loads and then weights, both from the end. Suspects and limits stay.
func (d *Digest) TrimTo(maxBytes int) {
	d.Evicted = d.Evicted[d.excess(maxBytes, len(d.Evicted), placementBytes):]
	d.Placements = d.Placements[d.excess(maxBytes, len(d.Placements), placementBytes):]
	d.Loads = d.Loads[:len(d.Loads)-d.excess(maxBytes, len(d.Loads), loadBytes)]
	d.Loaded = d.Loaded[:len(d.Loaded)-d.excess(maxBytes, len(d.Loaded), loadedBytes)]
}

// excess returns how many of count items of itemBytes bytes each must be removed so that the
// encoded digest is at most maxBytes long.
func (d *Digest) excess(maxBytes, count, itemBytes int) int {
	excessBytes := max(d.Size()-maxBytes, 0)
	return min((excessBytes+itemBytes-1)/itemBytes, count)
}

// Encode returns the encoded digest; see the package documentation for its layout.
func (d *Digest) Encode() []byte {
	b := make([]byte, 0, d.Size())
	b = binary.LittleEndian.AppendUint16(b, uint16(len(d.From)))
	b = append(b, d.From...)
	b = binary.LittleEndian.AppendUint16(b, uint16(len(d.Loads)))
	for _, l := range d.Loads {
		b = binary.LittleEndian.AppendUint32(b, uint32(l.Endpoint))
		b = binary.LittleEndian.AppendUint32(b, uint32(l.Run))
		b = binary.LittleEndian.AppendUint16(b, l.InFlight)
		b = binary.LittleEndian.AppendUint32(b, l.PendingTokens)
	}
	b = binary.LittleEndian.AppendUint16(b, uint16(len(d.Loaded)))
	for _, l := range d.Loaded {
		b = binary.LittleEndian.AppendUint32(b, uint32(l.EndpointRun))
		b = binary.LittleEndian.AppendUint32(b, uint32(l.Weights))
	}
	b = appendPlacements(appendPlacements(b, d.Placements), d.Evicted)
	if len(d.Suspects)+len(d.Limits) == 0 {
		return b
	}
	b = binary.LittleEndian.AppendUint16(b, uint16(len(d.Suspects)))
	for _, s := range d.Suspects {
		b = binary.LittleEndian.AppendUint64(b, uint64(s.Trait))
		b = binary.LittleEndian.AppendUint32(b, s.Epoch)
		b = binary.LittleEndian.AppendUint16(b, s.Chain)
		for _, crash := range s.Crashes {
			b = binary.LittleEndian.AppendUint16(b, uint16(crash))
		}
	}
	if len(d.Limits) == 0 {
		return b
	}
	b = binary.LittleEndian.AppendUint16(b, uint16(len(d.Limits)))
	for _, l := range d.Limits {
		b = binary.LittleEndian.AppendUint32(b, uint32(l.EndpointRun))
		b = binary.LittleEndian.AppendUint32(b, l.Version)
		b = binary.LittleEndian.AppendUint32(b, l.MilliPerSecond)
	}
	return b
}

func appendPlacements(b []byte, placements []Placement) []byte {
	b = binary.LittleEndian.AppendUint16(b, uint16(len(placements)))
	for _, p := range placements {
		b = binary.LittleEndian.AppendUint32(b, uint32(p.EndpointRun))
		b = binary.LittleEndian.AppendUint64(b, uint64(p.Prefix))
	}
	return b
}

// Decode decodes a digest. A malformed one returns an error of kind InvalidRequest.
func Decode(encoded []byte) (*Digest, error) {
	r := reader{rest: encoded}
	d := &Digest{From: string(r.next(int(r.readUint16())))}
	for n := r.readUint16(); n > 0 && !r.malformed; n-- {
		d.Loads = append(d.Loads, Load{EndpointID(r.readUint32()), Run(r.readUint32()), r.readUint16(), r.readUint32()})
	}
	for n := r.readUint16(); n > 0 && !r.malformed; n-- {
		d.Loaded = append(d.Loaded, LoadedWeights{EndpointRun(r.readUint32()), WeightsID(r.readUint32())})
	}
	d.Placements, d.Evicted = r.readPlacements(), r.readPlacements()
	if len(r.rest) > 0 {
		d.Suspects = r.readSuspects()
	}
	if len(r.rest) > 0 {
		d.Limits = r.readLimits()
	}
	if r.malformed || len(r.rest) > 0 {
		return nil, errkind.New(errkind.InvalidRequest, "malformed digest")
	}
	return d, nil
}

// reader reads the fields of an encoded digest.
type reader struct {
	rest      []byte
	malformed bool // the input ended within a field
}

// zeros is returned by reader.next if the input is too short.
var zeros [8]byte

// next returns the next n bytes, or at most 8 zeros if the input is too short.
func (r *reader) next(n int) []byte {
	if r.malformed || len(r.rest) < n {
		r.malformed = true
		return zeros[:min(n, len(zeros))]
	}
	b := r.rest[:n]
	r.rest = r.rest[n:]
	return b
}

func (r *reader) readPlacements() []Placement {
	var placements []Placement
	for n := r.readUint16(); n > 0 && !r.malformed; n-- {
		placements = append(placements, Placement{EndpointRun(r.readUint32()), prefix.Hash(r.readUint64())})
	}
	return placements
}

func (r *reader) readSuspects() []Suspect {
	var suspects []Suspect
	for n := r.readUint16(); n > 0 && !r.malformed; n-- {
		s := Suspect{Trait: prefix.Hash(r.readUint64()), Epoch: r.readUint32(), Chain: r.readUint16()}
		for i := range s.Crashes {
			s.Crashes[i] = CrashID(r.readUint16())
		}
		suspects = append(suspects, s)
	}
	return suspects
}

func (r *reader) readLimits() []RateLimit {
	var limits []RateLimit
	for n := r.readUint16(); n > 0 && !r.malformed; n-- {
		limits = append(limits, RateLimit{EndpointRun(r.readUint32()), r.readUint32(), r.readUint32()})
	}
	return limits
}

func (r *reader) readUint16() uint16 { return binary.LittleEndian.Uint16(r.next(2)) }
func (r *reader) readUint32() uint32 { return binary.LittleEndian.Uint32(r.next(4)) }
func (r *reader) readUint64() uint64 { return binary.LittleEndian.Uint64(r.next(8)) }
