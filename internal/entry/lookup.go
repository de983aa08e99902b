package entry

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"strconv"

	"eelgrasshollow/internal/errkind"
	"eelgrasshollow/internal/watch"
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
	list := spread(f.fleet.VMs())
	if len(list) == 0 {
		return errkind.New(errkind.Stale, "no entry VM is known")
	}
	body := entriesBody{KeepMS: f.settings.LookupKeep.Milliseconds()}
	for _, vm := range list {
		body.Entries = append(body.Entries, entryBody{vm.Name, vm.Address, vm.FailureDomain})
	}
	x.w.Header().Set("Cache-Control", "max-age="+strconv.Itoa(int(f.settings.LookupKeep.Seconds())))
	return f.answerJSON(x, body)
}

// spread drops leaving VMs and orders the rest at random, so that each run of as many
// VMs as there are failure domains names every domain that still has one.
func spread(vms []watch.VM) []watch.VM {
	byDomain := map[string][]watch.VM{}
	var domains []string
	for _, vm := range vms {
		if vm.Leaving {
			continue
		}
		if byDomain[vm.FailureDomain] == nil {
			domains = append(domains, vm.FailureDomain)
		}
		byDomain[vm.FailureDomain] = append(byDomain[vm.FailureDomain], vm)
	}
	for _, list := range byDomain {
		rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	}
	rand.Shuffle(len(domains), func(i, j int) { domains[i], domains[j] = domains[j], domains[i] })
	var out []watch.VM
	for round := 0; ; round++ {
		before := len(out)
		for _, d := range domains {
			if round < len(byDomain[d]) {
				out = append(out, byDomain[d][round])
			}
		}
		if len(out) == before {
			return out
		}
	}
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
