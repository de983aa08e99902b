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

// entriesAnswer is the answer of GET /v1/entries.
type entriesAnswer struct {
	Entries []struct {
		Address       string `json:"address"`
		FailureDomain string `json:"failure_domain"`
	} `json:"entries"`
	KeepMS int64 `json:"keep_ms"`
}

// lookup is one caller's kept answer to which entry addresses to use.
type lookup struct {
	client *http.Client
	seeds  []string

	mu        sync.Mutex
	random    *rand.Rand
	addresses []string
	until     time.Time
}

func newLookup(client *http.Client, seeds []string, seed uint64) *lookup {
	return &lookup{client: client, seeds: seeds, random: rand.New(rand.NewPCG(seed, 2))}
}

// address returns an entry address to use, and another one than avoid where it can.
func (l *lookup) address(ctx context.Context, avoid string) (string, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if time.Now().After(l.until) || len(l.addresses) == 0 {
		if err := l.refresh(ctx); err != nil && len(l.addresses) == 0 {
			return "", err
		}
	}
	pick := l.addresses[l.random.IntN(len(l.addresses))]
	for range l.addresses {
		if pick != avoid {
			break
		}
		pick = l.addresses[l.random.IntN(len(l.addresses))]
	}
	return pick, nil
}

// refresh asks the known addresses, then the first ones, until one answers.
func (l *lookup) refresh(ctx context.Context) error {
	candidates := append(append([]string{}, l.addresses...), l.seeds...)
	l.random.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	var last error
	for _, address := range candidates {
		answer, err := l.ask(ctx, address)
		if err != nil {
			last = err
			continue
		}
		l.addresses = nil
		for _, e := range answer.Entries {
			l.addresses = append(l.addresses, e.Address)
		}
		l.until = time.Now().Add(time.Duration(answer.KeepMS) * time.Millisecond)
		return nil
	}
	return errors.Wrap(last, "no entry address answers")
}

// lookupTimeout bounds one question for entry addresses.
const lookupTimeout = time.Second

func (l *lookup) ask(ctx context.Context, address string) (entriesAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	var answer entriesAnswer
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/v1/entries", nil)
	if err != nil {
		return answer, err
	}
	response, err := l.client.Do(r)
	if err != nil {
		return answer, err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return answer, err
	}
	if err := json.Unmarshal(data, &answer); err != nil {
		return answer, errors.Wrap(err, "decode entries")
	}
	if len(answer.Entries) == 0 {
		return answer, errors.New("the answer names no entry")
	}
	return answer, nil
}

// forget drops an address that does not answer and asks anew the next time.
func (l *lookup) forget(address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.addresses = slices.DeleteFunc(l.addresses, func(a string) bool { return a == address })
	l.until = time.Time{}
}
