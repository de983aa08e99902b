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

const testNowUnixMs = 1_700_000_000_000

func putAccount(name string, rate int64) *pb.Mutation {
	return &pb.Mutation{Change: &pb.Mutation_PutClientAccount{PutClientAccount: &pb.ClientAccount{Name: name, RateTokens: rate}}}
}

func putKey(id, account string) *pb.Mutation {
	return &pb.Mutation{Change: &pb.Mutation_PutKey{PutKey: &pb.Key{Id: id, ClientAccount: account, SecretHash: make([]byte, hashBytes)}}}
}

func atRevision(m *pb.Mutation, revision uint64) *pb.Mutation {
	m.ExpectedRevision = revision
	return m
}

func applyMutations(t interface{ Fatalf(string, ...any) }, m *Machine, operationID string, mutations ...*pb.Mutation) (*pb.StateResult, error) {
	body, err := proto.MarshalOptions{Deterministic: true}.Marshal(&pb.ChangeRequest{Mutations: mutations})
	if err != nil {
		t.Fatalf("encode: %v", err)
	}
	cmd, err := proto.Marshal(&pb.StateCommand{Operator: "ana", OperationId: operationID, BodyHash: body, Mutations: mutations, AcceptedUnixMs: testNowUnixMs})
	if err != nil {
		t.Fatalf("encode: %v", err)
	}
	return DecodeResult(m.Apply(1, cmd))
}

func TestSecondChangeAtSameRevisionConflicts(t *testing.T) {
	m := NewMachine()
	_, err := applyMutations(t, m, "1", putAccount("a", 1))
	assert.NilError(t, err)
	_, err = applyMutations(t, m, "2", atRevision(putAccount("a", 2), 1))
	assert.NilError(t, err)
	_, err = applyMutations(t, m, "3", atRevision(putAccount("a", 3), 1))
	assert.Equal(t, errkind.Of(err).Kind, errkind.RevisionConflict)
	assert.Equal(t, errkind.Of(err).Revision, uint64(2))
	a, _ := m.View().Account("a")
	assert.Equal(t, a.GetRateTokens(), int64(2))
}

func TestResendReturnsFirstResult(t *testing.T) {
	m := NewMachine()
	first, err := applyMutations(t, m, "1", putAccount("a", 1))
	assert.NilError(t, err)
	_, err = applyMutations(t, m, "2", putAccount("b", 1))
	assert.NilError(t, err)
	again, err := applyMutations(t, m, "1", putAccount("a", 1))
	assert.NilError(t, err)
	assert.Equal(t, again.GetRevision(), first.GetRevision())
	assert.Assert(t, again.GetRepeated())
	_, err = applyMutations(t, m, "1", putAccount("c", 1))
	assert.Equal(t, errkind.Of(err).Kind, errkind.OperationMismatch)
	_, err = applyMutations(t, m, "3", putAccount("a", 9))
	assert.Equal(t, errkind.Of(err).Kind, errkind.AlreadyExists)
	_, err = applyMutations(t, m, "4", &pb.Mutation{Change: &pb.Mutation_DeleteClientAccount{DeleteClientAccount: "a"}})
	assert.NilError(t, err)
	_, err = applyMutations(t, m, "3", putAccount("a", 9))
	assert.Equal(t, errkind.Of(err).Kind, errkind.AlreadyExists, "a refusal is recorded as a result too")
}

func TestExpiredOperationIDIsRefused(t *testing.T) {
	const madeIn2022 = "017f22e2-79b0-7cc3-98c4-dc0c0c07398f"
	_, err := applyMutations(t, NewMachine(), madeIn2022, putAccount("a", 1))
	assert.Equal(t, errkind.Of(err).Kind, errkind.RequestExpired)
}

func TestChangeIsAtomic(t *testing.T) {
	m := NewMachine()
	_, err := applyMutations(t, m, "1", putAccount("a", 1), putKey("k", "missing"))
	assert.Equal(t, errkind.Of(err).Kind, errkind.NotFound)
	_, found := m.View().Account("a")
	assert.Assert(t, !found)
	assert.Equal(t, m.Revision(), uint64(0))
}

