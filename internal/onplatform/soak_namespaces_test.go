package onplatform

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// modelService has modelCount model servers, which can copy cached parts from each other and from a store.
	modelService                                = "model"
	modelCount, modelSlots                      = 4, 16
	modelHost, modelStubs, storeHost, oddHost   = 120, 130, 140, 141
	modelWork, modelLoad                        = 20 * time.Millisecond, 200 * time.Millisecond
	modelDown, modelBare                        = 300 * time.Millisecond, time.Second
	promptClients                               = 12
	commonParts, sharedParts                    = 2, 6 // first and second parts of all prompts
	commonTokens, sharedTokens, ownTokens       = 4000, 1000, 100
	closedAccount, shiftingAccount, openAccount = "closed", "shifting", "open"
	// shiftingAccount is isolated in every second series of isolationVersions versions of the configuration.
	isolationVersions = 10
	// configApply is the time from its acknowledgement after which a version binds a VM that had no fault in that
	// time, nor had a control VM.
	configApply = 2 * time.Second
	// sharedShare is the share of the prompts of accounts that are never isolated that must find the common part of
	// another account, out of sharedLeast prompts or more. The servers lose what they cached, and pools change.
	sharedShare, sharedLeast = 0.3, 100
	chosenPrefix             = "client-" // of namespaces that clients make up
)

var (
	modelNames     = []string{"m-1", "m-2"}
	promptPaths    = []string{"prompts", "chats", "notes"} // the route of the last one is public
	promptAccounts = []string{closedAccount, shiftingAccount, openAccount + "-1", openAccount + "-2"}
)

// oddEntries are list entries that name no server. %s is the address of a listener that must not get a request.
var oddEntries = []string{
	`{"id":"odd","service":"model","address":"%s","slots":9,"state":"ready","version":"v1","coldRemainingMs":0,"stage":"both","models":[{"name":"m-1","version":1},{"name":"m-2","version":1}]}`,
	`{"id":"odd","service":"model","address":"%s","zone":"a","state":"ready","version":"v1","coldRemainingMs":0,"stage":"both","models":[{"name":"m-1","version":1},{"name":"m-2","version":1}]}`,
	`{"id":"odd","service":"model","address":"%s","zone":"a","slots":9,"state":"ready","coldRemainingMs":0,"models":[{"name":"m-1","version":1}]}`,
	`{"id":"odd","service":"app","address":"%s","zone":"a","slots":9,"state":"ready","version":"v1"}`,
	`{"id":"odd","service":"model","address":"%s","zone":"a","slots":9,"state":"odd","version":"v1","coldRemainingMs":0}`,
	`{"id":"odd","service":"model","address":"%s9999","zone":"a","slots":9,"state":"ready","version":"v1","coldRemainingMs":0}`,
	`{"id":"odd","service":"app","address":"%s","zone":` + strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000) + `}`,
	"{\"id\":\"odd\",\"address\":\"%s\",\xff\xfe}",
}

// modelServers are the servers of modelService. They record who made each cached part, and each use that was not allowed.
type modelServers struct {
	run    *soakRun
	faulty [modelCount]sync.Mutex // held during a fault of a server

	mu         sync.Mutex // guards the rest
	servers    [modelCount]modelServer
	store      map[partKey]madePart
	named      map[string]int64 // newest weights of each model
	odd        []string         // list entries
	acks       []configAck
	seen       [2][]string     // namespaces at the servers: of accounts that are never isolated, of closedAccount
	usedIDs    map[string]bool // seen namespaces that were request IDs
	walls      []wallUse
	violations []string

	prompts, plain, imports, orders, refused, open, shared int // requests that ran, and other counts for the log
}

// modelServer is a server; id and born are those of its process.
type modelServer struct {
	id             string
	born           int64
	down, unlisted bool
	entry          string // its list entry if that is not what the process says
	versions       map[string]int64
	loading        string // the model of an order in progress
	seq            int64
	cache          map[partKey]madePart
}

type partKey struct{ salt, model, id string }

