package routing

import (
	"math"
	"math/bits"
	"time"

	"eelgrasshollow/internal/digest"
	"eelgrasshollow/internal/prefix"
	"eelgrasshollow/internal/rendezvous"
	"eelgrasshollow/internal/speed"
)

const (
	// speedInterval is the time between two updates of the endpoints' factors. A slow period lasts several
	// times as long.
	speedInterval = 100 * time.Millisecond
	// maxSpeedShare is the share of a digest that speeds may take while they are weighed; otherwise they take
	// what the rest leaves.
	maxSpeedShare = 0.25
	// homeSteps is the number of steps by which the weight of an endpoint as a home doubles. They are coarse,
	// so that the VMs, whose estimates differ a little, agree on the homes in most cases.
	homeSteps = 2
	// maxSpeedChanges bounds the changes that wait to be logged.
	maxSpeedChanges = 64
)

// speeds is the part of a Core that weighs the speeds of endpoints.
type speeds struct {
	enabled   bool // see Settings.WeighSpeeds
	services  map[string]*speed.Service
	updatedAt time.Time
	uneven    int               // services whose endpoints differ
	next      int               // endpoint from which on the next digest takes news
	estimates []*speed.Estimate // scratch
	changes   []SpeedChange     // not yet taken, see TakeSpeedChanges
	slow      int               // begun slow periods
}

// SpeedChange is the time from which on the endpoints of a service count as different or as equal.
type SpeedChange struct {
	Service          string
	Uneven           bool
	Fastest, Slowest float64 // prefill factors
}

// weighedTimes are the times of an endpoint of a service whose endpoints differ. All are 0 for other endpoints.
type weighedTimes struct {
	perToken, usualPerToken time.Duration // with and without a slow period
	serviceTime             time.Duration
	home                    uint64 // time factor of a home, in 1/256
	slow                    bool
}

// WeighSpeeds sets whether the speeds of endpoints are learned, and weighed where they differ.
func (c *Core) WeighSpeeds(enabled bool) {
	c.speeds.enabled = enabled
	c.speeds.services = map[string]*speed.Service{}
}

// perToken returns the time of an uncached prompt token now, for the choice of an endpoint.
func (s *State) perToken() time.Duration {
	if s.weighed.perToken > 0 {
		return s.weighed.perToken
	}
	return s.PrefillPerToken
}

// usualPerToken returns the time of an uncached prompt token outside of slow periods, for refusals.
func (s *State) usualPerToken() time.Duration {
	if s.weighed.usualPerToken > 0 {
		return s.weighed.usualPerToken
	}
	return s.PrefillPerToken
}

// usualServiceTime returns the time of a request.
func (s *State) usualServiceTime() time.Duration {
	if s.weighed.serviceTime > 0 {
		return s.weighed.serviceTime
	}
	return s.ServiceTime
}

// homeWeight returns the rendezvous weight of the endpoint for a key. Where endpoints differ, each is home in
// proportion to its speed.
func (s *State) homeWeight(key prefix.Hash) uint64 {
	weight := rendezvous.Weight(key, s.nameHash)
	if s.weighed.home == 0 {
		return weight
	}
	// The logarithm to base 2 in 1/2^40, linear between the powers of 2.
	zeros := bits.LeadingZeros64(weight | 1)
	logarithm := uint64(63-zeros)<<40 + (weight|1)<<zeros<<1>>24
	return math.MaxUint64 - (64<<40-logarithm)*s.weighed.home
}

// speedsOf returns what is known of a mean endpoint of a service.
func (c *Core) speedsOf(service string) *speed.Service {
	known := c.speeds.services[service]
	if known == nil {
		known = &speed.Service{}
		c.speeds.services[service] = known
	}
	return known
}

// observeSpeed learns from a response.
func (c *Core) observeSpeed(now time.Time, p *Pending, r Result) {
	s := p.state
	if !c.speeds.enabled || r.Err != nil || s.Service == "" || s.removed || p.run != s.run {
		return
	}
	own := p.uncachedTokens
	if !r.CacheUnknown {
		own = r.PromptTokens - r.CachedTokens
	}
	c.speedsOf(s.Service).Observe(now, &s.speed, speed.Sample{
		OwnTokens: max(own, 0), AheadTokens: max(p.tokensAhead-p.uncachedTokens, 0), FirstToken: r.FirstToken,
		Steps: r.Steps, Decoding: r.Decoding, Requests: p.requestsThere, Slots: s.slots(),
	})
}

// receiveSpeeds learns from the speeds in a peer's digest. On average they were seen half a round before.
func (c *Core) receiveSpeeds(now time.Time, received []digest.Speed) {
	if !c.speeds.enabled {
		return
	}
	age := c.digestRound() / 2
	for _, r := range received {
		if s := c.byRun[r.EndpointRun]; s != nil && s.Service != "" {
			c.speedsOf(s.Service).Receive(now, &s.speed, age, speed.Packed(r.Packed))
		}
	}
}

