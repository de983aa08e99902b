// Package entryd joins the modules of an entry VM's daemon.
package entryd

import (
	"context"
	"os"
	"strings"
	"time"

	"eelgrasshollow/internal/clock"
	"eelgrasshollow/internal/connguard"
	"eelgrasshollow/internal/engine"
	"eelgrasshollow/internal/entry"
	"eelgrasshollow/internal/grants"
	"eelgrasshollow/internal/journal"
	"eelgrasshollow/internal/kernel"
	"eelgrasshollow/internal/keys"
	"eelgrasshollow/internal/logging"
	"eelgrasshollow/internal/membership"
	"eelgrasshollow/internal/membudget"
	"eelgrasshollow/internal/peer"
	"eelgrasshollow/internal/routing"
	"eelgrasshollow/internal/settings"
	"eelgrasshollow/internal/tlsconf"
	"eelgrasshollow/internal/watch"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
)

// Settings is the whole settings file of eelgrass-entry.
type Settings struct {
	Log      logging.Settings       `ini:"log"`
	Node     Node                   `ini:"node"`
	Control  Control                `ini:"control"`
	Security Security               `ini:"security"`
	Entry    entry.Settings         `ini:"entry"`
	Engine   engine.Settings        `ini:"engine"`
	Watch    watch.Settings         `ini:"watch"`
	Routing  routing.Settings       `ini:"routing"`
	Grants   grants.HolderSettings  `ini:"grants"`
	Journal  journal.ClientSettings `ini:"journal"`
	TLS      tlsconf.Settings       `ini:"tls"`
	PeerTLS  tlsconf.Settings       `ini:"peer_tls"`
}

// Node is the [node] section: who and where this VM is.
type Node struct {
	Name          string `ini:"name" doc:"Name of this VM, its own in the fleet."`
	FailureDomain string `ini:"failure_domain" doc:"Failure domain that this VM is in."`
	Address       string `ini:"address" doc:"IP and port that callers connect to."`
	PeerAddress   string `ini:"peer_address" doc:"IP and port that other VMs connect to."`

	Memory      settings.Bytes `ini:"memory" default:"0 B" doc:"Memory that the daemon may use; 0: all of the VM."`
	Descriptors int            `ini:"descriptors" default:"0" min:"0" doc:"Descriptors that the daemon may open; 0: as many as the system allows."`
}

// Control is the [control] section.
type Control struct {
	Addresses []string `ini:"addresses" doc:"Peer addresses of the control replicas."`
}

// Security is the [security] section.
type Security struct {
	HashKeyFile string `ini:"hash_key_file" doc:"File with the fleet's key for hashing callers' keys."`
}

// stopMargin is the time for stopping beyond the waits of the front's own drain.
const stopMargin = 5 * time.Second

// grace is the time that a stop may take.
func (s Settings) grace() time.Duration {
	return s.Entry.LookupTTL + s.Entry.StreamGrace + s.Entry.WriteTimeout + stopMargin
}

// Run serves until ctx ends, then stops gracefully.
func Run(ctx context.Context, s Settings) error {
	log, err := logging.New(s.Log, "eelgrass-entry", s.Node.Name)
	if err != nil {
		return err
	}
	k := kernel.New(log)
	if err := register(k, s, log); err != nil {
		return err
	}
	return k.Run(ctx, s.grace())
}

func register(k *kernel.Kernel, s Settings, log *zap.Logger) error {
	hashKey, err := os.ReadFile(s.Security.HashKeyFile)
	if err != nil {
		return errors.Wrap(err, "read hash key")
	}
	memoryBytes := membudget.ProcessBytes(int64(s.Node.Memory))
	membudget.LimitRuntime(memoryBytes)
	guard := connguard.New(connguard.BoundsFor(memoryBytes, s.Node.Descriptors), log.Named("connections"))
	bounds := membudget.LimitsFor(memoryBytes)
	memory, responseMemory := membudget.New(bounds.Requests, "requests"), membudget.New(bounds.Responses, "responses")
	memory.ReclaimWith(guard.CloseStalled)
	if err := registerPeers(k, s, log, guard); err != nil {
		return err
	}
	directory := newDirectory(s, log)
	k.Register(watch.ClientName, directory, peer.PoolName)
	k.Register("entry.grants", grants.NewHolderModule(s.Grants, false, grants.StateLimits{Source: directory}.Limit, clock.Boot), peer.PoolName)
	k.Register("entry.journal", journal.NewClientModule(s.Journal), peer.PoolName)
	k.Register("entry.engine", engine.NewModule(s.Engine, responseMemory, log))
	k.Register("entry.routing", routing.NewModule(s.Routing, nil, nil, clock.Boot), watch.ClientName, "entry.engine", peer.ServerName, peer.PoolName)
	front := entry.NewModule(entry.Config{
		Settings: s.Entry, TLS: s.TLS, Hasher: keys.NewHasher(strings.TrimSpace(string(hashKey))),
		Self:  watch.VM{Name: s.Node.Name, Address: s.Node.Address, FailureDomain: s.Node.FailureDomain},
		Guard: guard, Memory: memory, ResponseMemory: responseMemory,
	})
	k.Register("entry.http", front, entry.Dependencies()...)
	return nil
}

func registerPeers(k *kernel.Kernel, s Settings, log *zap.Logger, guard *connguard.Guard) error {
	if !s.PeerTLS.Enabled() {
		k.Register(peer.ServerName, peer.NewServerModule(log, s.Node.PeerAddress, nil, guard))
		k.Register(peer.PoolName, peer.NewPoolModule(peer.Options{}, s.Control.Addresses))
		return nil
	}
	files, err := tlsconf.New(s.PeerTLS)
	if err != nil {
		return err
	}
	k.Register(peer.ServerName, peer.NewServerModule(log, s.Node.PeerAddress, files.Server(), guard))
	k.Register(peer.PoolName, peer.NewPoolModule(peer.Options{TLS: files.Client()}, s.Control.Addresses))
	return nil
}

func newDirectory(s Settings, log *zap.Logger) *watch.Client {
	return watch.NewClient(watch.ClientConfig{
		ControlAddresses: s.Control.Addresses, Freshness: s.Watch.Freshness, Hold: s.Watch.Hold, Log: log.Named("watch"),
		VM: membership.VM{
			Name: s.Node.Name, Address: s.Node.Address, PeerAddress: s.Node.PeerAddress, FailureDomain: s.Node.FailureDomain,
		},
	})
}
