package journal

import (
	"bytes"
	"context"
	"crypto/sha256"
	"fmt"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"eelgrasshollow/internal/errkind"
	_ "eelgrasshollow/internal/fixedseed"
	"eelgrasshollow/internal/statemachine"

	"github.com/google/uuid"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func testLimits() Limits {
	return Limits{
		Retention: time.Hour, BeginLease: 5 * time.Second, RunTime: time.Minute,
		Records: 1000, Bytes: 1 << 20, AnswerSize: 100,
	}
}

// fakeLog commits at once, or after a delay; it can lose its answers.
type fakeLog struct {
	mu      sync.Mutex
	machine *Machine
	index   uint64
	delay   time.Duration
	lose    atomic.Bool // the command is applied and the answer lost
	down    atomic.Bool
}

func (f *fakeLog) Propose(ctx context.Context, _ string, command []byte) (statemachine.Result, error) {
	time.Sleep(f.delay)
	if f.down.Load() {
		return statemachine.Result{}, errkind.New(errkind.NoQuorum, "down")
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.index++
	data := f.machine.Apply(f.index, command)
	if f.lose.Load() {
		return statemachine.Result{}, errkind.New(errkind.Timeout, "answer lost")
	}
	return statemachine.Result{Index: f.index, Data: data}, nil
}

func (f *fakeLog) ReadBarrier(context.Context) error { return nil }

// direct calls the service without a network.
type direct struct {
	endpoint *RPCService
	before   func() // runs ahead of each call
	late     func(*DoArgs) time.Duration
}

func (d *direct) Call(ctx context.Context, _ string, args, reply any) error {
	if d.before != nil {
		d.before()
	}
	done := make(chan error, 1)
	var out DoReply
	go func() {
		if d.late != nil {
			time.Sleep(d.late(args.(*DoArgs)))
		}
		done <- d.endpoint.Do(args.(*DoArgs), &out)
	}()
	select {
	case err := <-done:
		*reply.(*DoReply) = out
		return errkindOf(err)
	case <-ctx.Done():
		return errkind.Wrap(ctx.Err(), errkind.Timeout, "no answer")
	}
}

// errkindOf undoes the text form of an error as far as the tests need it.
func errkindOf(err error) error {
	if err == nil {
		return nil
	}
	for _, k := range []errkind.Kind{errkind.NoQuorum, errkind.Overloaded, errkind.NotLeader} {
		if bytes.Contains([]byte(err.Error()), []byte(k.String())) {
			return errkind.New(k, "peer")
		}
	}
	return errkind.New(errkind.Timeout, "peer")
}

type bench struct {
	log    *fakeLog
	direct *direct
	client *Client
	stop   func()
}

func newBench(t testing.TB, l Limits) *bench {
	log := &fakeLog{machine: NewMachine(), delay: time.Millisecond}
	s := NewService(l, log)
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	running.Go(func() { s.Run(ctx) })
	d := &direct{endpoint: &RPCService{s}}
	return &bench{log: log, direct: d, client: NewClient(l.BeginLease, d, zap.NewNop()), stop: func() {
		cancel()
		running.Wait()
	}}
}

func request(id string) Request {
	return Request{Account: "litoral", Route: "orders", ID: id, Body: sha256.Sum256([]byte("100 kg"))}
}

func kindOf(err error) errkind.Kind { return errkind.Of(err).Kind }

// TestRetriesGetTheStoredAnswer walks the states that a retry can meet.
func TestRetriesGetTheStoredAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, testLimits())
		defer b.stop()
		ctx := t.Context()
		c, _, err := b.client.Claim(ctx, request("1"))
		assert.NilError(t, err)
		_, _, err = b.client.Claim(ctx, request("1"))
		assert.Equal(t, kindOf(err), errkind.InProgress)
		assert.NilError(t, c.Begin())
		assert.Assert(t, c.Begin() != nil, "a claim begins once")
		assert.Assert(t, c.Release(ctx) != nil, "what has begun can't be said not to run")
		assert.NilError(t, c.Complete(ctx, Answer{Status: 201, Body: []byte("ok")}))
		_, a, err := b.client.Claim(ctx, request("1"))
		assert.NilError(t, err)
		assert.Equal(t, string(a.Body), "ok")
		other := request("1")
		other.Body[0]++
		_, _, err = b.client.Claim(ctx, other)
		assert.Equal(t, kindOf(err), errkind.BodyMismatch)
	})
}

