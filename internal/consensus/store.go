package consensus

import (
	"bytes"
	"crypto/rand"
	"encoding/binary"
	"encoding/gob"
	"encoding/hex"
	"encoding/json"
	"hash/crc32"
	"os"
	"path/filepath"
	"time"

	"eelgrasshollow/internal/errkind"

	"github.com/cockroachdb/errors"
	"go.etcd.io/bbolt"
)

// Storage stores a replica's records. Each writing method returns after the records are
// synced.
type Storage interface {
	// Save stores the records of one step in one write. A non-nil install replaces the
	// snapshot and the log; then entries replace the stored entries from the index of the
	// first one on.
	Save(h HardState, install *Snapshot, entries []Entry) error
	// SaveSnapshot stores a snapshot and deletes the entries up to dropTo.
	SaveSnapshot(s Snapshot, dropTo uint64) error
	// Snapshot returns the newest snapshot.
	Snapshot() (Snapshot, error)
	// Entry returns the stored entry at index.
	Entry(index uint64) (Entry, error)
	Close() error
}

const (
	storeFormat       = 1
	storeFileName     = "replica.db"
	storeIDBytes      = 16
	lockTimeout       = time.Second
	initialMmapBytes  = 64 << 20
	checksumBytes     = 4
	recordHeaderBytes = checksumBytes + 8 + 1 // checksum, term, kind
	// loadedBytes limits the data of commands that OpenStore returns. A store of a program that
	// did not bound its log in bytes may hold more than fits into memory.
	loadedBytes   = 1 << 20
	indexKeyBytes = 8
	storeFileMode = 0o600
	storeDirMode  = 0o700
)

var (
	bucketMeta      = []byte("meta")
	bucketLog       = []byte("log")
	bucketSnapshot  = []byte("snapshot")
	keyIdentity     = []byte("identity")
	keyHardState    = []byte("hard")
	keySnapshot     = []byte("current")
	castagnoliTable = crc32.MakeTable(crc32.Castagnoli)
)

// storeIdentity is the record that binds a store to its replica ID.
type storeIdentity struct {
	Format  int
	Store   string
	Replica uint64
	Boot    uint64
}

// Store implements Storage with one bbolt file.
type Store struct{ db *bbolt.DB }

// OpenStore opens or creates the store of a replica in directory dir and returns its
// content. A new store starts with the initial membership. OpenStore returns an error
// for a store of another replica, of an unknown format or with a damaged record.
func OpenStore(dir string, replica uint64, initial Membership) (*Store, StoredState, error) {
	if err := os.MkdirAll(dir, storeDirMode); err != nil {
		return nil, StoredState{}, errors.Wrap(err, "create data directory")
	}
	db, err := bbolt.Open(filepath.Join(dir, storeFileName), storeFileMode,
		&bbolt.Options{Timeout: lockTimeout, NoFreelistSync: true, InitialMmapSize: initialMmapBytes, FreelistType: bbolt.FreelistMapType})
	if err != nil {
		return nil, StoredState{}, errors.Wrap(err, "open store")
	}
	if err := errors.CombineErrors(SyncDir(dir), SyncDir(filepath.Dir(dir))); err != nil {
		return nil, StoredState{}, errors.CombineErrors(errors.Wrap(err, "sync data directory"), db.Close())
	}
	s := &Store{db: db}
	stored, err := s.boot(replica, initial)
	if err != nil {
		return nil, StoredState{}, errors.CombineErrors(err, db.Close())
	}
	return s, stored, nil
}

// SyncDir syncs a directory, which makes the names in it durable. Without it, a power
// loss can remove the name of a file whose content is synced.
func SyncDir(dir string) error {
	f, err := os.Open(dir)
	if err != nil {
		return err
	}
	return errors.CombineErrors(f.Sync(), f.Close())
}

// boot increments the boot number and loads all records.
func (s *Store) boot(replica uint64, initial Membership) (StoredState, error) {
	var stored StoredState
	err := s.db.Update(func(tx *bbolt.Tx) error {
		id, err := bootIdentity(tx, replica, initial)
		if err != nil {
			return err
		}
		if stored, err = loadRecords(tx); err != nil {
			return err
		}
		stored.HardState.Writes++
		stored.Identity = Identity{Store: id.Store, Boot: id.Boot, Nonce: randomUint64(), WritesAtBoot: stored.HardState.Writes}
		return putHardState(tx, stored.HardState)
	})
	return stored, err
}