// madePart is who made a cached part.
type madePart struct {
	account string
	version int64
}

type configAck struct {
	version int64
	at      time.Time
}

// wallUse is the use of a part made for another account, while shiftingAccount was one of the two and isolated.
type wallUse struct {
	vm            int
	sent, arrived time.Time
	text          string
}

// shiftingIsolated reports whether a version of the configuration isolates shiftingAccount.
func shiftingIsolated(version int64) bool { return version/isolationVersions%2 == 1 }

// promptAccountDocuments returns the accounts of a version of the configuration.
func promptAccountDocuments(version int64) (all []string) {
	for _, name := range promptAccounts {
		isolated := name == closedAccount || name == shiftingAccount && shiftingIsolated(version)
		all = append(all, fmt.Sprintf(`{"name":%q,"apiKeys":["%s-key"],"unit":"token_count","plainTokens":1,"ratePerS":1e8,"burst":1e8,"isolated":%t}`, name, name, isolated))
	}
	return all
}

// modelServiceDocuments returns the services of the model servers and of their store.
func modelServiceDocuments(storeAddress string) []string {
	return []string{
		fmt.Sprintf(`{"name":%q,"healthPath":"/health","maxConns":300,"engine":{"slots":%d,"kvCapacityTokens":1e6,"tokenKvBytes":1000,"linkMbps":1e5,"maxInflight":9,"models":[{"name":"m-1"},{"name":"m-2"}]}}`, modelService, modelSlots),
		fmt.Sprintf(`{"name":"store","kvStoreAddr":%q,"zone":"a","kvCapacityTokens":1e7,"linkMbps":1e5,"maxInflight":9}`, storeAddress),
	}
}

func modelName(n int) string { return fmt.Sprint("model-", n) }

// newModelServers serves the addresses of the model servers and that of the odd entries.
func newModelServers(r *soakRun) *modelServers {
	s := &modelServers{run: r, store: map[partKey]madePart{}, named: map[string]int64{}, usedIDs: map[string]bool{}}
	for _, model := range modelNames {
		s.named[model] = 1
	}
	for n := range s.servers {
		s.start(n, modelName(n), s.named)
		r.serveStub(r.address(modelStubs+n, listPort), func(w http.ResponseWriter, request *http.Request) { s.handle(n, w, request) })
		r.endpointLink(modelName(n), r.address(modelHost+n, listPort), r.address(modelStubs+n, listPort))
	}
	r.serveStub(r.address(oddHost, listPort), func(_ http.ResponseWriter, request *http.Request) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.violate("request %s to the address of an odd list entry: %s", request.Header.Get("X-Request-Id"), request.URL.Path)
		panic(http.ErrAbortHandler)
	})
	return s
}

// violate records a violation. The caller holds the mutex.
func (s *modelServers) violate(format string, args ...any) {
	s.violations = append(s.violations, fmt.Sprintf(format, args...)+fmt.Sprintf(" (%v)", time.Since(s.run.startedAt).Round(time.Millisecond)))
}

// start starts the process of a server with an empty cache. The caller holds the mutex, if others may.
func (s *modelServers) start(n int, id string, versions map[string]int64) {
	m := &s.servers[n]
	m.id, m.born, m.down, m.loading, m.seq, m.cache, m.versions = id, max(time.Now().UnixMilli(), m.born+1), false, "", 0, map[partKey]madePart{}, map[string]int64{}
	for model, version := range versions {
		m.versions[model] = version
	}
}

// describe returns what a server says of itself. A bare list entry lacks the weights.
func (s *modelServers) describe(n int, bare bool) string {
	m, weights := &s.servers[n], ""
	if !bare {
		weights = fmt.Sprintf(`,"stage":"both","models":[{"name":"m-1","version":%d,"adapters":[]},{"name":"m-2","version":%d,"adapters":[]}]`, m.versions["m-1"], m.versions["m-2"])
	}
	return fmt.Sprintf(`{"id":%q,"service":%q,"address":%q,"zone":"a","slots":%d,"state":"ready","version":"v1","coldRemainingMs":0,"born":%d,"busy":%t,"seq":%d%s}`,
		m.id, modelService, s.run.address(modelHost+n, listPort), modelSlots, m.born, m.loading != "", m.seq, weights)
}

