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

// Defaults for clients and servers.
const (
	// DefaultFreshness is the maximum age of a view under which requests with a key are served.
	DefaultFreshness = 3 * time.Second
	// DefaultHold is how long a replica holds a poll while it has no newer revision.
	DefaultHold = 500 * time.Millisecond
	// DriftBound is the maximum relative error of a clock's rate, in either direction.
	DriftBound = 0.05
)

// PollArgs requests a newer revision. It also reports the revision that the VM has in force.
type PollArgs struct {
	Report membership.Report
	// From is the watcher's revision; 0 requests a snapshot.
	From uint64
	// Barrier requests a read barrier before the reply.
	Barrier bool
	// VMsVersion is the version of the watcher's VM list, valid for the replica in Replica.
	VMsVersion uint64
	Replica    uint64
	// Hold is how long the replica may hold the poll.
	Hold time.Duration
}

// PollReply is the reply to a poll.
type PollReply struct {
	Replica  uint64
	Revision uint64
	// Snapshot or Delta is set if the watcher's revision is older: an encoded
	// Configuration or Delta message.
	Snapshot []byte
	Delta    []byte
	// Attested is set if the replica's state contained every revision that was accepted
	// more than Age before the reply was sent.
	Attested bool
	Age      time.Duration
	// Held is the time from the poll's arrival to the reply.
	Held time.Duration
	// VMs is set, and VMsSet true, if the watcher's list is not at VMsVersion.
	VMs        []membership.VM
	VMsVersion uint64
	VMsSet     bool
}

// ExchangeArgs carries a control replica's revision and VM reports to another replica.
type ExchangeArgs struct {
	Replica  uint64
	Revision uint64
	Reports  []membership.Report
}

// ExchangeReply is empty.
type ExchangeReply struct{}
