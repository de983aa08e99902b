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

// fakeLog is a Proposer that commits each command after a delay. It can lose its responses.
type fakeLog struct {
	mu            sync.Mutex
	machine       *Machine
	index         uint64
	delay         time.Duration
	loseResponses atomic.Bool // commands are applied, but Propose returns Timeout
	unavailable   atomic.Bool // Propose returns NoQuorum and commands are not applied
}

func (f *fakeLog) Propose(ctx context.Context, _ string, command []byte) (statemachine.Result, error) {
	time.Sleep(f.delay)
	if f.unavailable.Load() {
		return statemachine.Result{}, errkind.New(errkind.NoQuorum, "unavailable")
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.index++
	data := f.machine.Apply(f.index, command)
	if f.loseResponses.Load() {
		return statemachine.Result{}, errkind.New(errkind.Timeout, "response lost")
	}
	return statemachine.Result{Index: f.index, Data: data}, nil
}

func (f *fakeLog) ReadBarrier(context.Context) error { return nil }

// directCaller is a peer.Caller that calls the RPCService without a network.
type directCaller struct {
	service *RPCService
	before  func()                      // runs before each call unless nil
	delay   func(*DoArgs) time.Duration // delay before the call arrives; nil for none
}

func (d *directCaller) Call(ctx context.Context, _ string, args, reply any) error {
	if d.before != nil {
		d.before()
	}
	done := make(chan error, 1)
	var out DoReply
	go func() {
		if d.delay != nil {
			time.Sleep(d.delay(args.(*DoArgs)))
		}
		done <- d.service.Do(args.(*DoArgs), &out)
	}()
	select {
	case err := <-done:
		*reply.(*DoReply) = out
		return errkindOf(err)
	case <-ctx.Done():
		return errkind.Wrap(ctx.Err(), errkind.Timeout, "no response")
	}
}

// errkindOf returns an error with the kind that the text of an encoded error contains, for the
// kinds that the tests need; any other error becomes Timeout.
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

// fixture is a Client that calls a Service on a fakeLog.
type fixture struct {
	log    *fakeLog
	caller *directCaller
	client *Client
	stop   func()
}

func newFixture(t testing.TB, l Limits) *fixture {
	log := &fakeLog{machine: NewMachine(), delay: time.Millisecond}
	s := NewService(l, log)
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	running.Go(func() { s.Run(ctx) })
	caller := &directCaller{service: &RPCService{s}}
	return &fixture{log: log, caller: caller, client: NewClient(l.BeginLease, caller, zap.NewNop()), stop: func() {
		cancel()
		running.Wait()
	}}
}

func request(id string) Request {
	return Request{Account: "litoral", Route: "orders", ID: id, Body: sha256.Sum256([]byte("100 kg"))}
}

func kindOf(err error) errkind.Kind { return errkind.Of(err).Kind }

// TestRetriesGetTheStoredAnswer retries a request in each state of its record.
func TestRetriesGetTheStoredAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fx := newFixture(t, testLimits())
		defer fx.stop()
		ctx := t.Context()
		c, _, err := fx.client.Claim(ctx, request("1"))
		assert.NilError(t, err)
		_, _, err = fx.client.Claim(ctx, request("1"))
		assert.Equal(t, kindOf(err), errkind.InProgress)
		assert.NilError(t, c.Begin())
		assert.Assert(t, c.Begin() != nil, "a claim begins only once")
		assert.Assert(t, c.Release(ctx) != nil, "a claim that has begun can't be released")
		assert.NilError(t, c.Complete(ctx, Answer{Status: 201, Body: []byte("ok")}))
		_, a, err := fx.client.Claim(ctx, request("1"))
		assert.NilError(t, err)
		assert.Equal(t, string(a.Body), "ok")
		other := request("1")
		other.Body[0]++
		_, _, err = fx.client.Claim(ctx, other)
		assert.Equal(t, kindOf(err), errkind.BodyMismatch)
	})
}