// list returns the entries of the server list.
func (s *modelServers) list() (entries []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for n := range s.servers {
		switch m := &s.servers[n]; {
		case m.unlisted:
		case m.entry != "":
			entries = append(entries, m.entry)
		default:
			entries = append(entries, s.describe(n, false))
		}
	}
	return append(entries, s.odd...)
}

// handle serves a call to a model server.
func (s *modelServers) handle(n int, w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m, model := &s.servers[n], r.Header.Get("X-Model")
	version := m.versions[model]
	refuse := func(status int) {
		s.refused++
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(status)
	}
	w.Header().Set("X-Instance-Id", m.id)
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	switch expected := r.Header.Get("X-Expect-Version"); {
	case m.down:
		panic(http.ErrAbortHandler) // closes the connection without a response
	case r.URL.Path == "/health":
	case r.URL.Path == "/v1/report":
		_, _ = io.WriteString(w, s.describe(n, false))
	case r.Header.Get("X-Target-Instance") != m.id:
		refuse(http.StatusMisdirectedRequest)
	case r.URL.Path == "/v1/order":
		w.WriteHeader(s.order(m, r.Body))
	case expected != "" && expected != strconv.FormatInt(version, 10):
		refuse(http.StatusMisdirectedRequest)
	case m.loading != "" && m.loading == model:
		refuse(http.StatusServiceUnavailable)
	default:
		s.runPrompt(m, model, version, r.Header)
		born := m.born
		s.mu.Unlock()
		time.Sleep(modelWork)
		s.mu.Lock()
		if m.down || m.born != born {
			panic(http.ErrAbortHandler)
		}
		w.Header().Set("X-Response-Stamp", "stamp")
		w.Header().Set("X-Weight-Versions", strconv.FormatInt(version, 10))
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, "id: 1\ndata: x\n\n")
	}
}

// order takes an order to load weights, which discards what is cached of the model, and returns the status.
func (s *modelServers) order(m *modelServer, body io.Reader) int {
	var order struct {
		Model                 string
		Version, Precondition int64
	}
	switch err := json.NewDecoder(body).Decode(&order); {
	case err != nil || order.Version < 1 || order.Version > s.named[order.Model]:
		return http.StatusBadRequest
	case m.loading != "" || order.Precondition != m.seq:
		return http.StatusConflict
	case order.Version == m.versions[order.Model]:
		return http.StatusOK
	}
	s.orders++
	m.seq, m.loading = m.seq+1, order.Model
	born := m.born
	time.AfterFunc(modelLoad, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if m.born != born || m.down {
			return
		}
		m.loading, m.versions[order.Model] = "", order.Version
		for key := range m.cache {
			if key.model == order.Model {
				delete(m.cache, key)
			}
		}
	})
	return http.StatusAccepted
}

// cacheAt returns the cache of the server or store at an address.
func (s *modelServers) cacheAt(address string) map[partKey]madePart {
	if address == s.run.address(storeHost, listPort) {
		return s.store
	}
	for n := range s.servers {
		if address == s.run.address(modelHost+n, listPort) && !s.servers[n].down {
			return s.servers[n].cache
		}
	}
	return nil
}

