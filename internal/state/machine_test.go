package state

import (
	"bytes"
	"fmt"
	"reflect"
	"testing"

	pb "eelgrasshollow/gen/eelgrass/v1"
	"eelgrasshollow/internal/errkind"
	_ "eelgrasshollow/internal/fixedseed"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

const testNow = 1_700_000_000_000

func account(name string, rate int64) *pb.Mutation {
	return &pb.Mutation{Change: &pb.Mutation_PutClientAccount{PutClientAccount: &pb.ClientAccount{Name: name, RateTokens: rate}}}
}

func key(id, account string) *pb.Mutation {
	return &pb.Mutation{Change: &pb.Mutation_PutKey{PutKey: &pb.Key{Id: id, ClientAccount: account, SecretHash: make([]byte, hashBytes)}}}
}

func at(m *pb.Mutation, revision uint64) *pb.Mutation {
	m.ExpectedRevision = revision
	return m
}

func apply(t interface{ Fatalf(string, ...any) }, m *Machine, op string, muts ...*pb.Mutation) (*pb.StateResult, error) {
	body, err := proto.MarshalOptions{Deterministic: true}.Marshal(&pb.ChangeRequest{Mutations: muts})
	if err != nil {
		t.Fatalf("encode: %v", err)
	}
	cmd, err := proto.Marshal(&pb.StateCommand{Operator: "ana", OperationId: op, BodyHash: body, Mutations: muts, AcceptedUnixMs: testNow})
	if err != nil {
		t.Fatalf("encode: %v", err)
	}
	return DecodeResult(m.Apply(1, cmd))
}

func TestOneOfTwoEqualRevisionsWins(t *testing.T) {
	m := NewMachine()
	_, err := apply(t, m, "1", account("a", 1))
	assert.NilError(t, err)
	_, err = apply(t, m, "2", at(account("a", 2), 1))
	assert.NilError(t, err)
	_, err = apply(t, m, "3", at(account("a", 3), 1))
	assert.Equal(t, errkind.Of(err).Kind, errkind.RevisionConflict)
	assert.Equal(t, errkind.Of(err).Revision, uint64(2))
	a, _ := m.View().Account("a")
	assert.Equal(t, a.GetRateTokens(), int64(2))
}

func TestResendGetsTheFirstAnswer(t *testing.T) {
	m := NewMachine()
	first, err := apply(t, m, "1", account("a", 1))
	assert.NilError(t, err)
	_, err = apply(t, m, "2", account("b", 1))
	assert.NilError(t, err)
	again, err := apply(t, m, "1", account("a", 1))
	assert.NilError(t, err)
	assert.Equal(t, again.GetRevision(), first.GetRevision())
	assert.Assert(t, again.GetRepeated())
	_, err = apply(t, m, "1", account("c", 1))
	assert.Equal(t, errkind.Of(err).Kind, errkind.OperationMismatch)
	_, err = apply(t, m, "3", account("a", 9))
	assert.Equal(t, errkind.Of(err).Kind, errkind.AlreadyExists)
	_, err = apply(t, m, "4", &pb.Mutation{Change: &pb.Mutation_DeleteClientAccount{DeleteClientAccount: "a"}})
	assert.NilError(t, err)
	_, err = apply(t, m, "3", account("a", 9))
	assert.Equal(t, errkind.Of(err).Kind, errkind.AlreadyExists, "a refusal is the first answer too")
}

func TestOldOperationIDIsRefused(t *testing.T) {
	const madeIn2022 = "017f22e2-79b0-7cc3-98c4-dc0c0c07398f"
	_, err := apply(t, NewMachine(), madeIn2022, account("a", 1))
	assert.Equal(t, errkind.Of(err).Kind, errkind.RequestExpired)
}

func TestAllMutationsOrNone(t *testing.T) {
	m := NewMachine()
	_, err := apply(t, m, "1", account("a", 1), key("k", "missing"))
	assert.Equal(t, errkind.Of(err).Kind, errkind.NotFound)
	_, found := m.View().Account("a")
	assert.Assert(t, !found)
	assert.Equal(t, m.Revision(), uint64(0))
}

func TestKeysDoNotOutliveTheirAccount(t *testing.T) {
	m := NewMachine()
	_, err := apply(t, m, "1", account("a", 1), key("k", "a"))
	assert.NilError(t, err)
	_, err = apply(t, m, "2", &pb.Mutation{Change: &pb.Mutation_DeleteClientAccount{DeleteClientAccount: "a"}})
	assert.NilError(t, err)
	_, err = apply(t, m, "3", account("a", 1))
	assert.NilError(t, err)
	assert.Assert(t, m.View().Configuration().GetKeys()[0].GetWithdrawn())
}

func TestRestoredBackupKeepsKeysWithdrawn(t *testing.T) {
	m := NewMachine()
	_, err := apply(t, m, "1", account("a", 1), key("k", "a"))
	assert.NilError(t, err)
	image, err := EncodeBackup(m.View().Configuration())
	assert.NilError(t, err)
	_, err = apply(t, m, "2", &pb.Mutation{Change: &pb.Mutation_WithdrawKey{WithdrawKey: "k"}}, key("later", "a"))
	assert.NilError(t, err)
	c, err := DecodeBackup(image)
	assert.NilError(t, err)
	cmd, err := proto.Marshal(&pb.StateCommand{Operator: "ana", OperationId: "3", Replace: c})
	assert.NilError(t, err)
	r, err := DecodeResult(m.Apply(1, cmd))
	assert.NilError(t, err)
	assert.Equal(t, r.GetRevision(), uint64(3))
	for _, k := range m.View().Configuration().GetKeys() {
		assert.Assert(t, k.GetWithdrawn(), k.GetId())
	}
}

func TestSnapshotFormats(t *testing.T) {
	m := NewMachine()
	_, err := apply(t, m, "1", account("a", 1))
	assert.NilError(t, err)
	var b bytes.Buffer
	assert.NilError(t, m.Snapshot(&b))
	var img pb.StateImage
	assert.NilError(t, proto.Unmarshal(b.Bytes(), &img))

	img.Format, img.Deletions, img.DeletionsFloor = 1, nil, 0
	older, err := proto.Marshal(&img)
	assert.NilError(t, err)
	back := NewMachine()
	assert.NilError(t, back.Restore(bytes.NewReader(older)))
	assert.Equal(t, back.Revision(), uint64(1))
	_, ok := back.Delta(0)
	assert.Assert(t, !ok, "deletions before an image of format 1 are not known")
	again, err := apply(t, back, "1", account("a", 1))
	assert.NilError(t, err)
	assert.Assert(t, again.GetRepeated())

	img.Format = ImageFormat + 1
	newer, err := proto.Marshal(&img)
	assert.NilError(t, err)
	assert.Equal(t, errkind.Of(NewMachine().Restore(bytes.NewReader(newer))).Kind, errkind.Unsupported)
}

// randomMutation changes one of a few objects, often in a way that is refused.
func randomMutation(t *rapid.T) *pb.Mutation {
	name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name")
	var m *pb.Mutation
	switch rapid.IntRange(0, 7).Draw(t, "kind") {
	case 0, 1:
		m = account(name, rapid.Int64Range(-1, 9).Draw(t, "rate"))
	case 2:
		m = key(name, rapid.SampledFrom([]string{"a", "b"}).Draw(t, "account"))
	case 3:
		m = &pb.Mutation{Change: &pb.Mutation_WithdrawKey{WithdrawKey: name}}
	case 4:
		m = &pb.Mutation{Change: &pb.Mutation_DeleteClientAccount{DeleteClientAccount: name}}
	case 5:
		m = &pb.Mutation{Change: &pb.Mutation_PutModel{PutModel: &pb.Model{Name: name}}}
	case 6:
		m = &pb.Mutation{Change: &pb.Mutation_PutRoute{PutRoute: &pb.Route{Name: name, Kind: pb.RouteKind_ROUTE_KIND_MODEL, Model: "b"}}}
	case 7:
		m = &pb.Mutation{Change: &pb.Mutation_DeleteModel{DeleteModel: name}}
	}
	m.AnyRevision = rapid.Bool().Draw(t, "any")
	return m
}

// TestDeltasAndSnapshotsAgree: a watcher that takes deltas from any revision, and a
// replica restored from a snapshot, hold what the machine holds.
func TestDeltasAndSnapshotsAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := NewMachine()
		seen := map[uint64]*pb.Configuration{0: m.View().Configuration()}
		for i := range rapid.IntRange(1, 40).Draw(t, "changes") {
			before := m.Revision()
			_, err := apply(t, m, fmt.Sprint(i), randomMutation(t))
			if (err == nil) != (m.Revision() == before+1) {
				t.Fatalf("revision %d after %d with %v", m.Revision(), before, err)
			}
			seen[m.Revision()] = m.View().Configuration()
		}
		now := m.objects.configuration(0)
		if !proto.Equal(now, m.View().Configuration()) {
			t.Fatalf("the view differs from the objects")
		}
		for from, c := range seen {
			d, ok := m.Delta(from)
			if !ok || !proto.Equal(ApplyDelta(c, d), now) {
				t.Fatalf("delta from %d does not lead to %d", from, now.GetRevision())
			}
			if !reflect.DeepEqual(NewView(c).WithDelta(d), NewView(ApplyDelta(c, d))) {
				t.Fatalf("view after the delta from %d differs from a new one", from)
			}
		}
		var b, b2 bytes.Buffer
		if err := m.Snapshot(&b); err != nil {
			t.Fatalf("snapshot: %v", err)
		}
		back := NewMachine()
		if err := back.Restore(bytes.NewReader(b.Bytes())); err != nil {
			t.Fatalf("restore: %v", err)
		}
		if err := back.Snapshot(&b2); err != nil || !proto.Equal(back.View().Configuration(), now) {
			t.Fatalf("restored state differs: %v", err)
		}
	})
}
