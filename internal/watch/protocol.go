package watch

import (
	"time"

	"eelgrasshollow/internal/membership"
)

// Names of the net/rpc services.
const (
	ServiceName         = "Watch"
	ExchangeServiceName = "Session"
)

// Defaults of both sides.
const (
	// DefaultFreshness is how old a view may be under which keyed work is served.
	DefaultFreshness = 3 * time.Second
	// DefaultHold is how long a replica holds a poll that has nothing new.
	DefaultHold = 500 * time.Millisecond
	// DriftBound is the greatest part by which a clock may run fast or slow.
	DriftBound = 0.05
)

// PollArgs asks for what is new. It also reports the VM.
type PollArgs struct {
	Report membership.Report
	// From is the revision the watcher has; 0 asks for a snapshot.
	From uint64
	// Barrier asks for a read barrier before the answer.
	Barrier bool
	// VMsVersion is the version of the VM list the watcher has, from this replica.
	VMsVersion uint64
	Replica    uint64
	Hold       time.Duration
}

// PollReply answers a poll.
type PollReply struct {
	Replica  uint64
	Revision uint64
	// Snapshot or Delta is set when the watcher lacks something: an encoded
	// Configuration or Delta.
	Snapshot []byte
	Delta    []byte
	// Attested says that the replica's state held everything that was accepted
	// longer than Age before it sent this answer.
	Attested bool
	Age      time.Duration
	// Held is the time from the poll's arrival to the answer.
	Held       time.Duration
	VMs        []membership.VM
	VMsVersion uint64
	VMsSet     bool
}

// ExchangeArgs carries what one control replica knows of the VMs to another.
type ExchangeArgs struct {
	Replica  uint64
	Revision uint64
	Reports  []membership.Report
}

// ExchangeReply is empty.
type ExchangeReply struct{}
