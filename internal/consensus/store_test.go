package consensus

import (
	"os"
	"path/filepath"
	"testing"

	"eelgrasshollow/internal/errkind"

	"go.etcd.io/bbolt"
	"gotest.tools/v3/assert"
)

var singleMember = Membership{Members: []Member{{ID: 1, Address: "a"}}}

func openTestStore(t *testing.T, dir string) (*Store, StoredState) {
	t.Helper()
	s, stored, err := OpenStore(dir, 1, singleMember)
	assert.NilError(t, err)
	return s, stored
}

func TestStoreReloadsSavedRecords(t *testing.T) {
	dir := t.TempDir()
	s, first := openTestStore(t, dir)
	entries := []Entry{{Index: 1, Term: 1, Data: []byte("a")}, {Index: 2, Term: 1, Data: []byte("b")}, {Index: 3, Term: 1}}
	assert.NilError(t, s.Save(HardState{Term: 1, Vote: 1, Writes: first.HardState.Writes + 1}, nil, entries))
	assert.NilError(t, s.Save(HardState{Term: 2, Writes: first.HardState.Writes + 2}, nil, []Entry{{Index: 2, Term: 2, Kind: EntryNoop}}))
	assert.NilError(t, s.Close())
	s, reopened := openTestStore(t, dir)
	assert.Equal(t, len(reopened.Entries), 2)
	assert.Equal(t, reopened.Entries[1].Term, uint64(2))
	assert.Equal(t, reopened.HardState.Term, uint64(2))
	assert.Equal(t, reopened.Identity.Store, first.Identity.Store)
	assert.Equal(t, reopened.Identity.Boot, first.Identity.Boot+1)
	assert.Assert(t, reopened.Identity.WritesAtBoot > first.Identity.WritesAtBoot+2)
	assert.NilError(t, s.SaveSnapshot(Snapshot{Index: 1, Term: 1, Membership: singleMember}, 1))
	assert.NilError(t, s.Close())
	s, reopened = openTestStore(t, dir)
	assert.Equal(t, reopened.Snapshot.Index, uint64(1))
	assert.Equal(t, len(reopened.Entries), 1)
	assert.NilError(t, s.Close())
}

func TestStoreRefusesOtherReplicaID(t *testing.T) {
	dir := t.TempDir()
	s, _ := openTestStore(t, dir)
	assert.NilError(t, s.Close())
	_, _, err := OpenStore(dir, 2, singleMember)
	assert.Equal(t, errkind.Of(err).Kind, errkind.InvalidRequest)
}

// rewriteRecord changes a record of a closed store.
func rewriteRecord(t *testing.T, dir string, bucket, key []byte, change func([]byte) []byte) {
	t.Helper()
	db, err := bbolt.Open(filepath.Join(dir, storeFileName), storeFileMode, nil)
	assert.NilError(t, err)
	assert.NilError(t, db.Update(func(tx *bbolt.Tx) error {
		b := tx.Bucket(bucket)
		return b.Put(key, change(append([]byte(nil), b.Get(key)...)))
	}))
	assert.NilError(t, db.Close())
}

func TestStoreRefusesDamagedRecords(t *testing.T) {
	flip := func(b []byte) []byte { b[len(b)-1] ^= 1; return b }
	truncate := func(b []byte) []byte { return b[:len(b)/2] }
	for name, c := range map[string]struct {
		bucket, key []byte
		change      func([]byte) []byte
	}{
		"flipped entry":   {bucketLog, indexKey(1), flip},
		"torn entry":      {bucketLog, indexKey(2), truncate},
		"flipped vote":    {bucketMeta, keyHardState, flip},
		"torn identity":   {bucketMeta, keyIdentity, truncate},
		"torn snapshot":   {bucketSnapshot, keySnapshot, truncate},
		"entry misplaced": {bucketLog, indexKey(4), func([]byte) []byte { return encodeEntry(Entry{Index: 4, Term: 1}) }},
	} {
		t.Run(name, func(t *testing.T) {
			dir := t.TempDir()
			s, _ := openTestStore(t, dir)
			assert.NilError(t, s.Save(HardState{Term: 1}, nil, []Entry{{Index: 1, Term: 1, Data: []byte("a")}, {Index: 2, Term: 1, Data: []byte("b")}}))
			assert.NilError(t, s.Close())
			rewriteRecord(t, dir, c.bucket, c.key, c.change)
			_, _, err := OpenStore(dir, 1, singleMember)
			assert.Equal(t, errkind.Of(err).Kind, errkind.Corrupt)
		})
	}
}

func TestStoreRefusesUnknownFormat(t *testing.T) {
	dir := t.TempDir()
	s, _ := openTestStore(t, dir)
	assert.NilError(t, s.Close())
	rewriteRecord(t, dir, bucketMeta, keyIdentity, func([]byte) []byte { return addChecksum([]byte(`{"Format":99,"Replica":1}`), 0) })
	_, _, err := OpenStore(dir, 1, singleMember)
	assert.Equal(t, errkind.Of(err).Kind, errkind.Unsupported)
}

func TestTruncatedFileIsRefused(t *testing.T) {
	dir := t.TempDir()
	s, _ := openTestStore(t, dir)
	assert.NilError(t, s.Close())
	path := filepath.Join(dir, storeFileName)
	assert.NilError(t, os.Truncate(path, int64(os.Getpagesize())))
	_, _, err := OpenStore(dir, 1, singleMember)
	assert.Assert(t, err != nil)
}