// bootIdentity returns the identity of the store with its boot number incremented. It
// initializes a new store.
func bootIdentity(tx *bbolt.Tx, replica uint64, initial Membership) (storeIdentity, error) {
	meta := tx.Bucket(bucketMeta)
	if meta == nil {
		return initStore(tx, replica, initial)
	}
	var id storeIdentity
	body, err := verifyChecksum(meta.Get(keyIdentity), 0)
	if err == nil {
		err = json.Unmarshal(body, &id)
	}
	switch {
	case err != nil:
		return id, errkind.Wrap(err, errkind.Corrupt, "identity of the store")
	case id.Format != storeFormat:
		return id, errkind.New(errkind.Unsupported, "store has format %d, this program reads %d", id.Format, storeFormat)
	case id.Replica != replica:
		return id, errkind.New(errkind.InvalidRequest, "store belongs to replica %d, the settings name replica %d", id.Replica, replica)
	}
	id.Boot++
	return id, putIdentity(meta, id)
}

func initStore(tx *bbolt.Tx, replica uint64, initial Membership) (storeIdentity, error) {
	for _, bucket := range [][]byte{bucketMeta, bucketLog, bucketSnapshot} {
		if _, err := tx.CreateBucket(bucket); err != nil {
			return storeIdentity{}, err
		}
	}
	storeID := make([]byte, storeIDBytes)
	_, _ = rand.Read(storeID) // crypto/rand.Read never fails
	id := storeIdentity{Format: storeFormat, Store: hex.EncodeToString(storeID), Replica: replica, Boot: 1}
	if err := putIdentity(tx.Bucket(bucketMeta), id); err != nil {
		return id, err
	}
	if err := putHardState(tx, HardState{}); err != nil {
		return id, err
	}
	return id, putSnapshot(tx, Snapshot{Membership: initial})
}

func putIdentity(meta *bbolt.Bucket, id storeIdentity) error {
	body, err := json.Marshal(id)
	if err != nil {
		return err
	}
	return meta.Put(keyIdentity, addChecksum(body, 0))
}

func randomUint64() uint64 {
	var b [8]byte
	_, _ = rand.Read(b[:]) // crypto/rand.Read never fails
	return binary.BigEndian.Uint64(b[:])
}

// addChecksum prepends a checksum over salt and body. The salt of a log entry is its
// index, so that an entry under another key fails verification.
func addChecksum(body []byte, salt uint64) []byte {
	out := make([]byte, 4, 4+len(body))
	binary.BigEndian.PutUint32(out, checksum(body, salt))
	return append(out, body...)
}

func verifyChecksum(record []byte, salt uint64) ([]byte, error) {
	if len(record) < 4 || binary.BigEndian.Uint32(record) != checksum(record[4:], salt) {
		return nil, errkind.New(errkind.Corrupt, "record checksum mismatch")
	}
	return record[4:], nil
}

func checksum(body []byte, salt uint64) uint32 {
	var b [8]byte
	binary.BigEndian.PutUint64(b[:], salt)
	return crc32.Update(crc32.Checksum(b[:], castagnoliTable), castagnoliTable, body)
}

func indexKey(index uint64) []byte { return binary.BigEndian.AppendUint64(nil, index) }

func encodeEntry(e Entry) []byte {
	record := make([]byte, checksumBytes, recordHeaderBytes+len(e.Data))
	record = binary.BigEndian.AppendUint64(record, e.Term)
	record = append(append(record, byte(e.Kind)), e.Data...)
	binary.BigEndian.PutUint32(record, checksum(record[checksumBytes:], e.Index))
	return record
}

func decodeEntry(key, record []byte) (Entry, error) {
	if len(key) != indexKeyBytes || len(record) < recordHeaderBytes {
		return Entry{}, errkind.New(errkind.Corrupt, "log record is truncated")
	}
	index := binary.BigEndian.Uint64(key)
	body, err := verifyChecksum(record, index)
	if err != nil {
		return Entry{}, errors.Wrapf(err, "log entry %d", index)
	}
	return Entry{Index: index, Term: binary.BigEndian.Uint64(body), Kind: EntryKind(body[8]), Data: bytes.Clone(body[9:])}, nil
}

func loadRecords(tx *bbolt.Tx) (StoredState, error) {
	var stored StoredState
	body, err := verifyChecksum(tx.Bucket(bucketMeta).Get(keyHardState), 0)
	if err != nil {
		return stored, errors.Wrap(err, "term and vote")
	}
	if err := json.Unmarshal(body, &stored.HardState); err != nil {
		return stored, errkind.Wrap(err, errkind.Corrupt, "term and vote")
	}
	if stored.Snapshot, err = getSnapshot(tx); err != nil {
		return stored, err
	}
	stored.Entries, err = loadLog(tx, stored.Snapshot.Index)
	return stored, err
}

