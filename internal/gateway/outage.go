package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
)

const (
	// firstOutageProbe is the time from a connection to a server that could not be opened to the first
	// probe. The time between two probes grows by outageProbeGrowth up to longestOutageProbe.
	firstOutageProbe   = 250 * time.Millisecond
	longestOutageProbe = time.Second
	outageProbeGrowth  = 1.5
	// outageProbeTimeout limits a probe, and is how much longer than the time to the next probe a server
	// is avoided.
	outageProbeTimeout = 400 * time.Millisecond
	// longestOutage is how long a server is probed. After that, requests try it again.
	longestOutage = 30 * time.Second
)

// outageWatch probes the servers to which connections could not be opened, so that no further client
// request waits for a connect timeout at them. It is safe for concurrent use.
type outageWatch struct {
	// probe opens a connection to an address and closes it again.
	probe func(ctx context.Context, address string) error
	// listed reports whether there still is a server at an address.
	listed func(address string) bool
	log    *zap.Logger

	mu      sync.Mutex
	outages map[string]struct{} // by address
}

func newOutageWatch(probe func(context.Context, string) error, listed func(string) bool, log *zap.Logger) *outageWatch {
	return &outageWatch{probe: probe, listed: listed, log: log, outages: map[string]struct{}{}}
}

// begin probes a server until a connection can be opened. avoid is called before each probe with how
// long to avoid the server. If the server is being probed already, begin does nothing.
func (o *outageWatch) begin(address string, avoid func(time.Duration)) {
	o.mu.Lock()
	_, known := o.outages[address]
	o.outages[address] = struct{}{}
	o.mu.Unlock()
	if known {
		return
	}
	o.log.Info("server is unreachable, requests avoid it while probes fail", zap.String("address", address))
	o.schedule(address, avoid, time.Now(), firstOutageProbe)
}

// schedule probes a server after an interval, and again until the outage has ended.
func (o *outageWatch) schedule(address string, avoid func(time.Duration), since time.Time, interval time.Duration) {
	avoid(interval + outageProbeTimeout)
	time.AfterFunc(interval, func() {
		switch {
		case !o.listed(address):
			o.end(address, since, "it is no longer listed")
		case o.reachable(address):
			o.end(address, since, "a probe has reached it")
		case time.Since(since) > longestOutage:
			o.end(address, since, "it is tried again")
		default:
			o.schedule(address, avoid, since, min(time.Duration(outageProbeGrowth*float64(interval)), longestOutageProbe))
		}
	})
}

func (o *outageWatch) end(address string, since time.Time, reason string) {
	o.mu.Lock()
	delete(o.outages, address)
	o.mu.Unlock()
	o.log.Info("probes of an unreachable server end", zap.String("address", address), zap.Duration("after", time.Since(since)), zap.String("reason", reason))
}

// reachable reports whether a server accepts or refuses a connection.
func (o *outageWatch) reachable(address string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), outageProbeTimeout)
	defer cancel()
	err := o.probe(ctx, address)
	return err == nil || !errors.Is(err, ErrUnreachable) && ctx.Err() == nil
}