func TestReleasedMayRunAndLostNever(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, testLimits())
		defer b.stop()
		ctx := t.Context()
		c, _, err := b.client.Claim(ctx, request("1"))
		assert.NilError(t, err)
		assert.NilError(t, c.Release(ctx))
		assert.Assert(t, c.Begin() != nil)
		c, _, err = b.client.Claim(ctx, request("1"))
		assert.NilError(t, err)
		assert.NilError(t, c.Begin())
		assert.NilError(t, c.MarkLost(ctx))
		_, _, err = b.client.Claim(ctx, request("1"))
		assert.Equal(t, kindOf(err), errkind.OutcomeUnknown)
	})
}

// TestHolderThatWakesAfterMinutesDoesNoHarm pauses a holder between claim and Begin.
func TestHolderThatWakesAfterMinutesDoesNoHarm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, testLimits())
		defer b.stop()
		c, _, err := b.client.Claim(t.Context(), request("1"))
		assert.NilError(t, err)
		time.Sleep(5 * time.Minute)
		_, _, err = b.client.Claim(t.Context(), request("1"))
		assert.Equal(t, kindOf(err), errkind.OutcomeUnknown)
		err = c.Begin()
		assert.Equal(t, errkind.Of(err).Outcome, errkind.NotRun)
		assert.Assert(t, c.Begin() != nil)
	})
}

// TestLateAnswerResolvesUnknown completes after the journal gave the run up.
func TestLateAnswerResolvesUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, testLimits())
		defer b.stop()
		c, _, err := b.client.Claim(t.Context(), request("1"))
		assert.NilError(t, err)
		assert.NilError(t, c.Begin())
		time.Sleep(5 * time.Minute)
		_, _, err = b.client.Claim(t.Context(), request("1"))
		assert.Equal(t, kindOf(err), errkind.OutcomeUnknown)
		assert.NilError(t, c.Complete(t.Context(), Answer{Status: 200}))
		_, a, err := b.client.Claim(t.Context(), request("1"))
		assert.NilError(t, err)
		assert.Equal(t, a.Status, 200)
	})
}

// TestClaimWithLostAnswerIsNotRun loses the journal's answers: the caller hears
// not-run, which stays true, and the ID can be used once the journal answers again.
func TestClaimWithLostAnswerIsNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, testLimits())
		defer b.stop()
		b.log.lose.Store(true)
		_, _, err := b.client.Claim(t.Context(), request("1"))
		assert.Equal(t, errkind.Of(err).Outcome, errkind.NotRun)
		b.log.lose.Store(false)
		assert.NilError(t, b.client.Wait(t.Context()))
		c, _, err := b.client.Claim(t.Context(), request("1"))
		assert.NilError(t, err)
		assert.NilError(t, c.Begin())
	})
}

// TestClaimThatComesInAfterItsRelease: the caller has given up and taken the claim back
// when its last message reaches the journal. The ID must be free all the same.
func TestClaimThatComesInAfterItsRelease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, testLimits())
		defer b.stop()
		var calls atomic.Int64
		b.direct.late = func(c *DoArgs) time.Duration {
			if c.Op.Op == opClaim && calls.Add(1) <= 2 {
				return claimTry + 300*time.Millisecond // the second one comes in 300 ms after the release
			}
			return 0
		}
		_, _, err := b.client.Claim(t.Context(), request("1"))
		assert.Equal(t, errkind.Of(err).Outcome, errkind.NotRun)
		assert.NilError(t, b.client.Wait(t.Context()))
		c, _, err := b.client.Claim(t.Context(), request("1"))
		assert.NilError(t, err)
		assert.NilError(t, c.Begin())
	})
}

func TestSettlementOutlastsALeaderlessTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, testLimits())
		defer b.stop()
		c, _, err := b.client.Claim(t.Context(), request("1"))
		assert.NilError(t, err)
		assert.NilError(t, c.Begin())
		b.log.down.Store(true)
		assert.Equal(t, kindOf(c.Complete(t.Context(), Answer{Status: 200})), errkind.Timeout)
		b.log.down.Store(false)
		assert.NilError(t, b.client.Wait(t.Context()))
		_, a, err := b.client.Claim(t.Context(), request("1"))
		assert.NilError(t, err)
		assert.Equal(t, a.Status, 200)
	})
}

func TestExpiredIDIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, testLimits())
		defer b.stop()
		ctx := t.Context()
		timed := uuid.Must(uuid.NewV7()).String()
		for _, id := range []string{"opaque", timed} {
			c, _, err := b.client.Claim(ctx, request(id))
			assert.NilError(t, err)
			assert.NilError(t, c.Begin())
			assert.NilError(t, c.Complete(ctx, Answer{Status: 200}))
		}
		time.Sleep(2 * time.Hour)
		for _, id := range []string{"opaque", timed} {
			_, _, err := b.client.Claim(ctx, request(id))
			assert.Equal(t, kindOf(err), errkind.RequestExpired, id)
		}
		assert.Equal(t, b.log.machine.Stats().Expired, 1, "an ID with a time needs no record")
	})
}

func TestFullJournalRefuses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := testLimits()
		l.Records = 2
		b := newBench(t, l)
		defer b.stop()
		for i := range 2 {
			_, _, err := b.client.Claim(t.Context(), request(fmt.Sprint(i)))
			assert.NilError(t, err)
		}
		_, _, err := b.client.Claim(t.Context(), request("2"))
		assert.Equal(t, kindOf(err), errkind.JournalFull)
		assert.Equal(t, errkind.Of(err).Outcome, errkind.NotRun)
		_, _, err = b.client.Claim(t.Context(), request("0"))
		assert.Equal(t, kindOf(err), errkind.InProgress, "a full journal forgets nothing")
	})
}

// TestMachineNeverGrantsTwice drives the machine with ops in any order, repeated and
// late, with time that passes and snapshots: an ID whose run began is never granted again.
func TestMachineNeverGrantsTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := testLimits()
		l.Retention, l.RunTime, l.BeginLease = 10*time.Second, 3*time.Second, time.Second
		m := NewMachine()
		now := int64(1_000_000)
		holder := map[string]string{} // ID -> claim whose run began
		open := map[string]op{}       // claims granted and not begun
		var past []op
		timed := uuid.Must(uuid.NewV7()).String()
		apply := func(o op) result {
			data, _ := encode(batch{Now: now, Limits: l, Ops: []op{o}})
			var rs []result
			assert.NilError(t, decode(m.Apply(0, data), &rs))
			return rs[0]
		}
		claim := func(o op) {
			if apply(o).Verdict == granted {
				began := holder[o.ID]
				assert.Assert(t, began == "" || began == o.Claim, "granted to %s after %s began", o.Claim, began)
				open[o.Claim] = o
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"claim": func(t *rapid.T) {
				id := rapid.SampledFrom([]string{"a", "b", timed}).Draw(t, "id")
				o := op{Op: opClaim, ID: id, Claim: fmt.Sprint(len(past))}
				past = append(past, o)
				claim(o)
			},
			"begin": func(t *rapid.T) {
				if len(open) == 0 {
					return
				}
				name := rapid.SampledFrom(slices.Sorted(maps.Keys(open))).Draw(t, "claim")
				if o := open[name]; holder[o.ID] == "" {
					holder[o.ID] = name
				}
				delete(open, name)
			},
			"release": func(t *rapid.T) {
				if len(open) == 0 {
					return
				}
				name := rapid.SampledFrom(slices.Sorted(maps.Keys(open))).Draw(t, "claim")
				if o := open[name]; holder[o.ID] != name {
					o.Op = opRelease
					apply(o)
					delete(open, name)
				}
			},
			"settle": func(t *rapid.T) {
				id := rapid.SampledFrom([]string{"a", "b", timed}).Draw(t, "id")
				if holder[id] == "" {
					return
				}
				what := rapid.SampledFrom([]operation{opComplete, opLost}).Draw(t, "op")
				apply(op{Op: what, ID: id, Claim: holder[id]})
			},
			"late": func(t *rapid.T) {
				if len(past) > 0 {
					o := rapid.SampledFrom(past).Draw(t, "old")
					if holder[o.ID] != o.Claim {
						apply(o) // nobody waits for the answer
					}
				}
			},
			"time": func(t *rapid.T) { now += rapid.Int64Range(0, 20_000).Draw(t, "ms") },
			"snapshot": func(t *rapid.T) {
				var first, second bytes.Buffer
				assert.NilError(t, m.Snapshot(&first))
				image := bytes.Clone(first.Bytes())
				m = NewMachine()
				assert.NilError(t, m.Restore(&first))
				assert.NilError(t, m.Snapshot(&second))
				assert.DeepEqual(t, image, second.Bytes())
			},
		})
	})
}
