package entry

import (
	"bytes"
	"net/http"
	"slices"
	"strings"

	pb "eelgrasshollow/gen/eelgrass/v1"
	"eelgrasshollow/internal/errkind"
	"eelgrasshollow/internal/keys"
	"eelgrasshollow/internal/state"
)

const bearerPrefix = "Bearer "

// currentView returns the configuration in force, or a Stale error if the configuration is not
// attested as fresh.
func (f *Front) currentView() (*state.View, error) {
	if err := f.directory.Fresh(); err != nil {
		return nil, err
	}
	view := f.directory.View()
	if view == nil {
		return nil, errkind.New(errkind.Stale, "no configuration has been received yet")
	}
	return view, nil
}

// bearerToken returns the client's key from the Authorization header, or "".
func bearerToken(r *http.Request) string {
	value := r.Header.Get("Authorization")
	if len(value) < len(bearerPrefix) || !strings.EqualFold(value[:len(bearerPrefix)], bearerPrefix) {
		return ""
	}
	return strings.TrimSpace(value[len(bearerPrefix):])
}

// admit authorizes a request on a route and returns its client account, which is "" on an
// open route.
func (f *Front) admit(view *state.View, token string, route *pb.Route) (string, error) {
	if route.GetOpen() {
		return "", nil
	}
	account, err := view.Authenticate(f.hasher, token)
	if err != nil {
		return "", err
	}
	return mayUse(route, account)
}

// keyHolder returns the name of the client account that a request's key belongs to, whether or not its route needs a key,
// or "" if the key is not valid. A dry run may name an account instead of a key.
func (f *Front) keyHolder(view *state.View, x *exchange) string {
	if x.actAs != "" {
		if account, ok := view.Account(x.actAs); ok && !account.GetDisabled() {
			return x.actAs
		}
		return ""
	}
	account, err := view.Authenticate(f.hasher, x.token)
	if err != nil {
		return ""
	}
	return account.GetName()
}

// checkAccount returns an error if a completion's key doesn't belong to the client account of its cache namespace any
// more, or belongs to one by now. The last configuration received decides, fresh or not: see recheckKeys.
func (f *Front) checkAccount(x *exchange) error {
	if x.cacheAccount == "" && x.token == "" && x.actAs == "" || f.keyHolder(f.directory.View(), x) == x.cacheAccount {
		return nil
	}
	if x.cacheAccount == "" {
		return errkind.New(errkind.Stale, "key has become valid since the request arrived").WithOutcome(errkind.NotRun)
	}
	return errkind.New(errkind.Unauthenticated, "key is no longer valid for the client account of the request").WithOutcome(errkind.NotRun)
}

// mayUse returns the name of a client account that may use a route.
func mayUse(route *pb.Route, account *pb.ClientAccount) (string, error) {
	if allowed := route.GetClientAccounts(); len(allowed) > 0 && !slices.Contains(allowed, account.GetName()) {
		return "", errkind.New(errkind.PermissionDenied, "client account may not use this route")
	}
	return account.GetName(), nil
}

// stillAllowed returns an error if the key that an open request was admitted with is not valid
// in the configuration in force, or if that configuration is not fresh.
func (f *Front) stillAllowed(r *openRequest) error {
	view, err := f.currentView()
	if err != nil {
		return errkind.Of(err).WithOutcome(errkind.Unknown)
	}
	key := r.key.Load()
	if key == nil {
		return nil
	}
	if _, err = view.Authenticate(f.hasher, *key); err != nil {
		return errkind.New(errkind.Unauthenticated, "key is no longer valid").WithOutcome(errkind.Unknown)
	}
	return nil
}

// containsSecret reports whether a part of the request that would be forwarded contains the
// secret of the client's key.
func containsSecret(token string, r *http.Request, body []byte) bool {
	t, err := keys.Parse(token)
	if err != nil {
		return false
	}
	if strings.Contains(r.URL.Path, t.Secret) || strings.Contains(r.URL.RawQuery, t.Secret) {
		return true
	}
	for _, name := range forwardedHeaders {
		if strings.Contains(r.Header.Get(name), t.Secret) {
			return true
		}
	}
	return bytes.Contains(body, []byte(t.Secret))
}
