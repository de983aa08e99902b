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

// The error texts in this file stay as they are. Machine.Apply stores them in replicated
// results, and replicas of different versions must store the same bytes.

// check returns an error if an object of the draft is malformed or refers to an object
// that does not exist. Of several faults it returns the one whose text sorts first, so
// that every replica returns the same error.
func (d *draft) check() error {
	var first *errkind.Error
	report := func(err error) {
		if e := errkind.Of(err); e != nil && (first == nil || e.Text < first.Text) {
			first = e
		}
	}
	// An object in put may be malformed or refer to a missing object. An existing object
	// can only lose an account or a model that it refers to.
	checkAll := len(d.accounts.deleted)+len(d.models.deleted) > 0
	checkLayer(&d.accounts, checkAll, checkAccount, report)
	checkLayer(&d.keys, checkAll, d.checkKey, report)
	checkLayer(&d.models, checkAll, func(x *pb.Model) error { return checkName("model", x.GetName()) }, report)
	checkLayer(&d.endpoints, checkAll, d.checkEndpoint, report)
	checkLayer(&d.routes, checkAll, d.checkRoute, report)
	if len(d.routes.put) > 0 {
		d.checkRouteConflicts(report)
	}
	if first != nil {
		return first
	}
	return nil
}

// checkLayer calls check for the objects in put, or for all objects of the layer if
// checkAll is set, and passes the results to report.
func checkLayer[T object](l *layer[T], checkAll bool, check func(T) error, report func(error)) {
	if checkAll {
		_ = l.all(func(x T) error { report(check(x)); return nil })
		return
	}
	for _, x := range l.put {
		report(check(x))
	}
}

// invalid returns an error of kind InvalidRequest.
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

// checkRouteConflicts reports routes that match the same requests.
func (d *draft) checkRouteConflicts(report func(error)) {
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
			report(invalid("model %q has %d routes; one is allowed", m, n))
		}
	}
	for p, n := range byPath {
		if n > 1 {
			report(invalid("path prefix %q has %d routes; one is allowed", p, n))
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
