package standin

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"eelgrasshollow/internal/engineapi"
	"eelgrasshollow/internal/oracle"
	"eelgrasshollow/internal/prefix"
)

func fastEngineConfig() EngineConfig {
	return EngineConfig{CacheBlocks: 8, BatchSlots: 4, PrefillRate: 1e9, Seed: 1, ChecksFencing: true}
}

// completion is the parsed response to a completion request, whole or streamed.
type completion struct {
	status  int
	header  http.Header
	text    string
	ids     []string // of the events of a stream
	done    bool     // the end mark was received
	usage   engineapi.Usage
	readErr error
}

// post sends a chat completion with text as the user message and reads the response. extra is
// appended to the JSON fields of the body.
func post(t *testing.T, url, id, text string, tokens int, extra string) completion {
	t.Helper()
	body := fmt.Sprintf(`{"model":"m","messages":[{"role":"user","content":%q}],"max_tokens":%d%s}`, text, tokens, extra)
	r, err := http.NewRequest(http.MethodPost, url+"/v1/chat/completions", strings.NewReader(body))
	assert.NilError(t, err)
	r.Header.Set(engineapi.HeaderRequestID, id)
	return do(t, r)
}

func do(t *testing.T, r *http.Request) completion {
	t.Helper()
	response, err := http.DefaultClient.Do(r)
	assert.NilError(t, err)
	defer response.Body.Close()
	c := completion{status: response.StatusCode, header: response.Header}
	data, err := io.ReadAll(response.Body)
	c.readErr = err
	if !strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream") {
		c.parseWhole(data)
		return c
	}
	for line := range strings.SplitSeq(string(data), "\n") {
		c.parseLine(line)
	}
	return c
}

func (c *completion) parseWhole(data []byte) {
	var whole chunk
	if json.Unmarshal(data, &whole) == nil && len(whole.Choices) == 1 {
		c.text = whole.Choices[0].Message.Content
		c.usage = *whole.Usage
	}
}

func (c *completion) parseLine(line string) {
	if id, ok := strings.CutPrefix(line, "id: "); ok {
		c.ids = append(c.ids, id)
	}
	data, ok := strings.CutPrefix(line, "data: ")
	if !ok {
		return
	}
	var part chunk
	switch {
	case data == "[DONE]":
		c.done = true
	case json.Unmarshal([]byte(data), &part) == nil:
		c.text += part.Choices[0].Delta.Content
		if part.Usage != nil {
			c.usage = *part.Usage
		}
	}
}

func chatPrompt(text string) []byte {
	content, _ := json.Marshal(text)
	return engineapi.ChatPrompt([]engineapi.Message{{Role: "user", Content: content}})
}

func TestEngineAnswersEachRequestWithItsOwnText(t *testing.T) {
	e := NewEngine(fastEngineConfig())
	s := httptest.NewServer(e.Handler())
	defer s.Close()
	for _, extra := range []string{"", `,"stream":true`} {
		got := post(t, s.URL, "r1", "hola", 5, extra)
		assert.Equal(t, got.text, oracle.Answer("m", chatPrompt("hola"), 5))
		assert.Equal(t, got.header.Get(engineapi.HeaderRequestID), "r1")
		assert.Equal(t, got.header.Get(engineapi.HeaderIncarnation), e.Incarnation())
	}
	streamed := post(t, s.URL, "r2", "hola", 3, `,"stream":true`)
	assert.DeepEqual(t, streamed.ids, []string{"1", "2", "3", "4", "5"})
	assert.Assert(t, streamed.done)
}

func TestEngineCachesWithinANamespaceAndAnIncarnation(t *testing.T) {
	e := NewEngine(fastEngineConfig())
	s := httptest.NewServer(e.Handler())
	defer s.Close()
	longPrompt := strings.Repeat("x", 9000)
	cached := func(salt string) int {
		return post(t, s.URL, "r", longPrompt, 1, `,"cache_salt":"`+salt+`"`).usage.Details.CachedTokens
	}
	assert.Equal(t, cached("00000000000000aa"), 0)
	assert.Equal(t, cached("00000000000000aa"), 2000)
	assert.Equal(t, cached("00000000000000bb"), 0)
	before := e.Incarnation()
	e.Crash()
	assert.Equal(t, cached("00000000000000aa"), 0)
	assert.Assert(t, e.Incarnation() != before)
}

