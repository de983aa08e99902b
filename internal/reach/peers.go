package reach

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"eelgrasshollow/internal/watch"
)

// StatusArgs asks a VM whether it reaches endpoints.
type StatusArgs struct {
	// Services are those whose endpoints count; none means all.
	Services []string
	// MaxAge is the greatest age of an answer that helps the asking VM. Without one that young the
	// VM probes endpoints.
	MaxAge time.Duration
}

// StatusReply is the answer to StatusArgs.
type StatusReply struct {
	// Answered reports that an endpoint has answered on a connection opened Age ago.
	Answered bool
	Age      time.Duration
	// Isolated reports that the VM is isolated or suspects to be.
	Isolated bool
	// FreeSlots is the number of forwarded requests that the VM takes now.
	FreeSlots int
}

// receiver is the net/rpc receiver of the service.
type receiver struct{ module *Module }

// Status answers another VM.
func (r receiver) Status(args StatusArgs, reply *StatusReply) error {
	m := r.module
	m.mu.Lock()
	age, answered := m.detector.Answered(m.Now(), args.Services)
	state := m.detector.State()
	m.mu.Unlock()
	*reply = StatusReply{Answered: answered, Age: age, Isolated: state == Isolated || state == Suspect, FreeSlots: m.FreeSlots()}
	if reply.Isolated || answered && age <= args.MaxAge {
		return nil
	}
	reached, _, _ := m.probes.Do("", func() (any, error) {
		return probeAny(m.ctx, m.Prober, m.choose(args.Services, nil, probesPerRound), statusProbeTimeout), nil
	})
	if reached == true {
		reply.Answered, reply.Age = true, 0
	}
	return nil
}

// askPeers asks random VMs whether they reach endpoints. Those that do become helpers.
func (m *Module) askPeers(e Evidence) []PeerAnswer {
	ctx, cancel := context.WithTimeout(m.ctx, statusTimeout)
	defer cancel()
	var mu sync.Mutex
	var answers []PeerAnswer
	var wg sync.WaitGroup
	for _, vm := range choosePeers(m.VMs(), m.Self) {
		wg.Go(func() {
			var reply StatusReply
			err := m.pool.Call(ctx, vm.PeerAddress, ServiceName+".Status", StatusArgs{Services: e.Services, MaxAge: e.Age}, &reply)
			if err != nil {
				m.helpers.drop(vm.PeerAddress)
				return
			}
			answer := PeerAnswer{Answered: reply.Answered, Age: reply.Age, Isolated: reply.Isolated}
			if answer.Usable() {
				m.helpers.add(vm, reply.FreeSlots)
			} else {
				m.helpers.drop(vm.PeerAddress)
			}
			mu.Lock()
			answers = append(answers, answer)
			mu.Unlock()
		})
	}
	wg.Wait()
	return answers
}

// choosePeers returns the VMs that a round asks: random ones, with one of the own failure domain,
// because the others of a domain are likely to be cut off too. VMs that are known to be isolated
// or leaving come last.
func choosePeers(all []watch.VM, self watch.VM) []watch.VM {
	var near, far, poor []watch.VM
	for _, i := range rand.Perm(len(all)) {
		switch vm := all[i]; {
		case vm.PeerAddress == "" || vm.Name == self.Name:
		case vm.Isolated || vm.Leaving:
			poor = append(poor, vm)
		case vm.FailureDomain == self.FailureDomain:
			near = append(near, vm)
		default:
			far = append(far, vm)
		}
	}
	chosen := slices.Concat(near[:min(len(near), 1)], far, near[min(len(near), 1):], poor)
	return chosen[:min(len(chosen), peersPerRound)]
}

const (
	// helperTTL is how long a VM counts as a helper after it has answered.
	helperTTL = 2 * time.Second
	// helperWait is how long a request waits for the first helper of a round that runs.
	helperWait = 250 * time.Millisecond
)

// helper is a VM that can serve requests of this one.
type helper struct {
	domain string
	free   int
	at     time.Time
}

// helperSet holds the helpers. It is safe for concurrent use.
type helperSet struct {
	domain string
	now    func() time.Time

	mu      sync.Mutex
	byPeer  map[string]helper // by peer address
	waiting chan struct{}     // closed when a helper is added or the round ends; nil if no round runs
}

func newHelperSet(domain string, now func() time.Time) *helperSet {
	return &helperSet{domain: domain, now: now, byPeer: map[string]helper{}}
}

// await marks the begin of a round, settle its end.
func (h *helperSet) await() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.waiting == nil {
		h.waiting = make(chan struct{})
	}
}

func (h *helperSet) settle() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.waiting != nil {
		close(h.waiting)
		h.waiting = nil
	}
}

// add records that a VM can help.
func (h *helperSet) add(vm watch.VM, free int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.byPeer[vm.PeerAddress] = helper{vm.FailureDomain, free, h.now()}
	if h.waiting != nil {
		close(h.waiting)
		h.waiting = make(chan struct{})
	}
}

// drop removes a VM that does not answer.
func (h *helperSet) drop(address string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.byPeer, address)
}

// take returns the peer address of a random helper with a free slot that is not in tried, from
// the own failure domain if possible.
func (h *helperSet) take(tried []string) (string, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	var near, far []string
	for address, helper := range h.byPeer {
		switch {
		case h.now().Sub(helper.at) > helperTTL:
			delete(h.byPeer, address)
		case slices.Contains(tried, address) || helper.free <= 0:
		case helper.domain == h.domain:
			near = append(near, address)
		default:
			far = append(far, address)
		}
	}
	if len(near) == 0 {
		near = far
	}
	if len(near) == 0 {
		return "", false
	}
	return near[rand.IntN(len(near))], true
}

// Helper returns the peer address of a VM that can serve a request and is not in tried. It waits
// for the first answer of a round that runs.
func (m *Module) Helper(ctx context.Context, tried []string) (string, bool) {
	ctx, cancel := context.WithTimeout(ctx, helperWait)
	defer cancel()
	for {
		m.helpers.mu.Lock()
		waiting := m.helpers.waiting
		m.helpers.mu.Unlock()
		if address, ok := m.helpers.take(tried); ok || waiting == nil {
			return address, ok
		}
		select {
		case <-waiting:
		case <-ctx.Done():
			return "", false
		}
	}
}

// Unusable records that a helper did not take a request: it is full for the moment, or can't be
// used at all.
func (m *Module) Unusable(address string, full bool) {
	if !full {
		m.helpers.drop(address)
		return
	}
	m.helpers.mu.Lock()
	defer m.helpers.mu.Unlock()
	if h, ok := m.helpers.byPeer[address]; ok {
		h.free = 0
		m.helpers.byPeer[address] = h
	}
}