// runPrompt uses and makes cached parts at a server for a request.
func (s *modelServers) runPrompt(m *modelServer, model string, version int64, h http.Header) {
	if h.Get("X-Prompt-Prefix") == "" {
		return
	}
	id, salt, account := h.Get("X-Request-Id"), h.Get("X-Cache-Salt"), h.Get("Soak-Account")
	s.prompts++
	if h.Get("X-Token-Usage") == "" {
		s.plain++
	}
	if salt == "" || salt == id || salt == h.Get("Soak-Salt") || strings.HasPrefix(salt, chosenPrefix) {
		s.violate("request %s of %s at %s has the namespace %q, its client sent %q", id, account, m.id, salt, h.Get("Soak-Salt"))
	}
	var keys []partKey
	for part := range strings.SplitSeq(h.Get("X-Prompt-Prefix"), ",") {
		name, _, _ := strings.Cut(part, ":")
		keys = append(keys, partKey{salt, model, name})
	}
	source := s.cacheAt(h.Get("X-Kv-Fetch"))
	reading, foundCommon := false, false // reading: a part before was not cached
	for i, key := range keys {
		part, cached := m.cache[key]
		if !cached && !reading {
			if part, cached = source[key]; cached {
				s.imports++
			}
		}
		if reading = reading || !cached; reading {
			part = madePart{account, version}
		}
		m.cache[key] = part
		foundCommon = foundCommon || i == 0 && part.account != account
		s.checkUse(m, key, part, madePart{account, version}, h)
	}
	if strings.HasPrefix(account, openAccount) && h.Get("X-Token-Usage") != "" {
		s.open++
		if foundCommon {
			s.shared++
		}
	}
	if h.Get("X-Kv-Save") != "" {
		for _, key := range keys {
			if _, held := s.store[key]; !held {
				s.store[key] = m.cache[key]
			}
		}
	}
	switch {
	case account == closedAccount:
		s.seen[1] = append(s.seen[1], salt)
	case strings.HasPrefix(account, openAccount):
		s.seen[0] = append(s.seen[0], salt)
	}
}

// checkUse checks that a request may use a cached part.
func (s *modelServers) checkUse(m *modelServer, key partKey, part, user madePart, h http.Header) {
	if part.version != user.version {
		s.violate("request %s at %s with weights %d used a part made under %d, namespace %q", h.Get("X-Request-Id"), m.id, user.version, part.version, key.salt)
	}
	accounts := []string{part.account, user.account}
	if part.account == user.account {
		return
	}
	text := fmt.Sprintf("request %s of %s at %s used a part made for %s, namespace %q", h.Get("X-Request-Id"), user.account, m.id, part.account, key.salt)
	nanoseconds, _ := strconv.ParseInt(h.Get("Soak-Sent"), 10, 64)
	vm, _ := strconv.Atoi(h.Get("Soak-Vm")) // 0 for probes, which have no prompt
	sent := time.Unix(0, nanoseconds)
	switch {
	case slices.Contains(accounts, closedAccount):
		s.violate("%s", text)
	case slices.Contains(accounts, shiftingAccount) && s.isolatedFor(sent):
		s.walls = append(s.walls, wallUse{vm, sent, time.Now(), text})
	}
}

// isolatedFor reports whether shiftingAccount is isolated in each version that may be in force for a request that its
// client sent at a time and that has now arrived at a server.
func (s *modelServers) isolatedFor(sent time.Time) bool {
	var oldest int64
	for _, ack := range s.acks {
		if ack.at.Before(sent.Add(-configApply)) {
			oldest = max(oldest, ack.version)
		}
	}
	for version := oldest; version <= s.run.sentVersion.Load(); version++ {
		if !shiftingIsolated(version) {
			return false
		}
	}
	return true
}

// acked records the acknowledgement of a version of the configuration.
func (s *modelServers) acked(version int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.acks = append(s.acks, configAck{version, time.Now()})
}

// startClients starts clients that send prompts to all entry VMs until stop is called.
func (s *modelServers) startClients(seed uint64) (stop func()) {
	done := make(chan bool)
	var group sync.WaitGroup
	for i := range promptClients {
		group.Go(func() {
			random := rand.New(rand.NewPCG(seed, 100+uint64(i)))
			client := &http.Client{Transport: &http.Transport{}, Timeout: clientTimeout}
			defer client.CloseIdleConnections()
			for k := 0; ; k++ {
				select {
				case <-done:
					return
				case <-time.After(time.Duration(random.Int64N(int64(clientPause)))):
					s.send(client, random, i, k)
				}
			}
		})
	}
	return func() { close(done); group.Wait() }
}

