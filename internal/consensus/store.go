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

// Storage keeps a replica's records. Every method returns only after a sync.
type Storage interface {
	// Save stores the step's records in one write: install first, then the entries
	// in place of the stored ones from the first one's index on.
	Save(h HardState, install *Snapshot, entries []Entry) error
	// SaveSnapshot stores a snapshot and forgets the entries up to dropTo.
	SaveSnapshot(s Snapshot, dropTo uint64) error
	// Snapshot returns the newest snapshot.
	Snapshot() (Snapshot, error)
	Close() error
}

const (
	storeFormat   = 1
	storeFile     = "replica.db"
	storeIDBytes  = 16
	lockTimeout   = time.Second
	initialMmap   = 64 << 20
	recordHeader  = 4 + 8 + 1 // checksum, term, kind
	indexBytes    = 8
	storeFileMode = 0o600
	storeDirMode  = 0o700
)

var (
	bucketMeta     = []byte("meta")
	bucketLog      = []byte("log")
	bucketSnapshot = []byte("snapshot")
	keyIdentity    = []byte("identity")
	keyHard        = []byte("hard")
	keySnapshot    = []byte("current")
	castagnoli     = crc32.MakeTable(crc32.Castagnoli)
)

// storeIdentity is the record that binds a store to its replica number.
type storeIdentity struct {
	Format  int
	Store   string
	Replica uint64
	Boot    uint64
}

// Store is a Storage in one bbolt file.
type Store struct{ db *bbolt.DB }

// OpenStore opens or makes the store of a replica under dir and returns what it
// holds. A new store begins with the initial membership. A store of another
// replica, of an unknown format or with a damaged record is refused.
func OpenStore(dir string, replica uint64, initial Membership) (*Store, StoredState, error) {
	if err := os.MkdirAll(dir, storeDirMode); err != nil {
		return nil, StoredState{}, errors.Wrap(err, "make data folder")
	}
	db, err := bbolt.Open(filepath.Join(dir, storeFile), storeFileMode,
		&bbolt.Options{Timeout: lockTimeout, NoFreelistSync: true, InitialMmapSize: initialMmap, FreelistType: bbolt.FreelistMapType})
	if err != nil {
		return nil, StoredState{}, errors.Wrap(err, "open store")
	}
	if err := errors.CombineErrors(syncFolder(dir), syncFolder(filepath.Dir(dir))); err != nil {
		return nil, StoredState{}, errors.CombineErrors(errors.Wrap(err, "sync data folder"), db.Close())
	}
	s := &Store{db: db}
	stored, err := s.boot(replica, initial)
	if err != nil {
		return nil, StoredState{}, errors.CombineErrors(err, db.Close())
	}
	return s, stored, nil
}

// syncFolder makes the names in a folder durable: a synced file can lose its name in a
// power loss until then.
func syncFolder(dir string) error {
	f, err := os.Open(dir)
	if err != nil {
		return err
	}
	return errors.CombineErrors(f.Sync(), f.Close())
}

// boot counts the start and loads every record.
func (s *Store) boot(replica uint64, initial Membership) (StoredState, error) {
	var out StoredState
	err := s.db.Update(func(tx *bbolt.Tx) error {
		id, err := bootIdentity(tx, replica, initial)
		if err != nil {
			return err
		}
		if out, err = load(tx); err != nil {
			return err
		}
		out.HardState.Writes++
		out.Identity = Identity{Store: id.Store, Boot: id.Boot, Nonce: randomUint64(), WritesAtBoot: out.HardState.Writes}
		return putHard(tx, out.HardState)
	})
	return out, err
}

func bootIdentity(tx *bbolt.Tx, replica uint64, initial Membership) (storeIdentity, error) {
	meta := tx.Bucket(bucketMeta)
	if meta == nil {
		return makeBuckets(tx, replica, initial)
	}
	var id storeIdentity
	body, err := unseal(meta.Get(keyIdentity), 0)
	if err == nil {
		err = json.Unmarshal(body, &id)
	}
	switch {
	case err != nil:
		return id, errkind.Wrap(err, errkind.Corrupt, "identity of the store")
	case id.Format != storeFormat:
		return id, errkind.New(errkind.Unsupported, "store has format %d, this program reads %d", id.Format, storeFormat)
	case id.Replica != replica:
		return id, errkind.New(errkind.InvalidRequest, "store belongs to replica %d, the settings say %d", id.Replica, replica)
	}
	id.Boot++
	return id, putIdentity(meta, id)
}

func makeBuckets(tx *bbolt.Tx, replica uint64, initial Membership) (storeIdentity, error) {
	for _, name := range [][]byte{bucketMeta, bucketLog, bucketSnapshot} {
		if _, err := tx.CreateBucket(name); err != nil {
			return storeIdentity{}, err
		}
	}
	name := make([]byte, storeIDBytes)
	_, _ = rand.Read(name) // crypto/rand.Read never fails
	id := storeIdentity{Format: storeFormat, Store: hex.EncodeToString(name), Replica: replica, Boot: 1}
	if err := putIdentity(tx.Bucket(bucketMeta), id); err != nil {
		return id, err
	}
	if err := putHard(tx, HardState{}); err != nil {
		return id, err
	}
	return id, putSnapshot(tx, Snapshot{Membership: initial})
}