func TestDeletedAccountWithdrawsItsKeys(t *testing.T) {
	m := NewMachine()
	_, err := applyMutations(t, m, "1", putAccount("a", 1), putKey("k", "a"))
	assert.NilError(t, err)
	_, err = applyMutations(t, m, "2", &pb.Mutation{Change: &pb.Mutation_DeleteClientAccount{DeleteClientAccount: "a"}})
	assert.NilError(t, err)
	_, err = applyMutations(t, m, "3", putAccount("a", 1))
	assert.NilError(t, err)
	assert.Assert(t, m.View().Configuration().GetKeys()[0].GetWithdrawn())
}

func TestRestoredBackupLeavesKeysWithdrawn(t *testing.T) {
	m := NewMachine()
	_, err := applyMutations(t, m, "1", putAccount("a", 1), putKey("k", "a"))
	assert.NilError(t, err)
	image, err := EncodeBackup(m.View().Configuration())
	assert.NilError(t, err)
	_, err = applyMutations(t, m, "2", &pb.Mutation{Change: &pb.Mutation_WithdrawKey{WithdrawKey: "k"}}, putKey("later", "a"))
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
	_, err := applyMutations(t, m, "1", putAccount("a", 1))
	assert.NilError(t, err)
	var b bytes.Buffer
	assert.NilError(t, m.Snapshot(&b))
	var img pb.StateImage
	assert.NilError(t, proto.Unmarshal(b.Bytes(), &img))

	img.Format, img.Deletions, img.DeletionsFloor = 1, nil, 0
	older, err := proto.Marshal(&img)
	assert.NilError(t, err)
	restored := NewMachine()
	assert.NilError(t, restored.Restore(bytes.NewReader(older)))
	assert.Equal(t, restored.Revision(), uint64(1))
	_, ok := restored.Delta(0)
	assert.Assert(t, !ok, "an image of format 1 does not contain the deletions before it")
	again, err := applyMutations(t, restored, "1", putAccount("a", 1))
	assert.NilError(t, err)
	assert.Assert(t, again.GetRepeated())

	img.Format = ImageFormat + 1
	newer, err := proto.Marshal(&img)
	assert.NilError(t, err)
	assert.Equal(t, errkind.Of(NewMachine().Restore(bytes.NewReader(newer))).Kind, errkind.Unsupported)
}

// randomMutation draws a mutation of one of a few objects. Many are invalid.
func randomMutation(t *rapid.T) *pb.Mutation {
	name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name")
	var m *pb.Mutation
	switch rapid.IntRange(0, 7).Draw(t, "kind") {
	case 0, 1:
		m = putAccount(name, rapid.Int64Range(-1, 9).Draw(t, "rate"))
	case 2:
		m = putKey(name, rapid.SampledFrom([]string{"a", "b"}).Draw(t, "account"))
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

// TestDeltasAndSnapshotsAgree: a watcher that applies the delta from any revision, and a
// replica restored from a snapshot, have the same configuration as the machine.
func TestDeltasAndSnapshotsAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := NewMachine()
		configurations := map[uint64]*pb.Configuration{0: m.View().Configuration()}
		for i := range rapid.IntRange(1, 40).Draw(t, "changes") {
			before := m.Revision()
			_, err := applyMutations(t, m, fmt.Sprint(i), randomMutation(t))
			if (err == nil) != (m.Revision() == before+1) {
				t.Fatalf("revision %d after %d with %v", m.Revision(), before, err)
			}
			configurations[m.Revision()] = m.View().Configuration()
		}
		current := m.objects.configuration(0)
		if !proto.Equal(current, m.View().Configuration()) {
			t.Fatalf("the view differs from the objects")
		}
		for from, c := range configurations {
			d, ok := m.Delta(from)
			if !ok || !proto.Equal(ApplyDelta(c, d), current) {
				t.Fatalf("delta from %d does not lead to %d", from, current.GetRevision())
			}
			if !reflect.DeepEqual(NewView(c).WithDelta(d), NewView(ApplyDelta(c, d))) {
				t.Fatalf("view after the delta from %d differs from a newly built view", from)
			}
		}
		var b, b2 bytes.Buffer
		if err := m.Snapshot(&b); err != nil {
			t.Fatalf("snapshot: %v", err)
		}
		restored := NewMachine()
		if err := restored.Restore(bytes.NewReader(b.Bytes())); err != nil {
			t.Fatalf("restore: %v", err)
		}
		if err := restored.Snapshot(&b2); err != nil || !proto.Equal(restored.View().Configuration(), current) {
			t.Fatalf("restored state differs: %v", err)
		}
	})
}
