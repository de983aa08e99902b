// Package controld builds the control daemon from the modules of a control replica.
package controld

import (
	"time"

	"eelgrasshollow/internal/consensus"
	"eelgrasshollow/internal/grants"
	"eelgrasshollow/internal/journal"
	"eelgrasshollow/internal/logging"
	"eelgrasshollow/internal/placement"
	"eelgrasshollow/internal/settings"
	"eelgrasshollow/internal/tlsconf"
)

// Settings are the settings of eelgrass-control.
type Settings struct {
	Log       logging.Settings      `ini:"log"`
	Node      Node                  `ini:"node"`
	Control   Control               `ini:"control"`
	Security  Security              `ini:"security"`
	PeerTLS   tlsconf.Settings      `ini:"peer_tls"`
	TLS       tlsconf.Settings      `ini:"tls"`
	Grants    grants.OwnerSettings  `ini:"grants"`
	Journal   journal.OwnerSettings `ini:"journal"`
	Placement placement.Settings    `ini:"placement"`
}

// Node is the [node] section.
type Node struct {
	Name            string `ini:"name" doc:"Name of the VM."`
	FailureDomain   string `ini:"failure_domain" default:"" doc:"Failure domain of the VM."`
	DataDir         string `ini:"data_dir" doc:"Folder of everything that must survive a restart."`
	PeerAddress     string `ini:"peer_address" doc:"IP address and port for the system's other processes."`
	OperatorAddress string `ini:"operator_address" doc:"IP address and port for operators."`
	MetricsAddress  string `ini:"metrics_address" default:"" doc:"IP address and port of the metrics; empty serves none."`

	Memory      settings.Bytes `ini:"memory" default:"0 B" doc:"Memory that the daemon may use; 0: all of the VM."`
	Descriptors int            `ini:"descriptors" default:"0" min:"0" doc:"Descriptors that the daemon may open; 0: as many as the system allows."`
}

// Control is the [control] section.
type Control struct {
	ReplicaID            uint64        `ini:"replica_id" default:"1" min:"1" doc:"Number of this replica. A replica whose disk was lost takes a new one."`
	Replicas             []string      `ini:"replicas" default:"" doc:"First members as NUMBER=PEER-ADDRESS; empty: this replica alone. Read only when the store is new."`
	Join                 bool          `ini:"join" default:"false" doc:"This replica is added to a running group with eelctl; its store begins empty."`
	ElectionTimeout      time.Duration `ini:"election_timeout" default:"1s" min:"200ms" max:"10s" doc:"Silence of the leader after which another may be elected."`
	HeartbeatInterval    time.Duration `ini:"heartbeat" default:"100ms" min:"20ms" max:"2s" doc:"Time between the leader's rounds."`
	EntriesPerSnapshot   uint64        `ini:"snapshot_every" default:"10000" min:"100" doc:"Log entries between two snapshots."`
	RetainedEntries      uint64        `ini:"keep_entries" default:"1000" doc:"Log entries kept before a snapshot for replicas that are a little behind."`
	MaxBatch             int           `ini:"batch" default:"1024" min:"1" max:"65536" doc:"Changes and messages that share one sync at most."`
	Freshness            time.Duration `ini:"freshness" default:"3s" min:"1s" max:"10s" doc:"How old the configuration on an entry VM may be; the same on every VM."`
	PlatformAddress      string        `ini:"platform_address" default:"" doc:"IP address and port of the platform's VM list; empty follows none."`
	PlatformPollInterval time.Duration `ini:"platform_every" default:"1s" min:"100ms" max:"1m" doc:"Time between two readings of the VM list."`
	StopGrace            time.Duration `ini:"stop_grace" default:"15s" min:"1s" max:"5m" doc:"Time for a graceful stop."`
}

// Security is the [security] section.
type Security struct {
	HashKeyFile        string `ini:"hash_key_file" doc:"File with the fleet's hash key, the same on every VM."`
	OperatorTokensFile string `ini:"operator_tokens_file" doc:"File with lines OPERATOR TOKEN."`
}

// minHeartbeatsPerElection is the minimum number of heartbeats within an election timeout.
const minHeartbeatsPerElection = 3

// Validate returns the problems that concern several keys.
func (s *Settings) Validate() []settings.Problem {
	var out []settings.Problem
	add := func(key, text string) {
		out = append(out, settings.Problem{Section: "control", Key: key, Text: text})
	}
	if s.Control.HeartbeatInterval*minHeartbeatsPerElection > s.Control.ElectionTimeout {
		add("heartbeat", "must be at most a third of election_timeout")
	}
	membership, err := consensus.ParseMembers(s.Control.Replicas)
	if err != nil {
		add("replicas", err.Error())
		return out
	}
	if _, listed := membership.Find(s.Control.ReplicaID); len(membership.Members) > 0 && !listed && !s.Control.Join {
		add("replicas", "does not name this replica; set join for one that is added later")
	}
	return out
}

// initialMembership returns the membership that a new store begins with.
func (s *Settings) initialMembership() consensus.Membership {
	if s.Control.Join {
		return consensus.Membership{}
	}
	membership, _ := consensus.ParseMembers(s.Control.Replicas) // Validate has checked the syntax
	if len(membership.Members) == 0 {
		membership.Members = []consensus.Member{{ID: s.Control.ReplicaID, Address: s.Node.PeerAddress}}
	}
	return membership
}

// controlAddresses returns the peer addresses of the initial members, or only that of
// this replica if it joins a running group.
func (s *Settings) controlAddresses() []string {
	var out []string
	for _, x := range s.initialMembership().Members {
		out = append(out, x.Address)
	}
	if len(out) == 0 {
		return []string{s.Node.PeerAddress}
	}
	return out
}