func TestEngineResumesAfterAPosition(t *testing.T) {
	s := httptest.NewServer(NewEngine(fastEngineConfig()).Handler())
	defer s.Close()
	whole := post(t, s.URL, "r1", "hola", 6, `,"stream":true`)
	r, err := http.NewRequest(http.MethodGet, s.URL+"/v1/streams/r1", nil)
	assert.NilError(t, err)
	r.Header.Set(engineapi.HeaderLastEventID, "4")
	rest := do(t, r)
	assert.DeepEqual(t, rest.ids, []string{"5", "6", "7", "8"})
	assert.Assert(t, strings.HasSuffix(whole.text, rest.text) && rest.text != "")
	otherRequest := post(t, s.URL, "r9", "hola", 6, `,"stream":true,"resume_from":5`)
	assert.Equal(t, otherRequest.text, rest.text)
}

func TestEngineFaults(t *testing.T) {
	e := NewEngine(fastEngineConfig())
	s := httptest.NewServer(e.Handler())
	defer s.Close()
	fault := func(body string) {
		response, err := http.Post(s.URL+"/admin/fault", "application/json", strings.NewReader(body))
		assert.NilError(t, err)
		assert.Equal(t, response.StatusCode, http.StatusNoContent)
	}
	want := oracle.Answer("m", chatPrompt("mine"), 4)
	post(t, s.URL, "other", "theirs", 4, "")

	fault(`{"kind":"crossed","count":1}`)
	crossed := post(t, s.URL, "r1", "mine", 4, "")
	assert.Equal(t, crossed.header.Get(engineapi.HeaderRequestID), "other")
	assert.Assert(t, crossed.text != want)

	fault(`{"kind":"empty","count":1}`)
	assert.Equal(t, post(t, s.URL, "r2", "mine", 4, "").text, "")

	fault(`{"kind":"cut-stream","count":1,"after_tokens":2}`)
	cut := post(t, s.URL, "r3", "mine", 4, `,"stream":true`)
	assert.Assert(t, cut.readErr != nil && !cut.done && len(cut.ids) == 2)

	fault(`{"kind":"silent"}`)
	client := http.Client{Timeout: 50 * time.Millisecond}
	_, err := client.Get(s.URL + "/load")
	assert.ErrorContains(t, err, "Timeout")
	fault(`{"kind":"clear"}`)
	assert.Equal(t, post(t, s.URL, "r4", "mine", 4, "").text, want)
}

func TestEngineFencing(t *testing.T) {
	order := func(url string, term, seq int) int {
		body := fmt.Sprintf(`{"term":%d,"sequence":%d,"op":"set-role","role":"any"}`, term, seq)
		response, err := http.Post(url+"/orders", "application/json", strings.NewReader(body))
		assert.NilError(t, err)
		return response.StatusCode
	}
	for _, checks := range []bool{true, false} {
		c := fastEngineConfig()
		c.ChecksFencing = checks
		e := NewEngine(c)
		s := httptest.NewServer(e.Handler())
		assert.Equal(t, order(s.URL, 2, 1), http.StatusOK)
		status := order(s.URL, 1, 9)
		s.Close()
		if checks {
			assert.Equal(t, status, http.StatusConflict)
			assert.Equal(t, e.Stats().StaleAccepted, 0)
			continue
		}
		assert.Equal(t, status, http.StatusOK)
		assert.Equal(t, e.Stats().StaleAccepted, 1)
	}
}

func TestEngineExportsAndImportsBlocks(t *testing.T) {
	store := NewKeptCacheStore(10)
	storeServer := httptest.NewServer(store.Handler())
	defer storeServer.Close()
	address := strings.TrimPrefix(storeServer.URL, "http://")
	first, second := httptest.NewServer(NewEngine(fastEngineConfig()).Handler()), httptest.NewServer(NewEngine(fastEngineConfig()).Handler())
	defer first.Close()
	defer second.Close()
	longPrompt := strings.Repeat("y", 8100)
	salt := `,"cache_salt":"00000000000000aa"`
	post(t, first.URL, "r1", longPrompt, 1, salt)

	hashes := hexHashes(chainOf("00000000000000aa", chatPrompt(longPrompt)))
	body, err := json.Marshal(engineapi.KVRequest{Salt: "00000000000000aa", Hashes: hashes, Store: address})
	assert.NilError(t, err)
	response, err := http.Post(first.URL+"/kv/export", "application/json", strings.NewReader(string(body)))
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusOK)
	assert.Equal(t, store.Stats().Blocks, 2)
	got := post(t, second.URL, "r2", longPrompt, 1, salt+`,"import_from":"`+address+`"`)
	assert.Equal(t, got.usage.Details.CachedTokens, 2000)
}

