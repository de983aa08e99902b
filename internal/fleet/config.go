// Package fleet defines the configuration of a deployment and its servers. A configuration has
// the routes, services, client accounts and limits under one version, which the operator sets.
// Values of this package are immutable once built.
package fleet

import (
	"strings"
	"time"

	"eelgrasshollow/internal/cachespace"
	"eelgrasshollow/internal/errkind"
)

// Kind determines whether a route's requests may be repeated.
type Kind uint8

// Kinds of requests.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota
	// NonIdempotent requests run at most once for each attempt of a client.
	NonIdempotent
	// Stream responses are ordered events. A broken stream may be continued on another
	// server only if the route is Resumable.
	Stream
)

// Config is one version of the configuration document.
type Config struct {
	Version  int64
	Routes   []*Route
	Services []*Service
	Accounts []*Account
	Limits   Limits

	servicesByName map[string]*Service
	accountsByName map[string]*Account
	accountsByKey  map[string]*Account
	routesByHost   map[string]*hostRoutes
	cachePool      cachespace.Owner // of the accounts that are not isolated
}

// hostRoutes holds the routes of one host.
type hostRoutes struct {
	byPrefix      map[string]*Route
	longestPrefix int // in bytes
}

// Route maps a host and a path prefix to services.
type Route struct {
	Name       string
	Host       string
	PathPrefix string
	Kind       Kind
	// Timeout is the time from a request's arrival within which the response must be complete.
	Timeout time.Duration
	// TargetLatency is the time within which a response, or the first event of a stream, keeps
	// its full value for the client.
	TargetLatency time.Duration
	Priority      int // 0 is the most urgent
	Split         []Share
	MaxAttempts   int  // number of servers to which one attempt of a client may be sent
	Public        bool // needs no key
	Resumable     bool // streams may be continued on another server
}

// Share is the share of a route's requests that a service gets, in proportion to Weight.
type Share struct {
	Service string
	Weight  float64
}

// Retryable reports whether a request may be sent again after it may have run.
func (r *Route) Retryable() bool { return r.Kind == Idempotent || r.Kind == Stream && r.Resumable }

// Service is a group of interchangeable servers, or a cache store.
type Service struct {
	Name string
	// HealthPath is the path at which servers answer health checks; "" if they don't.
	HealthPath string
	Engine     *Engine
	Store      *Store
}

// Engine describes the model servers of a service.
type Engine struct {
	Models      []string
	CacheTokens int // cache capacity of one server
	TokenBytes  int // size of one cached token
	// LinkBitsPerSecond is the rate at which a server sends or receives cached tokens; 0 if unknown.
	LinkBitsPerSecond float64
}

// Store is a store of saved prompt caches.
type Store struct {
	Address           string
	CacheTokens       int // capacity
	LinkBitsPerSecond float64
}

// Account is a client account.
type Account struct {
	Name     string
	Keys     []string
	Priority *int // overrides the route's; nil if not set
	// Rate is in tokens per second, Burst in tokens. A rate of 0 sets no limit.
	Rate, Burst int64
	// PlainTokens is the charge for a request without token counts.
	PlainTokens int64
	// Isolated accounts share no cached prompts with others.
	Isolated bool
}

// Limits restrict the requests of clients. A zero value sets no limit.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Check builds the indexes and returns the first reason for which the document is invalid, as
// errkind InvalidRequest. It must be called before the lookup methods.
func (c *Config) Check() error {
	if err := c.checkServices(); err != nil {
		return err
	}
	if err := c.checkRoutes(); err != nil {
		return err
	}
	return c.checkAccounts()
}

func invalid(format string, args ...any) error {
	return errkind.New(errkind.InvalidRequest, format, args...)
}

func (c *Config) checkServices() error {
	c.servicesByName = make(map[string]*Service, len(c.Services))
	for _, s := range c.Services {
		if s.Name == "" || c.servicesByName[s.Name] != nil {
			return invalid("service name %q is empty or used twice", s.Name)
		}
		c.servicesByName[s.Name] = s
	}
	return nil
}

func (c *Config) checkRoutes() error {
	c.routesByHost = map[string]*hostRoutes{}
	for _, r := range c.Routes {
		host := c.routesByHost[r.Host]
		if host == nil {
			host = &hostRoutes{byPrefix: map[string]*Route{}}
			c.routesByHost[r.Host] = host
		}
		if other := host.byPrefix[r.PathPrefix]; other != nil {
			return invalid("routes %q and %q have the same host and path prefix", other.Name, r.Name)
		}
		host.byPrefix[r.PathPrefix] = r
		host.longestPrefix = max(host.longestPrefix, len(r.PathPrefix))
		if !strings.HasPrefix(r.PathPrefix, "/") || !strings.HasSuffix(r.PathPrefix, "/") {
			return invalid("route %q: path prefix %q does not begin and end with a slash", r.Name, r.PathPrefix)
		}
		if r.Timeout <= 0 {
			return invalid("route %q has no timeout", r.Name)
		}
		if err := c.checkSplit(r); err != nil {
			return err
		}
	}
	return nil
}