func TestReleasedRequestMayRunAndLostMayNot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fx := newFixture(t, testLimits())
		defer fx.stop()
		ctx := t.Context()
		c, _, err := fx.client.Claim(ctx, request("1"))
		assert.NilError(t, err)
		assert.NilError(t, c.Release(ctx))
		assert.Assert(t, c.Begin() != nil)
		c, _, err = fx.client.Claim(ctx, request("1"))
		assert.NilError(t, err)
		assert.NilError(t, c.Begin())
		assert.NilError(t, c.MarkLost(ctx))
		_, _, err = fx.client.Claim(ctx, request("1"))
		assert.Equal(t, kindOf(err), errkind.OutcomeUnknown)
	})
}

// TestBeginFailsAfterLongPause pauses a claim holder for minutes between Claim and Begin.
func TestBeginFailsAfterLongPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fx := newFixture(t, testLimits())
		defer fx.stop()
		c, _, err := fx.client.Claim(t.Context(), request("1"))
		assert.NilError(t, err)
		time.Sleep(5 * time.Minute)
		_, _, err = fx.client.Claim(t.Context(), request("1"))
		assert.Equal(t, kindOf(err), errkind.OutcomeUnknown)
		err = c.Begin()
		assert.Equal(t, errkind.Of(err).Outcome, errkind.NotRun)
		assert.Assert(t, c.Begin() != nil)
	})
}

// TestLateAnswerResolvesUnknown completes a request after the journal has recorded its outcome
// as unknown.
func TestLateAnswerResolvesUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fx := newFixture(t, testLimits())
		defer fx.stop()
		c, _, err := fx.client.Claim(t.Context(), request("1"))
		assert.NilError(t, err)
		assert.NilError(t, c.Begin())
		time.Sleep(5 * time.Minute)
		_, _, err = fx.client.Claim(t.Context(), request("1"))
		assert.Equal(t, kindOf(err), errkind.OutcomeUnknown)
		assert.NilError(t, c.Complete(t.Context(), Answer{Status: 200}))
		_, a, err := fx.client.Claim(t.Context(), request("1"))
		assert.NilError(t, err)
		assert.Equal(t, a.Status, 200)
	})
}

// TestClaimWithLostResponseIsNotRun loses the journal's responses. The caller gets outcome
// not-run, and the ID can be claimed again once the journal responds.
func TestClaimWithLostResponseIsNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fx := newFixture(t, testLimits())
		defer fx.stop()
		fx.log.loseResponses.Store(true)
		_, _, err := fx.client.Claim(t.Context(), request("1"))
		assert.Equal(t, errkind.Of(err).Outcome, errkind.NotRun)
		fx.log.loseResponses.Store(false)
		assert.NilError(t, fx.client.Wait(t.Context()))
		c, _, err := fx.client.Claim(t.Context(), request("1"))
		assert.NilError(t, err)
		assert.NilError(t, c.Begin())
	})
}

// TestClaimDeliveredAfterItsRelease delays claim messages so that the last one reaches the
// journal after the client has released the claim. The ID must be free nevertheless.
func TestClaimDeliveredAfterItsRelease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fx := newFixture(t, testLimits())
		defer fx.stop()
		var calls atomic.Int64
		fx.caller.delay = func(c *DoArgs) time.Duration {
			if c.Op.Op == opClaim && calls.Add(1) <= 2 {
				return claimAttemptTimeout + 300*time.Millisecond // the second one arrives 300 ms after the release
			}
			return 0
		}
		_, _, err := fx.client.Claim(t.Context(), request("1"))
		assert.Equal(t, errkind.Of(err).Outcome, errkind.NotRun)
		assert.NilError(t, fx.client.Wait(t.Context()))
		c, _, err := fx.client.Claim(t.Context(), request("1"))
		assert.NilError(t, err)
		assert.NilError(t, c.Begin())
	})
}

func TestSettlementIsRetriedWithoutLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fx := newFixture(t, testLimits())
		defer fx.stop()
		c, _, err := fx.client.Claim(t.Context(), request("1"))
		assert.NilError(t, err)
		assert.NilError(t, c.Begin())
		fx.log.unavailable.Store(true)
		assert.Equal(t, kindOf(c.Complete(t.Context(), Answer{Status: 200})), errkind.Timeout)
		fx.log.unavailable.Store(false)
		assert.NilError(t, fx.client.Wait(t.Context()))
		_, a, err := fx.client.Claim(t.Context(), request("1"))
		assert.NilError(t, err)
		assert.Equal(t, a.Status, 200)
	})
}

func TestExpiredIDIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fx := newFixture(t, testLimits())
		defer fx.stop()
		ctx := t.Context()
		uuidV7 := uuid.Must(uuid.NewV7()).String()
		for _, id := range []string{"opaque", uuidV7} {
			c, _, err := fx.client.Claim(ctx, request(id))
			assert.NilError(t, err)
			assert.NilError(t, c.Begin())
			assert.NilError(t, c.Complete(ctx, Answer{Status: 200}))
		}
		time.Sleep(2 * time.Hour)
		for _, id := range []string{"opaque", uuidV7} {
			_, _, err := fx.client.Claim(ctx, request(id))
			assert.Equal(t, kindOf(err), errkind.RequestExpired, id)
		}
		assert.Equal(t, fx.log.machine.Stats().Expired, 1, "an ID with a time is not kept after expiry")
	})
}

func TestFullJournalRefuses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := testLimits()
		l.Records = 2
		fx := newFixture(t, l)
		defer fx.stop()
		for i := range 2 {
			_, _, err := fx.client.Claim(t.Context(), request(fmt.Sprint(i)))
			assert.NilError(t, err)
		}
		_, _, err := fx.client.Claim(t.Context(), request("2"))
		assert.Equal(t, kindOf(err), errkind.JournalFull)
		assert.Equal(t, errkind.Of(err).Outcome, errkind.NotRun)
		_, _, err = fx.client.Claim(t.Context(), request("0"))
		assert.Equal(t, kindOf(err), errkind.InProgress, "a full journal keeps its records")
	})
}

// TestMachineNeverGrantsTwice applies random sequences of ops, with repeated and delayed
// claims, advancing time and snapshots. An ID whose run has begun must never be granted to
// another claim.
func TestMachineNeverGrantsTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := testLimits()
		l.Retention, l.RunTime, l.BeginLease = 10*time.Second, 3*time.Second, time.Second
		m := NewMachine()
		now := int64(1_000_000)
		begunBy := map[string]string{} // ID -> claim whose run has begun
		open := map[string]op{}        // claims that are granted and not begun
		var sent []op
		uuidV7 := uuid.Must(uuid.NewV7()).String()
		apply := func(o op) result {
			data, _ := encode(batch{Now: now, Limits: l, Ops: []op{o}})
			var rs []result
			assert.NilError(t, decode(m.Apply(0, data), &rs))
			return rs[0]
		}
		claim := func(o op) {
			if apply(o).Verdict == granted {
				begun := begunBy[o.ID]
				assert.Assert(t, begun == "" || begun == o.Claim, "granted to %s after %s has begun", o.Claim, begun)
				open[o.Claim] = o
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"claim": func(t *rapid.T) {
				id := rapid.SampledFrom([]string{"a", "b", uuidV7}).Draw(t, "id")
				o := op{Op: opClaim, ID: id, Claim: fmt.Sprint(len(sent))}
				sent = append(sent, o)
				claim(o)
			},
			"begin": func(t *rapid.T) {
				if len(open) == 0 {
					return
				}
				name := rapid.SampledFrom(slices.Sorted(maps.Keys(open))).Draw(t, "claim")
				if o := open[name]; begunBy[o.ID] == "" {
					begunBy[o.ID] = name
				}
				delete(open, name)
			},
			"release": func(t *rapid.T) {
				if len(open) == 0 {
					return
				}
				name := rapid.SampledFrom(slices.Sorted(maps.Keys(open))).Draw(t, "claim")
				if o := open[name]; begunBy[o.ID] != name {
					o.Op = opRelease
					apply(o)
					delete(open, name)
				}
			},
			"settle": func(t *rapid.T) {
				id := rapid.SampledFrom([]string{"a", "b", uuidV7}).Draw(t, "id")
				if begunBy[id] == "" {
					return
				}
				kind := rapid.SampledFrom([]operation{opComplete, opLost}).Draw(t, "op")
				apply(op{Op: kind, ID: id, Claim: begunBy[id]})
			},
			"late": func(t *rapid.T) {
				if len(sent) > 0 {
					o := rapid.SampledFrom(sent).Draw(t, "old")
					if begunBy[o.ID] != o.Claim {
						apply(o) // a delayed message; its sender no longer waits
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