// loadLog reads the entries with an index above after and checks that none is missing or
// damaged. The data of the oldest commands beyond loadedBytes stays in the store.
func loadLog(tx *bbolt.Tx, after uint64) ([]Entry, error) {
	var entries []Entry
	size := 0 // bytes of data in entries
	cursor := tx.Bucket(bucketLog).Cursor()
	for k, v := cursor.Seek(indexKey(after + 1)); k != nil; k, v = cursor.Next() {
		e, err := decodeEntry(k, v)
		if err != nil {
			return nil, err
		}
		if want := after + uint64(len(entries)) + 1; e.Index != want {
			return nil, errkind.New(errkind.Corrupt, "log has entry %d where entry %d is expected", e.Index, want)
		}
		entries = append(entries, e)
		if size += len(e.Data); size > loadedBytes {
			size = evictData(entries, loadedBytes/2)
		}
	}
	return entries, nil
}

func putHardState(tx *bbolt.Tx, h HardState) error {
	body, err := json.Marshal(h)
	if err != nil {
		return err
	}
	return tx.Bucket(bucketMeta).Put(keyHardState, addChecksum(body, 0))
}

func putSnapshot(tx *bbolt.Tx, s Snapshot) error {
	var b bytes.Buffer
	if err := gob.NewEncoder(&b).Encode(s); err != nil {
		return err
	}
	return tx.Bucket(bucketSnapshot).Put(keySnapshot, addChecksum(b.Bytes(), 0))
}

func getSnapshot(tx *bbolt.Tx) (Snapshot, error) {
	var s Snapshot
	body, err := verifyChecksum(tx.Bucket(bucketSnapshot).Get(keySnapshot), 0)
	if err == nil {
		err = gob.NewDecoder(bytes.NewReader(body)).Decode(&s)
	}
	if err != nil {
		return s, errkind.Wrap(err, errkind.Corrupt, "snapshot")
	}
	return s, nil
}

// Save stores the records of one step in one synced write.
func (s *Store) Save(h HardState, install *Snapshot, entries []Entry) error {
	return s.db.Update(func(tx *bbolt.Tx) error {
		if err := putHardState(tx, h); err != nil {
			return err
		}
		log := tx.Bucket(bucketLog)
		log.FillPercent = 1 // keys are inserted in ascending order
		if install != nil {
			if err := putSnapshot(tx, *install); err != nil {
				return err
			}
			if err := deleteFrom(log, 0); err != nil {
				return err
			}
		}
		if len(entries) == 0 {
			return nil
		}
		if err := deleteFrom(log, entries[0].Index); err != nil {
			return err
		}
		for _, e := range entries {
			if err := log.Put(indexKey(e.Index), encodeEntry(e)); err != nil {
				return err
			}
		}
		return nil
	})
}

func deleteFrom(log *bbolt.Bucket, index uint64) error {
	cursor := log.Cursor()
	for k, _ := cursor.Seek(indexKey(index)); k != nil; k, _ = cursor.Seek(indexKey(index)) {
		if err := cursor.Delete(); err != nil {
			return err
		}
	}
	return nil
}

// SaveSnapshot stores a snapshot and deletes the entries up to dropTo.
func (s *Store) SaveSnapshot(snapshot Snapshot, dropTo uint64) error {
	return s.db.Update(func(tx *bbolt.Tx) error {
		if err := putSnapshot(tx, snapshot); err != nil {
			return err
		}
		cursor := tx.Bucket(bucketLog).Cursor()
		for k, _ := cursor.First(); k != nil && binary.BigEndian.Uint64(k) <= dropTo; k, _ = cursor.First() {
			if err := cursor.Delete(); err != nil {
				return err
			}
		}
		return nil
	})
}

// Snapshot returns the newest snapshot.
func (s *Store) Snapshot() (Snapshot, error) {
	var snapshot Snapshot
	err := s.db.View(func(tx *bbolt.Tx) error {
		var err error
		snapshot, err = getSnapshot(tx)
		return err
	})
	return snapshot, err
}

// Entry returns the stored entry at index.
func (s *Store) Entry(index uint64) (Entry, error) {
	var e Entry
	err := s.db.View(func(tx *bbolt.Tx) error {
		key := indexKey(index)
		var err error
		e, err = decodeEntry(key, tx.Bucket(bucketLog).Get(key))
		return err
	})
	return e, err
}

// Close closes the store's file.
func (s *Store) Close() error { return s.db.Close() }