func (c *Config) checkSplit(r *Route) error {
	totalWeight := 0.0
	for _, s := range r.Split {
		service := c.servicesByName[s.Service]
		if service == nil || service.Store != nil {
			return invalid("route %q names the unknown service %q", r.Name, s.Service)
		}
		if s.Weight < 0 {
			return invalid("route %q has a negative weight", r.Name)
		}
		totalWeight += s.Weight
	}
	if totalWeight <= 0 {
		return invalid("the weights of route %q add up to 0", r.Name)
	}
	return nil
}

func (c *Config) checkAccounts() error {
	c.accountsByName, c.accountsByKey = map[string]*Account{}, map[string]*Account{}
	var isolated []string
	for _, a := range c.Accounts {
		if a.Name == "" || c.accountsByName[a.Name] != nil {
			return invalid("client account name %q is empty or used twice", a.Name)
		}
		c.accountsByName[a.Name] = a
		if a.Isolated {
			isolated = append(isolated, a.Name)
		}
		for _, key := range a.Keys {
			if other := c.accountsByKey[key]; other != nil && other != a {
				return invalid("client accounts %q and %q share a key", other.Name, a.Name)
			}
			c.accountsByKey[key] = a
		}
	}
	c.cachePool = cachespace.Pool(isolated)
	return nil
}

// Match returns the route of a host with the longest path prefix that matches, or nil.
func (c *Config) Match(host, path string) *Route {
	routes := c.routesByHost[host]
	if routes == nil {
		return nil
	}
	path = path[:min(len(path), routes.longestPrefix)]
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if r := routes.byPrefix[path[:end+1]]; r != nil {
			return r
		}
	}
	return nil
}

// Service returns the service with a name, or nil.
func (c *Config) Service(name string) *Service { return c.servicesByName[name] }

// AccountByKey returns the client account that has a key, or nil.
func (c *Config) AccountByKey(key string) *Account { return c.accountsByKey[key] }

// AccountByName returns the client account with a name, or nil.
func (c *Config) AccountByName(name string) *Account { return c.accountsByName[name] }

// CacheOwner returns who shares the cached prompts of a request that was identified as one of a client account (nil: of
// a client without one) and that bears the given key, or "". The account may be of another version of the configuration:
// it shares nothing if it is isolated in either or no longer exists. Nobody shares the prompts if the key is no longer the
// account's, or is now that of an account which shares with others.
func (c *Config) CacheOwner(a *Account, key string) cachespace.Owner {
	owner, now := c.cacheOwnerOf(a), c.accountsByKey[key]
	switch {
	case key == "":
	case now == nil && a != nil, now != nil && c.cacheOwnerOf(now) != owner:
		return cachespace.Owner{}
	}
	return owner
}

// CacheOwnerApart is CacheOwner for a configuration that may lack the isolation of an account: each account shares with
// nobody else, and requests without an account share nothing where there are accounts.
func (c *Config) CacheOwnerApart(a *Account, key string) cachespace.Owner {
	owner := c.CacheOwner(a, key)
	switch {
	case owner != c.cachePool || len(c.Accounts) == 0:
		return owner
	case a == nil:
		return cachespace.Owner{}
	}
	return cachespace.Account(a.Name)
}

func (c *Config) cacheOwnerOf(a *Account) cachespace.Owner {
	if a == nil {
		return c.cachePool
	}
	if now := c.accountsByName[a.Name]; now == nil || now.Isolated || a.Isolated {
		return cachespace.Account(a.Name)
	}
	return c.cachePool
}

// RequiresKey reports whether requests need a key, which is so if there are client accounts.
func (c *Config) RequiresKey() bool { return len(c.Accounts) > 0 }

// Choose returns the service for a point in [0, 1) by the weights of the route's split.
func (r *Route) Choose(point float64) string {
	totalWeight := 0.0
	for _, s := range r.Split {
		totalWeight += s.Weight
	}
	remaining := point * totalWeight
	for _, s := range r.Split {
		if remaining < s.Weight {
			return s.Service
		}
		remaining -= s.Weight
	}
	return r.Split[len(r.Split)-1].Service
}
