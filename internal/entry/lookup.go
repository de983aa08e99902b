package entry

import (
	"cmp"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"

	"eelgrasshollow/internal/errkind"
	"eelgrasshollow/internal/watch"

	"github.com/cespare/xxhash/v2"
)

type entriesBody struct {
	Entries []entryBody `json:"entries"`
	KeepMS  int64       `json:"keep_ms"`
}

type entryBody struct {
	Name          string `json:"name"`
	Address       string `json:"address"`
	FailureDomain string `json:"failure_domain"`
}

// entries serves the addresses of entry VMs that the client may use, in order of preference.
func (f *Front) entries(x *exchange) error {
	x.route = "entries"
	if _, err := f.currentView(); err != nil {
		return err
	}
	list := f.lookup(x.token)
	if len(list) == 0 {
		return errkind.New(errkind.Stale, "no entry VM available")
	}
	body := entriesBody{KeepMS: f.settings.LookupTTL.Milliseconds()}
	for _, vm := range list {
		body.Entries = append(body.Entries, entryBody{vm.Name, vm.Address, vm.FailureDomain})
	}
	x.w.Header().Set("Cache-Control", "max-age="+strconv.Itoa(int(f.settings.LookupTTL.Seconds())))
	return f.writeJSON(x, body)
}

// lookup returns the entry VMs for a client: up to LookupVMs, and more for a client account
// with a high token rate. All clients of one account get the same VMs, so that only a few VMs
// hold tokens of its grant.
func (f *Front) lookup(token string) []watch.VM {
	live := slices.DeleteFunc(slices.Clone(f.fleet.VMs()), func(vm watch.VM) bool { return vm.Leaving })
	limit := f.settings.LookupVMs
	if account, err := f.directory.View().Authenticate(f.hasher, token); err == nil {
		limit = max(limit, int(account.GetRateTokens()/f.settings.LookupTokensPerVM)+1)
		live = homeVMs(live, account.GetName(), limit)
	}
	list := shuffleByDomain(live)
	return list[:min(limit, len(list))]
}

// homeVMs returns the n VMs with the highest rank for an account by rendezvous hashing, taken
// from the failure domains in turn. Few of them change when a VM is added or removed.
func homeVMs(vms []watch.VM, account string, n int) []watch.VM {
	if len(vms) <= n {
		return vms
	}
	rank := make(map[string]uint64, len(vms))
	for _, vm := range vms {
		rank[vm.Name] = xxhash.Sum64String(account + "\x00" + vm.Name)
	}
	slices.SortFunc(vms, func(a, b watch.VM) int { return cmp.Compare(rank[b.Name], rank[a.Name]) })
	return interleaveDomains(vms)[:n]
}

// shuffleByDomain orders VMs at random, interleaved by failure domain: of d domains, any d
// consecutive VMs cover every domain that has VMs left.
func shuffleByDomain(vms []watch.VM) []watch.VM {
	rand.Shuffle(len(vms), func(i, j int) { vms[i], vms[j] = vms[j], vms[i] })
	return interleaveDomains(vms)
}

// interleaveDomains takes VMs from their failure domains in turn. The VMs of one domain keep
// their order.
func interleaveDomains(vms []watch.VM) []watch.VM {
	byDomain := map[string][]watch.VM{}
	var domains []string
	for _, vm := range vms {
		if byDomain[vm.FailureDomain] == nil {
			domains = append(domains, vm.FailureDomain)
		}
		byDomain[vm.FailureDomain] = append(byDomain[vm.FailureDomain], vm)
	}
	out := make([]watch.VM, 0, len(vms))
	for round := 0; len(out) < len(vms); round++ {
		for _, d := range domains {
			if round < len(byDomain[d]) {
				out = append(out, byDomain[d][round])
			}
		}
	}
	return out
}

// health reports whether this VM accepts requests.
func (f *Front) health(w http.ResponseWriter, _ *http.Request) {
	if f.open.currentPhase() != serving {
		refuse(w, errkind.New(errkind.Draining, "this VM is stopping"))
		return
	}
	if _, err := f.currentView(); err != nil {
		refuse(w, errkind.Of(err))
		return
	}
	w.WriteHeader(http.StatusOK)
	_, _ = w.Write([]byte("ok\n")) // the client may have disconnected
}

func (f *Front) writeJSON(x *exchange, body any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return errkind.Wrap(err, errkind.Internal, "encoding the response failed")
	}
	f.writeResponse(x, http.StatusOK, "application/json", data)
	return nil
}

// writeResponse writes the complete response of a completed request.
func (f *Front) writeResponse(x *exchange, status int, contentType string, body []byte) {
	h := x.w.Header()
	if contentType != "" {
		h.Set("Content-Type", contentType)
	}
	h.Set("Content-Length", strconv.Itoa(len(body)))
	h.Set(errkind.OutcomeHeader, string(errkind.Completed))
	f.setWriteDeadline(x)
	x.w.WriteHeader(status)
	_, _ = x.w.Write(body) // the client may have disconnected
}
