// Package fleet holds what a deployment serves: routes, services, client accounts and
// limits as one document under an operator's version, and the servers behind the
// services. Everything here is immutable once built.
package fleet

import (
	"sort"
	"strings"
	"time"

	"eelgrasshollow/internal/errkind"
)

// Kind says what may be repeated of a route's requests.
type Kind uint8

// The kinds of requests.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota
	// NonIdempotent requests run at most once for each attempt of a client.
	NonIdempotent
	// Stream answers are events in order; a run may be continued elsewhere only where
	// the route is Resumable.
	Stream
)

// Config is one version of the whole document.
type Config struct {
	Version  int64
	Routes   []*Route
	Services []*Service
	Accounts []*Account
	Limits   Limits

	services map[string]*Service
	accounts map[string]*Account
	keys     map[string]*Account
	byHost   map[string][]*Route // longest prefix first
}

// Route maps a host and a path prefix to services.
type Route struct {
	Name       string
	Host       string
	PathPrefix string
	Kind       Kind
	// Timeout is the longest time that a request may be kept waiting.
	Timeout time.Duration
	// TargetLatency is the time within which an answer is fully useful; of a stream, its first event.
	TargetLatency time.Duration
	Priority      int // 0 is the most urgent
	Split         []Share
	MaxAttempts   int // servers that one attempt of a client may be sent to
	Public        bool
	Resumable     bool
}

// Share is a service's part of a route's requests.
type Share struct {
	Service string
	Weight  float64
}

// Retryable reports whether a request may be sent again after it may have run.
func (r *Route) Retryable() bool { return r.Kind == Idempotent || r.Kind == Stream && r.Resumable }

// Service is a group of servers that can stand in for each other, or a cache store.
type Service struct {
	Name   string
	Engine *Engine
	Store  *Store
}

// Engine says how the service's model servers are built.
type Engine struct {
	CacheTokens int
	TokenBytes  int
}

// Store is a store of kept cache.
type Store struct {
	Address           string
	CacheTokens       int
	LinkBitsPerSecond float64 // a second
}

// Account is a client account.
type Account struct {
	Name     string
	Keys     []string
	Priority *int // takes precedence over the route's
	// Rate and Burst are in tokens a second and tokens; a rate of 0 has no limit.
	Rate, Burst int64
	// PlainTokens is what a request without token counts is charged.
	PlainTokens int64
	// Isolated accounts share no cache with others.
	Isolated bool
}

// Limits bound what a client may send. A zero value sets no limit.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Check reports the first reason why the document can't be put in force, as errkind
// InvalidRequest, and builds the indexes.
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
	c.services = make(map[string]*Service, len(c.Services))
	for _, s := range c.Services {
		if s.Name == "" || c.services[s.Name] != nil {
			return invalid("service name %q is empty or used twice", s.Name)
		}
		c.services[s.Name] = s
	}
	return nil
}

func (c *Config) checkRoutes() error {
	type place struct{ host, prefix string }
	taken := make(map[place]string, len(c.Routes))
	c.byHost = map[string][]*Route{}
	for _, r := range c.Routes {
		at := place{r.Host, r.PathPrefix}
		if other, twice := taken[at]; twice {
			return invalid("routes %q and %q have the same host and path prefix", other, r.Name)
		}
		taken[at] = r.Name
		if !strings.HasPrefix(r.PathPrefix, "/") || !strings.HasSuffix(r.PathPrefix, "/") {
			return invalid("route %q: path prefix %q does not begin and end with a slash", r.Name, r.PathPrefix)
		}
		if r.Timeout <= 0 {
			return invalid("route %q has no timeout", r.Name)
		}
		if err := c.checkSplit(r); err != nil {
			return err
		}
		c.byHost[r.Host] = append(c.byHost[r.Host], r)
	}
	for _, routes := range c.byHost {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].PathPrefix) > len(routes[j].PathPrefix) })
	}
	return nil
}

func (c *Config) checkSplit(r *Route) error {
	sum := 0.0
	for _, s := range r.Split {
		service := c.services[s.Service]
		if service == nil || service.Store != nil {
			return invalid("route %q names the unknown service %q", r.Name, s.Service)
		}
		if s.Weight < 0 {
			return invalid("route %q has a negative weight", r.Name)
		}
		sum += s.Weight
	}
	if sum <= 0 {
		return invalid("the weights of route %q add up to 0", r.Name)
	}
	return nil
}

func (c *Config) checkAccounts() error {
	c.accounts, c.keys = map[string]*Account{}, map[string]*Account{}
	for _, a := range c.Accounts {
		if a.Name == "" || c.accounts[a.Name] != nil {
			return invalid("client account name %q is empty or used twice", a.Name)
		}
		c.accounts[a.Name] = a
		for _, key := range a.Keys {
			if other := c.keys[key]; other != nil && other != a {
				return invalid("client accounts %q and %q share a key", other.Name, a.Name)
			}
			c.keys[key] = a
		}
	}
	return nil
}

// Match finds the route of a host with the longest prefix that begins the path, or nil.
func (c *Config) Match(host, path string) *Route {
	for _, r := range c.byHost[host] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}

// Service finds a service, or nil.
func (c *Config) Service(name string) *Service { return c.services[name] }

// AccountByKey finds the client account that holds a key, or nil.
func (c *Config) AccountByKey(key string) *Account { return c.keys[key] }

// AccountByName finds a client account, or nil.
func (c *Config) AccountByName(name string) *Account { return c.accounts[name] }

// RequiresKey reports whether requests need a key at all.
func (c *Config) RequiresKey() bool { return len(c.Accounts) > 0 }

// Choose picks a route's service for a point from 0 up to 1.
func (r *Route) Choose(point float64) string {
	sum := 0.0
	for _, s := range r.Split {
		sum += s.Weight
	}
	left := point * sum
	for _, s := range r.Split {
		if left < s.Weight {
			return s.Service
		}
		left -= s.Weight
	}
	return r.Split[len(r.Split)-1].Service
}
