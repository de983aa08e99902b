package consensus

import (
	"os"
	"path/filepath"
	"testing"

	"eelgrasshollow/internal/errkind"

	"go.etcd.io/bbolt"
	"gotest.tools/v3/assert"
)

var alone = Membership{Members: []Member{{ID: 1, Address: "a"}}}

func openTest(t *testing.T, dir string) (*Store, StoredState) {
	t.Helper()
	s, stored, err := OpenStore(dir, 1, alone)
	assert.NilError(t, err)
	return s, stored
}

func TestStoreKeepsWhatWasSaved(t *testing.T) {
	dir := t.TempDir()
	s, first := openTest(t, dir)
	entries := []Entry{{Index: 1, Term: 1, Data: []byte("a")}, {Index: 2, Term: 1, Data: []byte("b")}, {Index: 3, Term: 1}}
	assert.NilError(t, s.Save(HardState{Term: 1, Vote: 1, Writes: first.HardState.Writes + 1}, nil, entries))
	assert.NilError(t, s.Save(HardState{Term: 2, Writes: first.HardState.Writes + 2}, nil, []Entry{{Index: 2, Term: 2, Kind: EntryNoop}}))
	assert.NilError(t, s.Close())
	s, again := openTest(t, dir)
	assert.Equal(t, len(again.Entries), 2)
	assert.Equal(t, again.Entries[1].Term, uint64(2))
	assert.Equal(t, again.HardState.Term, uint64(2))
	assert.Equal(t, again.Identity.Store, first.Identity.Store)
	assert.Equal(t, again.Identity.Boot, first.Identity.Boot+1)
	assert.Assert(t, again.Identity.WritesAtBoot > first.Identity.WritesAtBoot+2)
	assert.NilError(t, s.SaveSnapshot(Snapshot{Index: 1, Term: 1, Membership: alone}, 1))
	assert.NilError(t, s.Close())
	s, again = openTest(t, dir)
	assert.Equal(t, again.Snapshot.Index, uint64(1))
	assert.Equal(t, len(again.Entries), 1)
	assert.NilError(t, s.Close())
}

func TestStoreRefusesWhatIsNotItsOwn(t *testing.T) {
	dir := t.TempDir()
	s, _ := openTest(t, dir)
	assert.NilError(t, s.Close())
	_, _, err := OpenStore(dir, 2, alone)
	assert.Equal(t, errkind.Of(err).Kind, errkind.InvalidRequest)
}

// spoilRecord changes a stored record behind the store's back.
func spoilRecord(t *testing.T, dir string, bucket, key []byte, change func([]byte) []byte) {
	t.Helper()
	db, err := bbolt.Open(filepath.Join(dir, storeFile), storeFileMode, nil)
	assert.NilError(t, err)
	assert.NilError(t, db.Update(func(tx *bbolt.Tx) error {
		b := tx.Bucket(bucket)
		return b.Put(key, change(append([]byte(nil), b.Get(key)...)))
	}))
	assert.NilError(t, db.Close())
}

func TestStoreRefusesDamagedRecords(t *testing.T) {
	flip := func(b []byte) []byte { b[len(b)-1] ^= 1; return b }
	cut := func(b []byte) []byte { return b[:len(b)/2] }
	for name, c := range map[string]struct {
		bucket, key []byte
		change      func([]byte) []byte
	}{
		"flipped entry":   {bucketLog, indexKey(1), flip},
		"torn entry":      {bucketLog, indexKey(2), cut},
		"flipped vote":    {bucketMeta, keyHard, flip},
		"torn identity":   {bucketMeta, keyIdentity, cut},
		"torn snapshot":   {bucketSnapshot, keySnapshot, cut},
		"entry misplaced": {bucketLog, indexKey(4), func([]byte) []byte { return encodeEntry(Entry{Index: 4, Term: 1}) }},
	} {
		t.Run(name, func(t *testing.T) {
			dir := t.TempDir()
			s, _ := openTest(t, dir)
			assert.NilError(t, s.Save(HardState{Term: 1}, nil, []Entry{{Index: 1, Term: 1, Data: []byte("a")}, {Index: 2, Term: 1, Data: []byte("b")}}))
			assert.NilError(t, s.Close())
			spoilRecord(t, dir, c.bucket, c.key, c.change)
			_, _, err := OpenStore(dir, 1, alone)
			assert.Equal(t, errkind.Of(err).Kind, errkind.Corrupt)
		})
	}
}

func TestStoreRefusesUnknownFormat(t *testing.T) {
	dir := t.TempDir()
	s, _ := openTest(t, dir)
	assert.NilError(t, s.Close())
	spoilRecord(t, dir, bucketMeta, keyIdentity, func([]byte) []byte { return seal([]byte(`{"Format":99,"Replica":1}`), 0) })
	_, _, err := OpenStore(dir, 1, alone)
	assert.Equal(t, errkind.Of(err).Kind, errkind.Unsupported)
}

func TestTruncatedFileIsRefused(t *testing.T) {
	dir := t.TempDir()
	s, _ := openTest(t, dir)
	assert.NilError(t, s.Close())
	path := filepath.Join(dir, storeFile)
	assert.NilError(t, os.Truncate(path, int64(os.Getpagesize())))
	_, _, err := OpenStore(dir, 1, alone)
	assert.Assert(t, err != nil)
}
