package cacheindex

import (
	"testing"
	"time"

	_ "eelgrasshollow/internal/fixedseed"
	"eelgrasshollow/internal/prefix"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var began = time.Unix(1_000_000, 0)

func chain(hashes ...prefix.Hash) []prefix.Hash { return hashes }

func depth(x *Index, e Endpoint, now time.Time, c []prefix.Hash) int {
	return x.Find(c, now, nil)[e].CachedPieces
}

func TestBoundKeepsParentsLongerThanChildren(t *testing.T) {
	x := New(3, began)
	e := x.AddEndpoint()
	x.Touch(e, chain(1, 2, 3), began)
	x.Touch(e, chain(9), began)
	assert.Equal(t, x.Len(), 3)
	assert.Equal(t, depth(x, e, began, chain(1, 2, 3)), 2)
}

func TestForgetAndReuseOfANumber(t *testing.T) {
	x := New(10, began)
	e := x.AddEndpoint()
	x.Touch(e, chain(1, 2), began)
	x.ClearEndpoint(e)
	assert.Equal(t, depth(x, e, began, chain(1, 2)), 0)
	x.Touch(e, chain(1), began)
	assert.Equal(t, depth(x, e, began, chain(1, 2)), 1)
}

func TestADeepPieceStandsForThoseAbove(t *testing.T) {
	x := New(10, began)
	e, other := x.AddEndpoint(), x.AddEndpoint()
	x.RecordStored(e, chain(3), began)
	assert.Equal(t, depth(x, e, began, chain(1, 2, 3, 4)), 3)
	assert.Equal(t, depth(x, other, began, chain(1, 2, 3, 4)), 0)
}

func TestRemovalFromBeforeTheLastUseChangesNothing(t *testing.T) {
	x := New(10, began)
	e := x.AddEndpoint()
	x.Touch(e, chain(1, 2), began.Add(5*time.Second))
	x.Remove(e, chain(2), began.Add(4*time.Second))
	assert.Equal(t, depth(x, e, began.Add(5*time.Second), chain(1, 2)), 2)
	x.Remove(e, chain(2), began.Add(6*time.Second))
	assert.Equal(t, depth(x, e, began.Add(6*time.Second), chain(1, 2)), 1)
}

func TestLifetimeFollowsAnswers(t *testing.T) {
	x := New(10, began)
	e := x.AddEndpoint()
	x.Touch(e, chain(1, 2), began)
	now := began.Add(20 * time.Second)
	m := x.Find(chain(1, 2), now, nil)[e]
	x.AdjustLifetime(e, m, 0)
	short := x.Lifetime(e)
	assert.Assert(t, short < InitialLifetime)
	for range 20 {
		x.AdjustLifetime(e, Match{RecordedPieces: 2, Age: 40 * time.Second}, 2)
	}
	assert.Assert(t, x.Lifetime(e) >= 40*time.Second)
}

func TestForksAreWhereSiblingsPart(t *testing.T) {
	x := New(10, began)
	e := x.AddEndpoint()
	x.Touch(e, chain(1, 2, 3), began)
	assert.Equal(t, len(x.BranchPoints(chain(1, 2, 3), nil)), 0)
	x.Touch(e, chain(1, 2, 4), began)
	assert.DeepEqual(t, x.BranchPoints(chain(1, 2, 3), nil), []int{2})
}

// The index never tracks more than its bound, and never names a forgotten holder.
func TestBoundAndGenerationsHold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit, endpoints = 8, 3
		x := New(limit, began)
		for range endpoints {
			x.AddEndpoint()
		}
		held := [endpoints]map[prefix.Hash]bool{{}, {}, {}}
		now := began
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
