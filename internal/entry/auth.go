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

const bearer = "Bearer "

// currentView returns the configuration, or Stale when it is not attested as fresh.
func (f *Front) currentView() (*state.View, error) {
	if err := f.directory.Fresh(); err != nil {
		return nil, err
	}
	view := f.directory.View()
	if view == nil {
		return nil, errkind.New(errkind.Stale, "no configuration has arrived yet")
	}
	return view, nil
}

// tokenOf returns the caller's key, or "".
func tokenOf(r *http.Request) string {
	value := r.Header.Get("Authorization")
	if len(value) < len(bearer) || !strings.EqualFold(value[:len(bearer)], bearer) {
		return ""
	}
	return strings.TrimSpace(value[len(bearer):])
}

// admit returns the client account that the request runs for on the route; "" stands
// for an open route.
func (f *Front) admit(view *state.View, token string, route *pb.Route) (string, error) {
	if route.GetOpen() {
		return "", nil
	}
	account, err := view.Authenticate(f.hasher, token)
	if err != nil {
		return "", err
	}
	if allowed := route.GetClientAccounts(); len(allowed) > 0 && !slices.Contains(allowed, account.GetName()) {
		return "", errkind.New(errkind.PermissionDenied, "client account may not use this route")
	}
	return account.GetName(), nil
}

// stillAllowed checks an open request against the configuration in force.
func (f *Front) stillAllowed(r *openRequest) error {
	view, err := f.currentView()
	if err != nil {
		return errkind.Of(err).WithOutcome(errkind.Unknown)
	}
	if r.token == "" {
		return nil
	}
	if _, err = view.Authenticate(f.hasher, r.token); err != nil {
		return errkind.New(errkind.Unauthenticated, "key is no longer valid").WithOutcome(errkind.Unknown)
	}
	return nil
}

// leaksKey reports whether anything that would be passed on holds the caller's secret.
func leaksKey(token string, r *http.Request, body []byte) bool {
	t, err := keys.Parse(token)
	if err != nil {
		return false
	}
	if strings.Contains(r.URL.Path, t.Secret) || strings.Contains(r.URL.RawQuery, t.Secret) {
		return true
	}
	for _, name := range passedHeaders {
		if strings.Contains(r.Header.Get(name), t.Secret) {
			return true
		}
	}
	return bytes.Contains(body, []byte(t.Secret))
}