// send sends a prompt. Some of the clients name a namespace of their own or one that a server got, in the header or as
// the request ID, or announce no tokens.
func (s *modelServers) send(client *http.Client, random *rand.Rand, i, k int) {
	vm, account := 1+random.IntN(soakEntryVMs), promptAccounts[i%len(promptAccounts)]
	model, path := modelNames[random.IntN(len(modelNames))], promptPaths[random.IntN(len(promptPaths))]
	request, err := http.NewRequest(http.MethodPost, "http://"+s.run.address(100+vm, clientPort)+"/"+path+"/x", strings.NewReader("prompt"))
	if err != nil {
		s.run.t.Error(err)
		return
	}
	request.Host = "h.example"
	request.GetBody = nil // see callRecorder.call
	tokens := fmt.Sprint(commonTokens+sharedTokens+ownTokens, ",10")
	parts := fmt.Sprintf("%x:%d,%x:%d,%x:%d", 0xa0+random.IntN(commonParts), commonTokens, 0xb0+random.IntN(sharedParts), sharedTokens, 0x100000*(i+1)+k, ownTokens)
	h := http.Header{"X-Request-Id": {fmt.Sprintf("%d.prompt-%d-%d", vm, i, k)}, "X-Deadline-Ms": {strconv.FormatInt(callDeadline.Milliseconds(), 10)},
		"Authorization": {"Bearer " + account + "-key"}, "X-Model": {model}, "X-Token-Usage": {tokens}, "X-Prompt-Prefix": {parts}, "Soak-Vm": {strconv.Itoa(vm)}, "Soak-Account": {account}}
	salt, chosen := "", random.IntN(8)
	switch chosen {
	case 0:
		h.Del("X-Token-Usage")
	case 1:
		salt = fmt.Sprint(chosenPrefix, random.IntN(3)) // several accounts choose the same
	case 2:
		salt = s.seenByOthers(account)
	case 3:
		if salt = s.seenByOthers(account); salt != "" && s.useAsID(salt) {
			h.Set("X-Request-Id", salt)
		}
	}
	if salt != "" && chosen != 3 {
		h.Set("X-Cache-Salt", salt)
		h.Set("Soak-Salt", salt)
	}
	h.Set("Soak-Sent", strconv.FormatInt(time.Now().UnixNano(), 10))
	request.Header = h
	if response, err := client.Do(request); err == nil {
		_, _ = io.Copy(io.Discard, response.Body) // what servers did counts, not the response
		_ = response.Body.Close()
	}
}

// seenByOthers returns the newest namespace that a server got for accounts on the other side of the wall, or "".
func (s *modelServers) seenByOthers(account string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	side := 1
	if account == closedAccount {
		side = 0
	}
	if account == shiftingAccount || len(s.seen[side]) == 0 {
		return ""
	}
	return s.seen[side][len(s.seen[side])-1]
}

// useAsID reports whether a namespace may be a request ID: each client attempt has another one.
func (s *modelServers) useAsID(salt string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	used := s.usedIDs[salt]
	s.usedIDs[salt] = true
	return !used
}

// namespaceFaults have random numbers of their own.
var namespaceFaults = []fault{
	{name: "model server restarts", targets: modelTargets, inject: (*soakRun).restartModelServer},
	{name: "model server listed bare", targets: modelTargets, inject: onModelServer(modelBare, func(s *modelServers, n int, begins bool) {
		s.servers[n].entry = ""
		if begins {
			s.servers[n].entry = s.describe(n, true)
		}
	})},
	{name: "model server not listed", targets: modelTargets, inject: onModelServer(modelDown, func(s *modelServers, n int, begins bool) { s.servers[n].unlisted = begins })},
	{name: "odd list entry", targets: []string{""}, inject: (*soakRun).listOddEntry},
	{name: "weights named", targets: modelNames, inject: (*soakRun).nameWeights},
}

var modelTargets = []string{modelName(0), modelName(1), modelName(2), modelName(3)}

