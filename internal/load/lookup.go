package load

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// entriesResponse is the response of GET /v1/entries.
type entriesResponse struct {
	Entries []struct {
		Address       string `json:"address"`
		FailureDomain string `json:"failure_domain"`
	} `json:"entries"`
	KeepMS int64 `json:"keep_ms"`
}

// entryCache caches the entry addresses that one caller uses, as returned by GET /v1/entries.
type entryCache struct {
	client        *http.Client
	seedAddresses []string

	mu        sync.Mutex
	random    *rand.Rand
	addresses []string
	expiresAt time.Time
}

func newEntryCache(client *http.Client, seedAddresses []string, seed uint64) *entryCache {
	return &entryCache{client: client, seedAddresses: seedAddresses, random: rand.New(rand.NewPCG(seed, 2))}
}

// pick returns a random entry address, if possible not avoid. It refreshes an expired cache
// first; if that fails, it uses the cached addresses.
func (c *entryCache) pick(ctx context.Context, avoid string) (string, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Now().After(c.expiresAt) || len(c.addresses) == 0 {
		if err := c.refresh(ctx); err != nil && len(c.addresses) == 0 {
			return "", err
		}
	}
	chosen := c.addresses[c.random.IntN(len(c.addresses))]
	for range c.addresses {
		if chosen != avoid {
			break
		}
		chosen = c.addresses[c.random.IntN(len(c.addresses))]
	}
	return chosen, nil
}

// refresh queries the cached and the seed addresses in random order until one responds.
func (c *entryCache) refresh(ctx context.Context) error {
	candidates := append(append([]string{}, c.addresses...), c.seedAddresses...)
	c.random.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	var lastErr error
	for _, address := range candidates {
		response, err := c.fetch(ctx, address)
		if err != nil {
			lastErr = err
			continue
		}
		c.addresses = nil
		for _, e := range response.Entries {
			c.addresses = append(c.addresses, e.Address)
		}
		c.expiresAt = time.Now().Add(time.Duration(response.KeepMS) * time.Millisecond)
		return nil
	}
	return errors.Wrap(lastErr, "no entry address responded")
}

// entriesTimeout bounds one query for entry addresses.
const entriesTimeout = time.Second

func (c *entryCache) fetch(ctx context.Context, address string) (entriesResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, entriesTimeout)
	defer cancel()
	var response entriesResponse
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/v1/entries", nil)
	if err != nil {
		return response, err
	}
	httpResponse, err := c.client.Do(request)
	if err != nil {
		return response, err
	}
	defer httpResponse.Body.Close()
	data, err := io.ReadAll(httpResponse.Body)
	if err != nil {
		return response, err
	}
	if err := json.Unmarshal(data, &response); err != nil {
		return response, errors.Wrap(err, "decode entries")
	}
	if len(response.Entries) == 0 {
		return response, errors.New("the response lists no entry")
	}
	return response, nil
}

// remove removes an address that did not respond and makes the next pick refresh the cache.
func (c *entryCache) remove(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addresses = slices.DeleteFunc(c.addresses, func(a string) bool { return a == address })
	c.expiresAt = time.Time{}
}