func putIdentity(meta *bbolt.Bucket, id storeIdentity) error {
	body, err := json.Marshal(id)
	if err != nil {
		return err
	}
	return meta.Put(keyIdentity, seal(body, 0))
}

func randomUint64() uint64 {
	var b [8]byte
	_, _ = rand.Read(b[:]) // crypto/rand.Read never fails
	return binary.BigEndian.Uint64(b[:])
}

// seal puts a checksum over salt and body before the body.
func seal(body []byte, salt uint64) []byte {
	out := make([]byte, 4, 4+len(body))
	binary.BigEndian.PutUint32(out, checksum(body, salt))
	return append(out, body...)
}

func unseal(record []byte, salt uint64) ([]byte, error) {
	if len(record) < 4 || binary.BigEndian.Uint32(record) != checksum(record[4:], salt) {
		return nil, errkind.New(errkind.Corrupt, "record fails its checksum")
	}
	return record[4:], nil
}

func checksum(body []byte, salt uint64) uint32 {
	var b [8]byte
	binary.BigEndian.PutUint64(b[:], salt)
	return crc32.Update(crc32.Checksum(b[:], castagnoli), castagnoli, body)
}

func indexKey(index uint64) []byte { return binary.BigEndian.AppendUint64(nil, index) }

func encodeEntry(e Entry) []byte {
	body := make([]byte, 0, recordHeader+len(e.Data))
	body = binary.BigEndian.AppendUint64(body, e.Term)
	body = append(body, byte(e.Kind))
	return seal(append(body, e.Data...), e.Index)
}

func decodeEntry(key, record []byte) (Entry, error) {
	if len(key) != indexBytes || len(record) < recordHeader {
		return Entry{}, errkind.New(errkind.Corrupt, "log record is cut short")
	}
	index := binary.BigEndian.Uint64(key)
	body, err := unseal(record, index)
	if err != nil {
		return Entry{}, errors.Wrapf(err, "log entry %d", index)
	}
	return Entry{Index: index, Term: binary.BigEndian.Uint64(body), Kind: EntryKind(body[8]), Data: bytes.Clone(body[9:])}, nil
}

func load(tx *bbolt.Tx) (StoredState, error) {
	var out StoredState
	body, err := unseal(tx.Bucket(bucketMeta).Get(keyHard), 0)
	if err != nil {
		return out, errors.Wrap(err, "term and vote")
	}
	if err := json.Unmarshal(body, &out.HardState); err != nil {
		return out, errkind.Wrap(err, errkind.Corrupt, "term and vote")
	}
	if out.Snapshot, err = getSnapshot(tx); err != nil {
		return out, err
	}
	out.Entries, err = loadLog(tx, out.Snapshot.Index)
	return out, err
}

// loadLog reads the entries after a snapshot and checks that none is missing.
func loadLog(tx *bbolt.Tx, after uint64) ([]Entry, error) {
	var out []Entry
	c := tx.Bucket(bucketLog).Cursor()
	for k, v := c.Seek(indexKey(after + 1)); k != nil; k, v = c.Next() {
		e, err := decodeEntry(k, v)
		if err != nil {
			return nil, err
		}
		if want := after + uint64(len(out)) + 1; e.Index != want {
			return nil, errkind.New(errkind.Corrupt, "log has entry %d where %d belongs", e.Index, want)
		}
		out = append(out, e)
	}
	return out, nil
}

func putHard(tx *bbolt.Tx, h HardState) error {
	body, err := json.Marshal(h)
	if err != nil {
		return err
	}
	return tx.Bucket(bucketMeta).Put(keyHard, seal(body, 0))
}

func putSnapshot(tx *bbolt.Tx, s Snapshot) error {
	var b bytes.Buffer
	if err := gob.NewEncoder(&b).Encode(s); err != nil {
		return err
	}
	return tx.Bucket(bucketSnapshot).Put(keySnapshot, seal(b.Bytes(), 0))
}

func getSnapshot(tx *bbolt.Tx) (Snapshot, error) {
	var s Snapshot
	body, err := unseal(tx.Bucket(bucketSnapshot).Get(keySnapshot), 0)
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
		if err := putHard(tx, h); err != nil {
			return err
		}
		log := tx.Bucket(bucketLog)
		log.FillPercent = 1 // keys only grow
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
	c := log.Cursor()
	for k, _ := c.Seek(indexKey(index)); k != nil; k, _ = c.Seek(indexKey(index)) {
		if err := c.Delete(); err != nil {
			return err
		}
	}
	return nil
}

// SaveSnapshot stores a snapshot and forgets the entries up to dropTo.
func (s *Store) SaveSnapshot(snap Snapshot, dropTo uint64) error {
	return s.db.Update(func(tx *bbolt.Tx) error {
		if err := putSnapshot(tx, snap); err != nil {
			return err
		}
		c := tx.Bucket(bucketLog).Cursor()
		for k, _ := c.First(); k != nil && binary.BigEndian.Uint64(k) <= dropTo; k, _ = c.First() {
			if err := c.Delete(); err != nil {
				return err
			}
		}
		return nil
	})
}

// Snapshot returns the newest snapshot.
func (s *Store) Snapshot() (Snapshot, error) {
	var out Snapshot
	err := s.db.View(func(tx *bbolt.Tx) error {
		var err error
		out, err = getSnapshot(tx)
		return err
	})
	return out, err
}

// Close closes the file.
func (s *Store) Close() error { return s.db.Close() }