// onModelServer returns a fault that changes a server, unless it has another fault, for a time.
func onModelServer(length time.Duration, change func(s *modelServers, n int, begins bool)) func(*soakRun, string, time.Duration) {
	return func(r *soakRun, target string, _ time.Duration) {
		s, n := r.models, slices.Index(modelTargets, target)
		if !s.faulty[n].TryLock() {
			return
		}
		defer s.faulty[n].Unlock()
		for _, begins := range []bool{true, false} {
			s.mu.Lock()
			change(s, n, begins)
			s.mu.Unlock()
			if begins {
				time.Sleep(length)
			}
		}
	}
}

// restartModelServer ends the process of a server and starts it again, under the same ID or a new one, sometimes with
// other weights. The list shows the former process, then for a second none of its weights, and then the new process.
func (r *soakRun) restartModelServer(target string, hold time.Duration) {
	s, n := r.models, slices.Index(modelTargets, target)
	if !s.faulty[n].TryLock() {
		return
	}
	defer s.faulty[n].Unlock()
	step := func(change func(m *modelServer)) {
		s.mu.Lock()
		defer s.mu.Unlock()
		change(&s.servers[n])
	}
	bare, whileDown := "", hold%7 < 3
	step(func(m *modelServer) { m.entry, bare, m.down = s.describe(n, false), s.describe(n, true), true })
	time.Sleep(modelDown)
	if whileDown {
		step(func(m *modelServer) { m.entry = bare })
		time.Sleep(modelBare / 2)
	}
	step(func(m *modelServer) {
		id, versions := m.id, map[string]int64{}
		for model, version := range m.versions {
			if versions[model] = version; hold%5 == 0 {
				versions[model] = max(version-1, 1)
			} else if hold%5 == 1 || hold%2 == 0 {
				versions[model] = s.named[model]
			}
		}
		if hold%2 == 0 {
			id = fmt.Sprintf("%s.%d", modelName(n), m.born)
		}
		s.start(n, id, versions)
	})
	if !whileDown {
		time.Sleep(modelDown)
		step(func(m *modelServer) { m.entry = bare })
	}
	time.Sleep(modelBare)
	step(func(m *modelServer) { m.entry = "" })
}

// listOddEntry adds an entry of another writer to the list.
func (r *soakRun) listOddEntry(_ string, hold time.Duration) {
	s := r.models
	s.mu.Lock()
	defer s.mu.Unlock()
	s.odd = append(s.odd, strings.ReplaceAll(oddEntries[hold%time.Duration(len(oddEntries))], "%s", r.address(oddHost, listPort)))
	s.mu.Unlock()
	time.Sleep(hold)
	s.mu.Lock()
	s.odd = s.odd[1:]
}

// nameWeights names new weights of a model at the control VMs until one acknowledges them.
func (r *soakRun) nameWeights(model string, hold time.Duration) {
	s := r.models
	s.mu.Lock()
	s.named[model]++
	version := s.named[model]
	s.mu.Unlock()
	n := int(hold % soakControlVMs)
	r.checkRecovers("new weights are acknowledged", func() bool {
		n++
		status, _ := sendRequest("POST", "http://"+r.address(1+n%soakControlVMs, operatorPort)+"/v1/version-put", "", fmt.Sprintf(`{"model":%q,"version":%d}`, model, version), nil)
		return status == http.StatusOK
	})
}

// check returns the violations of all prompts. A use by a VM that had a fault, or while a control VM had one, does not count, as a
// change of the configuration binds the VMs in touch.
func (s *modelServers) check() (all []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.run.mu.Lock()
	defer s.run.mu.Unlock()
	for _, use := range s.walls {
		if !use.excused(s.run.spans) {
			all = append(all, use.text)
		}
	}
	if s.open >= sharedLeast && float64(s.shared) < sharedShare*float64(s.open) {
		all = append(all, fmt.Sprintf("%d of %d prompts of accounts that are not isolated found the common part", s.shared, s.open))
	}
	return append(all, s.violations...)
}

