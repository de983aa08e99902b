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

// entries answers which addresses a caller may use, in the order to try them.
func (f *Front) entries(x *exchange) error {
	x.route = "entries"
	if _, err := f.currentView(); err != nil {
		return err
	}
	list := f.leadTo(x.token)
	if len(list) == 0 {
		return errkind.New(errkind.Stale, "no entry VM is known")
	}
	body := entriesBody{KeepMS: f.settings.LookupTTL.Milliseconds()}
	for _, vm := range list {
		body.Entries = append(body.Entries, entryBody{vm.Name, vm.Address, vm.FailureDomain})
	}
	x.w.Header().Set("Cache-Control", "max-age="+strconv.Itoa(int(f.settings.LookupTTL.Seconds())))
	return f.answerJSON(x, body)
}

// leadTo names the VMs for a caller, as many as the settings say. Callers of one
// client account are led to the same ones, so that few VMs hold tokens of its grant; an
// account with a large rate gets more.
func (f *Front) leadTo(token string) []watch.VM {
	live := slices.DeleteFunc(slices.Clone(f.fleet.VMs()), func(vm watch.VM) bool { return vm.Leaving })
	most := f.settings.LookupVMs
	if account, err := f.directory.View().Authenticate(f.hasher, token); err == nil {
		most = max(most, int(account.GetRateTokens()/f.settings.LookupTokensPerVM)+1)
		live = homes(live, account.GetName(), most)
	}
	list := spread(live)
	return list[:min(most, len(list))]
}

// homes keeps the first n VMs for an account by rendezvous hashing, taken from the
// failure domains in turn: when a VM comes or goes, few of them change.
func homes(vms []watch.VM, account string, n int) []watch.VM {
	if len(vms) <= n {
		return vms
	}
	rank := make(map[string]uint64, len(vms))
	for _, vm := range vms {
		rank[vm.Name] = xxhash.Sum64String(account + "\x00" + vm.Name)
	}
	slices.SortFunc(vms, func(a, b watch.VM) int { return cmp.Compare(rank[b.Name], rank[a.Name]) })
	return inTurn(vms)[:n]
}

// spread orders VMs at random, so that each run of as many VMs as there are failure
// domains names every domain that still has one.
func spread(vms []watch.VM) []watch.VM {
	rand.Shuffle(len(vms), func(i, j int) { vms[i], vms[j] = vms[j], vms[i] })
	return inTurn(vms)
}

// inTurn takes VMs from their failure domains in turn, each domain's in the given order.
func inTurn(vms []watch.VM) []watch.VM {
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

// health tells whether this VM takes work.
func (f *Front) health(w http.ResponseWriter, _ *http.Request) {
	if f.open.now() != serving {
		refuse(w, errkind.New(errkind.Draining, "this VM is stopping"))
		return
	}
	if _, err := f.currentView(); err != nil {
		refuse(w, errkind.Of(err))
		return
	}
	w.WriteHeader(http.StatusOK)
	_, _ = w.Write([]byte("ok\n")) // the prober may have left
}

func (f *Front) answerJSON(x *exchange, body any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return errkind.Wrap(err, errkind.Internal, "answer cannot be encoded")
	}
	f.answer(x, http.StatusOK, "application/json", data)
	return nil
}

// answer writes a whole answer of a completed request.
func (f *Front) answer(x *exchange, status int, contentType string, body []byte) {
	h := x.w.Header()
	if contentType != "" {
		h.Set("Content-Type", contentType)
	}
	h.Set("Content-Length", strconv.Itoa(len(body)))
	h.Set(errkind.HeaderName, string(errkind.Completed))
	f.bound(x)
	x.w.WriteHeader(status)
	_, _ = x.w.Write(body) // the caller may have left
}