// updateSpeeds updates the factors of the endpoints and the times that follow from them.
func (c *Core) updateSpeeds(now time.Time) {
	if !c.speeds.enabled || now.Sub(c.speeds.updatedAt) < speedInterval {
		return
	}
	c.speeds.updatedAt, c.speeds.uneven = now, 0
	for name, service := range c.speeds.services {
		group := c.byService[name]
		if len(group) == 0 {
			delete(c.speeds.services, name)
			continue
		}
		c.speeds.estimates = c.speeds.estimates[:0]
		for _, s := range group {
			c.speeds.estimates = append(c.speeds.estimates, &s.speed)
		}
		before := service.Uneven()
		service.Update(now, c.speeds.estimates)
		uneven := service.Uneven()
		if c.policy.Speeds != nil {
			uneven = true
		}
		if uneven {
			c.speeds.uneven++
			c.weigh(name, group)
		} else if before {
			for _, s := range group {
				s.weighed = weighedTimes{}
			}
		}
		if before != service.Uneven() {
			c.addSpeedChange(name, service, group)
		}
	}
}

// weigh sets the times of the endpoints of a service whose endpoints differ.
func (c *Core) weigh(service string, group []*State) {
	perToken := c.tokenCosts[service].perToken
	if perToken == 0 {
		perToken = initialPrefillPerToken
	}
	serviceTime := c.meanServiceTime(group[0])
	for _, s := range group {
		f := s.speed.Factors()
		if c.policy.Speeds != nil {
			f.Prefill, f.Slow = c.policy.Speeds(s.Name)
			f.Decode = f.Prefill
		}
		usual := scale(perToken, f.Prefill)
		step := math.Round(homeSteps*math.Log2(f.Prefill)) / homeSteps
		if !s.weighed.slow && f.InSlowPeriod() {
			c.speeds.slow++
		}
		s.weighed = weighedTimes{
			perToken: scale(usual, f.Slow), usualPerToken: usual, serviceTime: scale(serviceTime, f.Decode),
			home: uint64(math.Exp2(step) * 256), slow: f.InSlowPeriod(),
		}
	}
}

func scale(d time.Duration, factor float64) time.Duration {
	return max(time.Duration(float64(d)*factor), 1)
}

func (c *Core) addSpeedChange(name string, service *speed.Service, group []*State) {
	if len(c.speeds.changes) >= maxSpeedChanges {
		return
	}
	change := SpeedChange{Service: name, Uneven: service.Uneven(), Fastest: speed.MaxFactor, Slowest: speed.MinFactor}
	for _, s := range group {
		f := s.speed.Factors().Prefill
		change.Fastest, change.Slowest = min(change.Fastest, f), max(change.Slowest, f)
	}
	c.speeds.changes = append(c.speeds.changes, change)
}

// TakeSpeedChanges returns the changes and the number of slow periods begun since the last call.
func (c *Core) TakeSpeedChanges() ([]SpeedChange, int) {
	changes, slow := c.speeds.changes, c.speeds.slow
	c.speeds.changes, c.speeds.slow = nil, 0
	return changes, slow
}

// speedReserve returns the bytes of a digest that are kept for speeds. While no speeds are weighed, there are none,
// so that services with equal endpoints are served as without speeds.
func (c *Core) speedReserve(maxBytes int) int {
	if c.speeds.uneven == 0 {
		return 0
	}
	news := 0
	for _, s := range c.endpoints {
		if s.speed.HasNews() {
			news++
		}
	}
	return min(news*digest.SpeedBytes, int(maxSpeedShare*float64(maxBytes)))
}

// addSpeedNews adds this VM's samples since the last digest, as far as the digest has room. The next digest starts
// with the endpoints that this one had no room for.
func (c *Core) addSpeedNews(d *digest.Digest, maxBytes int) {
	if !c.speeds.enabled {
		return
	}
	room := (maxBytes - d.Size()) / digest.SpeedBytes
	first := c.speeds.next
	for i := range c.endpoints {
		n := (first + i) % len(c.endpoints)
		if len(d.Speeds) >= room {
			c.speeds.next = n
			return
		}
		s := c.endpoints[n]
		if s.run == 0 || !s.speed.HasNews() {
			continue
		}
		if packed, ok := s.speed.TakeNews(); ok {
			d.Speeds = append(d.Speeds, digest.Speed{EndpointRun: digest.EndpointRunOf(s.id, s.run), Packed: uint8(packed)})
		}
	}
}

// addSpeedRecall adds what is known of the endpoints' speeds, as far as the digest has room.
func (c *Core) addSpeedRecall(d *digest.Digest, maxBytes int) {
	if !c.speeds.enabled {
		return
	}
	room := (maxBytes - d.Size()) / digest.SpeedBytes
	for _, s := range c.endpoints {
		if s.run == 0 || len(d.Speeds) >= room {
			continue
		}
		if packed, ok := s.speed.Recall(); ok {
			d.Speeds = append(d.Speeds, digest.Speed{EndpointRun: digest.EndpointRunOf(s.id, s.run), Packed: uint8(packed)})
		}
	}
}