// Guards against stand-ins that find the blocks of one namespace for another, and so hide that the router names a wrong
// one: the two salts below stand for the same number, so that their blocks have the same hashes.
func TestBlocksAreFoundUnderTheirOwnSaltOnly(t *testing.T) {
	const own, other = "00000000000000aa", "00000000000000AA"
	store := NewKeptCacheStore(10)
	start := func(h http.Handler) (url, address string) {
		s := httptest.NewServer(h)
		t.Cleanup(s.Close)
		return s.URL, strings.TrimPrefix(s.URL, "http://")
	}
	_, storeAddress := start(store.Handler())
	first, _ := start(NewEngine(fastEngineConfig()).Handler())
	second, _ := start(NewEngine(fastEngineConfig()).Handler())
	longPrompt := strings.Repeat("y", 8100)
	cached := func(url, salt, extra string) int {
		return post(t, url, "r", longPrompt, 1, `,"cache_salt":"`+salt+`"`+extra).usage.Details.CachedTokens
	}
	transfer := func(url, path, salt string) int {
		hashes := hexHashes(chainOf(salt, chatPrompt(longPrompt)))
		body, err := json.Marshal(engineapi.KVRequest{Salt: salt, Hashes: hashes, Store: storeAddress})
		assert.NilError(t, err)
		response, err := http.Post(url+path, "application/json", strings.NewReader(string(body)))
		assert.NilError(t, err)
		var reply engineapi.KVReply
		assert.NilError(t, json.NewDecoder(response.Body).Decode(&reply))
		assert.NilError(t, response.Body.Close())
		return reply.Blocks
	}
	assert.Equal(t, cached(first, own, ""), 0)
	assert.Equal(t, transfer(first, "/kv/export", other), 0, "the engine has no blocks of that namespace")
	assert.Equal(t, cached(first, other, ""), 0, "the engine uses blocks of another namespace")
	assert.Equal(t, transfer(first, "/kv/export", own), 2)
	assert.Equal(t, transfer(second, "/kv/import", other), 0, "the store has no blocks of that namespace")
	assert.Equal(t, cached(second, other, `,"import_from":"`+storeAddress+`"`), 0, "blocks of another namespace are imported")
	assert.Equal(t, transfer(second, "/kv/import", own), 2)
	assert.Equal(t, cached(second, own, ""), 2000)
}

func TestLostEventsLeaveGapsInSequence(t *testing.T) {
	e := NewEngine(fastEngineConfig())
	s := httptest.NewServer(e.Handler())
	defer s.Close()
	for i := range 4 {
		if i == 1 {
			e.faults.set(Fault{Kind: FaultLoseEvent, Count: 1})
		}
		post(t, s.URL, "r", strings.Repeat(fmt.Sprint(i), 4100), 1, "")
	}
	due, _, _ := e.events.dueAfter(0, e.Incarnation())
	var seqs []uint64
	for _, event := range due {
		seqs = append(seqs, event.Seq)
	}
	assert.DeepEqual(t, seqs, []uint64{1, 3, 4})
}

func TestPlainCountsRuns(t *testing.T) {
	p := NewPlainService("orders", 0)
	s := httptest.NewServer(p.Handler())
	defer s.Close()
	for range 2 {
		r, err := http.NewRequest(http.MethodPost, s.URL+"/orders", strings.NewReader("x"))
		assert.NilError(t, err)
		r.Header.Set(engineapi.HeaderIdempotencyKey, "k")
		r.Header.Set("Authorization", "Bearer eg_1_2")
		do(t, r)
	}
	assert.Equal(t, p.Stats().Runs["k"], 2)
	assert.Assert(t, p.Stats().SawSecret)
}

func TestUnusedBlocksExpire(t *testing.T) {
	c := newBlockCache(10, time.Second)
	now := time.Now()
	c.add("s", []prefix.Hash{1, 2}, now)
	c.match("s", []prefix.Hash{1}, now.Add(900*time.Millisecond))
	evicted := c.expire(now.Add(1500 * time.Millisecond))
	assert.Equal(t, len(evicted), 1)
	assert.Equal(t, evicted[0].hash, prefix.Hash(2))
	assert.Equal(t, c.match("s", []prefix.Hash{1, 2}, now), 1)
}

func TestVMListLags(t *testing.T) {
	v := NewVMDirectory(time.Hour)
	v.Set([]engineapi.VM{{Name: "a", State: engineapi.VMLive}})
	assert.Equal(t, len(v.Visible().VMs), 0)
	v.lag = 0
	assert.Equal(t, len(v.Visible().VMs), 1)
}
