package cacheindex

import (
	"testing"
	"time"

	_ "eelgrasshollow/internal/fixedseed"
	"eelgrasshollow/internal/prefix"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var startedAt = time.Unix(1_000_000, 0)

func chain(hashes ...prefix.Hash) []prefix.Hash { return hashes }

func cachedPieces(x *Index, e Endpoint, now time.Time, c []prefix.Hash) int {
	return x.Find(c, now, nil)[e].CachedPieces
}

func TestEvictionKeepsParentsLongerThanChildren(t *testing.T) {
	x := New(3, startedAt)
	e := x.AddEndpoint()
	x.Touch(e, chain(1, 2, 3), startedAt)
	x.Touch(e, chain(9), startedAt)
	assert.Equal(t, x.Len(), 3)
	assert.Equal(t, cachedPieces(x, e, startedAt, chain(1, 2, 3)), 2)
}

func TestClearedEndpointNumberIsReused(t *testing.T) {
	x := New(10, startedAt)
	e := x.AddEndpoint()
	x.Touch(e, chain(1, 2), startedAt)
	x.ClearEndpoint(e)
	assert.Equal(t, cachedPieces(x, e, startedAt, chain(1, 2)), 0)
	x.Touch(e, chain(1), startedAt)
	assert.Equal(t, cachedPieces(x, e, startedAt, chain(1, 2)), 1)
}

func TestPieceImpliesPiecesBeforeIt(t *testing.T) {
	x := New(10, startedAt)
	e, other := x.AddEndpoint(), x.AddEndpoint()
	x.RecordStored(e, chain(3), startedAt)
	assert.Equal(t, cachedPieces(x, e, startedAt, chain(1, 2, 3, 4)), 3)
	assert.Equal(t, cachedPieces(x, other, startedAt, chain(1, 2, 3, 4)), 0)
}

func TestRemovalBeforeLastUseIsIgnored(t *testing.T) {
	x := New(10, startedAt)
	e := x.AddEndpoint()
	x.Touch(e, chain(1, 2), startedAt.Add(5*time.Second))
	x.Remove(e, chain(2), startedAt.Add(4*time.Second))
	assert.Equal(t, cachedPieces(x, e, startedAt.Add(5*time.Second), chain(1, 2)), 2)
	x.Remove(e, chain(2), startedAt.Add(6*time.Second))
	assert.Equal(t, cachedPieces(x, e, startedAt.Add(6*time.Second), chain(1, 2)), 1)
}

func TestLifetimeAdaptsToCachedCounts(t *testing.T) {
	x := New(10, startedAt)
	e := x.AddEndpoint()
	x.Touch(e, chain(1, 2), startedAt)
	now := startedAt.Add(20 * time.Second)
	m := x.Find(chain(1, 2), now, nil)[e]
	x.AdjustLifetime(e, m, 0)
	shortened := x.Lifetime(e)
	assert.Assert(t, shortened < InitialLifetime)
	for range 20 {
		x.AdjustLifetime(e, Match{RecordedPieces: 2, Age: 40 * time.Second}, 2)
	}
	assert.Assert(t, x.Lifetime(e) >= 40*time.Second)
}

func TestBranchPoints(t *testing.T) {
	x := New(10, startedAt)
	e := x.AddEndpoint()
	x.Touch(e, chain(1, 2, 3), startedAt)
	assert.Equal(t, len(x.BranchPoints(chain(1, 2, 3), nil)), 0)
	x.Touch(e, chain(1, 2, 4), startedAt)
	assert.DeepEqual(t, x.BranchPoints(chain(1, 2, 3), nil), []int{2})
}

// The index never exceeds its limit, and never matches a holder that was cleared or removed.
func TestIndexKeepsLimitAndDropsClearedHolders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit, endpoints = 8, 3
		x := New(limit, startedAt)
		for range endpoints {
			x.AddEndpoint()
		}
		held := [endpoints]map[prefix.Hash]bool{{}, {}, {}}
		now := startedAt
		for range 60 {
			now = now.Add(50 * time.Millisecond)
			e := Endpoint(rapid.IntRange(0, endpoints-1).Draw(t, "endpoint"))
			h := prefix.Hash(rapid.Uint64Range(1, 20).Draw(t, "hash"))
			switch rapid.IntRange(0, 3).Draw(t, "op") {
			case 0:
				x.ClearEndpoint(e)
				held[e] = map[prefix.Hash]bool{}
			case 1:
				x.Remove(e, chain(h), now)
				delete(held[e], h)
			default:
				x.Touch(e, chain(h), now)
				held[e][h] = true
			}
			if x.Len() > limit {
				t.Fatalf("%d prefixes", x.Len())
			}
			for i, m := range x.Find(chain(h), now, nil) {
				if m.CachedPieces > 0 && !held[i][h] {
					t.Fatalf("endpoint %d does not hold %d", i, h)
				}
			}
		}
	})
}
