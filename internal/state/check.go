package state

import (
	"net/netip"
	"strings"

	pb "eelgrasshollow/gen/eelgrass/v1"
	"eelgrasshollow/internal/errkind"
)

const (
	maxNameBytes = 128
	hashBytes    = 32
)

// check refuses a configuration in which objects are malformed or speak of others
// that do not exist. The first fault by name is reported, so that every replica
// answers alike.
func (d *draft) check() error {
	var worst *errkind.Error
	note := func(err error) {
		if e := errkind.Of(err); e != nil && (worst == nil || e.Text < worst.Text) {
			worst = e
		}
	}
	// What was put may be malformed or speak of something missing. What was there
	// before can only lose an account or a model that it speaks of.
	full := len(d.accounts.deleted)+len(d.models.deleted) > 0
	check(&d.accounts, full, checkAccount, note)
	check(&d.keys, full, d.checkKey, note)
	check(&d.models, full, func(x *pb.Model) error { return checkName("model", x.GetName()) }, note)
	check(&d.endpoints, full, d.checkEndpoint, note)
	check(&d.routes, full, d.checkRoute, note)
	if len(d.routes.put) > 0 {
		d.checkRoutesApart(note)
	}
	if worst != nil {
		return worst
	}
	return nil
}

// check looks at what was put, or at everything.
func check[T object](l *layer[T], full bool, f func(T) error, note func(error)) {
	if full {
		_ = l.all(func(x T) error { note(f(x)); return nil })
		return
	}
	for _, x := range l.put {
		note(f(x))
	}
}

func invalid(format string, args ...any) error {
	return errkind.New(errkind.InvalidRequest, format, args...)
}

func checkName(kind, name string) error {
	if name == "" || len(name) > maxNameBytes || strings.ContainsAny(name, " \t\r\n") {
		return invalid("%s %q: a name has 1 to %d bytes and no blanks", kind, name, maxNameBytes)
	}
	return nil
}

func checkAccount(x *pb.ClientAccount) error {
	if err := checkName("client account", x.GetName()); err != nil {
		return err
	}
	if x.GetRateTokens() < 0 || x.GetBurstTokens() < 0 {
		return invalid("client account %q: rate and burst must not be negative", x.GetName())
	}
	return nil
}

func (d *draft) checkKey(x *pb.Key) error {
	if x.GetWithdrawn() {
		return nil
	}
	if len(x.GetSecretHash()) != hashBytes {
		return invalid("key %q: the hash must have %d bytes", x.GetId(), hashBytes)
	}
	if _, ok := d.accounts.get(x.GetClientAccount()); !ok {
		return errkind.New(errkind.NotFound, "key %q: no client account %q", x.GetId(), x.GetClientAccount())
	}
	return nil
}

func (d *draft) checkEndpoint(x *pb.Endpoint) error {
	if err := checkName("endpoint", x.GetName()); err != nil {
		return err
	}
	if _, err := netip.ParseAddrPort(x.GetAddress()); err != nil {
		return invalid("endpoint %q: address %q is not an IP address and a port", x.GetName(), x.GetAddress())
	}
	switch x.GetRole() {
	case pb.EndpointRole_ENDPOINT_ROLE_UNSPECIFIED:
		return invalid("endpoint %q: a role is needed", x.GetName())
	case pb.EndpointRole_ENDPOINT_ROLE_PLAIN:
		if x.GetService() == "" {
			return invalid("endpoint %q: a plain endpoint needs a service", x.GetName())
		}
	}
	for _, m := range x.GetModels() {
		if _, ok := d.models.get(m); !ok {
			return errkind.New(errkind.NotFound, "endpoint %q: no model %q", x.GetName(), m)
		}
	}
	return nil
}

// checkRoutesApart refuses two routes that match the same requests.
func (d *draft) checkRoutesApart(note func(error)) {
	byModel, byPath := map[string]int{}, map[string]int{}
	_ = d.routes.all(func(x *pb.Route) error {
		if x.GetKind() == pb.RouteKind_ROUTE_KIND_MODEL {
			byModel[x.GetModel()]++
		} else {
			byPath[strings.TrimSuffix(x.GetPathPrefix(), "/")]++
		}
		return nil
	})
	for m, n := range byModel {
		if n > 1 {
			note(invalid("model %q has %d routes; one is allowed", m, n))
		}
	}
	for p, n := range byPath {
		if n > 1 {
			note(invalid("path prefix %q has %d routes; one is allowed", p, n))
		}
	}
}

func (d *draft) checkRoute(x *pb.Route) error {
	if err := checkName("route", x.GetName()); err != nil {
		return err
	}
	switch x.GetKind() {
	case pb.RouteKind_ROUTE_KIND_MODEL:
		if _, ok := d.models.get(x.GetModel()); !ok {
			return errkind.New(errkind.NotFound, "route %q: no model %q", x.GetName(), x.GetModel())
		}
	case pb.RouteKind_ROUTE_KIND_PLAIN:
		if !strings.HasPrefix(x.GetPathPrefix(), "/") || x.GetService() == "" {
			return invalid("route %q: a plain route needs a path prefix that begins with / and a service", x.GetName())
		}
	default:
		return invalid("route %q: a kind is needed", x.GetName())
	}
	for _, a := range x.GetClientAccounts() {
		if _, ok := d.accounts.get(a); !ok {
			return errkind.New(errkind.NotFound, "route %q: no client account %q", x.GetName(), a)
		}
	}
	return nil
}