// excused reports whether the VM, or a control VM, had a fault that may have kept the configuration from it.
func (u wallUse) excused(spans []faultSpan) bool {
	return slices.ContainsFunc(spans, func(span faultSpan) bool {
		return (span.target == entryName(u.vm) || slices.Contains(controlNames, span.target)) && span.from.Before(u.arrived) && span.to.After(u.sent.Add(-configApply))
	})
}

func (s *modelServers) summary() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return fmt.Sprintf("%d prompts at model servers, %d without token counts, %d parts imported, %d orders, %d refused, %d of %d found the common part, %d uses across a change of isolation, by VMs that had a fault too",
		s.prompts, s.plain, s.imports, s.orders, s.refused, s.shared, s.open, len(s.walls))
}

// Guards against a check that overlooks a use of a part across accounts or weights or a namespace that a client chose, or counts
// uses that no configuration in force forbids.
func TestForbiddenUseOfCachedPartIsSeen(t *testing.T) {
	now := time.Now()
	ask := func(account, id, salt, parts, chosen string) http.Header {
		return http.Header{"X-Request-Id": {id}, "Soak-Account": {account}, "X-Cache-Salt": {salt}, "X-Prompt-Prefix": {parts}, "Soak-Salt": {chosen},
			"Soak-Vm": {"1"}, "Soak-Sent": {strconv.FormatInt(now.UnixNano(), 10)}}
	}
	for name, test := range map[string]struct {
		request       http.Header
		version, sent int64 // weights of the server, newest version of the configuration sent
		violations    int
		walls         int
	}{
		"shared":                      {ask("open-2", "r", "s", "a:1,b:1,c:1", ""), 1, 1, 0, 0},
		"no namespace":                {ask("open-2", "r", "", "a:1", ""), 1, 1, 1, 0},
		"request ID":                  {ask("open-2", "r", "r", "a:1", ""), 1, 1, 1, 0},
		"chosen":                      {ask("open-2", "r", "x", "a:1", "x"), 1, 1, 1, 0},
		"chosen by another client":    {ask("open-2", "r", "client-1", "a:1", ""), 1, 1, 1, 0},
		"two parts, isolated":         {ask("closed", "r", "s", "a:1,b:1,c:1", ""), 1, 1, 2, 0},
		"isolated, after another one": {ask("closed", "r", "s", "c:1,a:1,b:1", ""), 1, 1, 0, 0},
		"isolated, apart":             {ask("closed", "r", "t", "a:1", ""), 1, 1, 0, 0},
		"other weights":               {ask("open-1", "r", "s", "a:1,c:1", ""), 2, 1, 1, 0},
		"shifting":                    {ask("shifting", "r", "s", "a:1", ""), 1, isolationVersions - 1, 0, 0},
		"shifting, isolated":          {ask("shifting", "r", "s", "a:1", ""), 1, isolationVersions + 1, 0, 1},
		"shifting, released":          {ask("shifting", "r", "s", "a:1", ""), 1, 2 * isolationVersions, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			s := &modelServers{run: &soakRun{deployment: &deployment{}, startedAt: now}, acks: []configAck{{test.sent / isolationVersions * isolationVersions, now.Add(-2 * configApply)}}}
			s.run.sentVersion.Store(test.sent)
			m := &s.servers[0]
			m.cache = map[partKey]madePart{{"s", "m", "a"}: {"open-1", 1}, {"s", "m", "b"}: {"open-1", 1}}
			s.runPrompt(m, "m", test.version, test.request)
			assert.Equal(t, len(s.violations), test.violations, "%v", s.violations)
			assert.Equal(t, len(s.walls), test.walls)
			assert.Equal(t, len(s.check()), test.violations+test.walls)
			s.run.spans = []faultSpan{{target: "core-2", from: now.Add(-configApply - time.Second), to: now.Add(-time.Second)}}
			assert.Equal(t, len(s.check()), test.violations)
			s.acks[0].at = now.Add(-configApply / 2)
			assert.Assert(t, test.walls == 0 || !s.isolatedFor(now))
		})
	}
}
