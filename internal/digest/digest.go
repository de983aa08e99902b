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

// Identify hashes an endpoint's name.
func Identify(name string) EndpointID { return EndpointID(xxhash.Sum64String(name)) }

// RunOf hashes an incarnation.
func RunOf(incarnation string) Run {
	if incarnation == "" {
		return 0
	}
	return Run(xxhash.Sum64String(incarnation) | 1)
}

// At names one run of one endpoint, so that what is told about a dead run never
// matches its successor.
type At uint32

// Of names a run of an endpoint.
func Of(e EndpointID, r Run) At {
	var b [8]byte
	binary.LittleEndian.PutUint32(b[:], uint32(e))
	binary.LittleEndian.PutUint32(b[4:], uint32(r))
	return At(xxhash.Sum64(b[:]))
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
	At     At
	Prefix prefix.Hash
}

// Digest is one VM's message.
type Digest struct {
	From       string
	Loads      []Load
	Placements []Placement
}

const (
	loadBytes      = 4 + 4 + 2 + 4
	placementBytes = 4 + 8
	headerBytes    = 2 + 2 + 2
)

// Size is the encoded length.
func (d *Digest) Size() int {
	return headerBytes + len(d.From) + len(d.Loads)*loadBytes + len(d.Placements)*placementBytes
}

// Bound drops the oldest placements, then loads, until the digest fits.
func (d *Digest) Bound(bytes int) {
	for d.Size() > bytes && len(d.Placements) > 0 {
		over := (d.Size() - bytes + placementBytes - 1) / placementBytes
		d.Placements = d.Placements[min(over, len(d.Placements)):]
	}
	for d.Size() > bytes && len(d.Loads) > 0 {
		d.Loads = d.Loads[:len(d.Loads)-1]
	}
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
	b = binary.LittleEndian.AppendUint16(b, uint16(len(d.Placements)))
	for _, p := range d.Placements {
		b = binary.LittleEndian.AppendUint32(b, uint32(p.At))
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
		d.Placements = append(d.Placements, Placement{At(r.word()), prefix.Hash(r.long())})
	}
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

func (r *reader) short() uint16 { return binary.LittleEndian.Uint16(r.take(2)) }
func (r *reader) word() uint32  { return binary.LittleEndian.Uint32(r.take(4)) }
func (r *reader) long() uint64  { return binary.LittleEndian.Uint64(r.take(8)) }
