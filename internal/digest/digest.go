// Package digest holds what entry VMs tell each other for routing, in bounded bytes:
// their requests in flight by endpoint and where they sent which prefixes. Losing a
// digest, or all of them, costs hits but never correctness.
package digest

import (
	"encoding/binary"

	"eelgrasshollow/internal/errkind"
	"eelgrasshollow/internal/prefix"

	"github.com/cespare/xxhash/v2"
)

// EndpointID is the short name of an endpoint between entry VMs.
type EndpointID uint32

// Run is the short name of an endpoint's incarnation; 0 is none.
type Run uint32

// EndpointIDOf hashes an endpoint's name.
func EndpointIDOf(name string) EndpointID { return EndpointID(xxhash.Sum64String(name)) }

// RunOf hashes an incarnation.
func RunOf(incarnation string) Run {
	if incarnation == "" {
		return 0
	}
	return Run(xxhash.Sum64String(incarnation) | 1)
}

// EndpointRun names one run of one endpoint, so that what is told about a dead run never
// matches its successor.
type EndpointRun uint32

// Of names a run of an endpoint.
func EndpointRunOf(e EndpointID, r Run) EndpointRun {
	var b [8]byte
	binary.LittleEndian.PutUint32(b[:], uint32(e))
	binary.LittleEndian.PutUint32(b[4:], uint32(r))
	return EndpointRun(xxhash.Sum64(b[:]))
}

// Load is one VM's work at an endpoint.
type Load struct {
	Endpoint EndpointID
	Run      Run
	InFlight uint16
	Pending  uint32 // uncached prompt tokens without a first token
}

// Placement says that a prefix was sent to an endpoint.
type Placement struct {
	EndpointRun EndpointRun
	Prefix      prefix.Hash
}

// Weights names a model in one weights version.
type WeightsID uint32

// WeightsIDOf hashes a model and its version.
func WeightsIDOf(model, version string) WeightsID {
	return WeightsID(xxhash.Sum64String(model + "\x00" + version))
}

// Loaded says which weights a run of an endpoint has loaded.
type LoadedWeights struct {
	EndpointRun EndpointRun
	Weights     WeightsID
}

// Digest is one VM's message.
type Digest struct {
	From       string
	Loads      []Load
	Loaded     []LoadedWeights
	Placements []Placement
	Evicted    []Placement // evicted
}

const (
	loadBytes      = 4 + 4 + 2 + 4
	loadedBytes    = 4 + 4
	placementBytes = 4 + 8
	headerBytes    = 2 + 2 + 2 + 2 + 2
)

// Size is the encoded length.
func (d *Digest) Size() int {
	placements := len(d.Placements) + len(d.Evicted)
	return headerBytes + len(d.From) + len(d.Loads)*loadBytes + len(d.Loaded)*loadedBytes + placements*placementBytes
}

// Bound drops evictions, then the oldest placements, then loads and weights from the
// end, until the digest fits.
func (d *Digest) TrimTo(bytes int) {
	d.Evicted = d.Evicted[d.excess(bytes, len(d.Evicted), placementBytes):]
	d.Placements = d.Placements[d.excess(bytes, len(d.Placements), placementBytes):]
	d.Loads = d.Loads[:len(d.Loads)-d.excess(bytes, len(d.Loads), loadBytes)]
	d.Loaded = d.Loaded[:len(d.Loaded)-d.excess(bytes, len(d.Loaded), loadedBytes)]
}

// excess is how many of n items of a size must go for the digest to fit.
func (d *Digest) excess(bytes, n, size int) int {
	over := max(d.Size()-bytes, 0)
	return min((over+size-1)/size, n)
}

// Encode writes the digest.
func (d *Digest) Encode() []byte {
	b := make([]byte, 0, d.Size())
	b = binary.LittleEndian.AppendUint16(b, uint16(len(d.From)))
	b = append(b, d.From...)
	b = binary.LittleEndian.AppendUint16(b, uint16(len(d.Loads)))
	for _, l := range d.Loads {
		b = binary.LittleEndian.AppendUint32(b, uint32(l.Endpoint))
		b = binary.LittleEndian.AppendUint32(b, uint32(l.Run))
		b = binary.LittleEndian.AppendUint16(b, l.InFlight)
		b = binary.LittleEndian.AppendUint32(b, l.Pending)
	}
	b = binary.LittleEndian.AppendUint16(b, uint16(len(d.Loaded)))
	for _, l := range d.Loaded {
		b = binary.LittleEndian.AppendUint32(b, uint32(l.EndpointRun))
		b = binary.LittleEndian.AppendUint32(b, uint32(l.Weights))
	}
	return appendPlacements(appendPlacements(b, d.Placements), d.Evicted)
}

func appendPlacements(b []byte, all []Placement) []byte {
	b = binary.LittleEndian.AppendUint16(b, uint16(len(all)))
	for _, p := range all {
		b = binary.LittleEndian.AppendUint32(b, uint32(p.EndpointRun))
		b = binary.LittleEndian.AppendUint64(b, uint64(p.Prefix))
	}
	return b
}

// Decode reads a digest; a malformed one is errkind InvalidRequest.
func Decode(b []byte) (*Digest, error) {
	r := reader{rest: b}
	d := &Digest{From: string(r.take(int(r.short())))}
	for n := r.short(); n > 0 && !r.bad; n-- {
		d.Loads = append(d.Loads, Load{EndpointID(r.word()), Run(r.word()), r.short(), r.word()})
	}
	for n := r.short(); n > 0 && !r.bad; n-- {
		d.Loaded = append(d.Loaded, LoadedWeights{EndpointRun(r.word()), WeightsID(r.word())})
	}
	d.Placements, d.Evicted = r.placements(), r.placements()
	if r.bad || len(r.rest) > 0 {
		return nil, errkind.New(errkind.InvalidRequest, "malformed digest")
	}
	return d, nil
}

type reader struct {
	rest []byte
	bad  bool
}

var zeros [8]byte

func (r *reader) take(n int) []byte {
	if r.bad || len(r.rest) < n {
		r.bad = true
		return zeros[:min(n, len(zeros))]
	}
	b := r.rest[:n]
	r.rest = r.rest[n:]
	return b
}

func (r *reader) placements() []Placement {
	var all []Placement
	for n := r.short(); n > 0 && !r.bad; n-- {
		all = append(all, Placement{EndpointRun(r.word()), prefix.Hash(r.long())})
	}
	return all
}

func (r *reader) short() uint16 { return binary.LittleEndian.Uint16(r.take(2)) }
func (r *reader) word() uint32  { return binary.LittleEndian.Uint32(r.take(4)) }
func (r *reader) long() uint64  { return binary.LittleEndian.Uint64(r.take(8)) }
