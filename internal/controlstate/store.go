// Package controlstate implements the replicated control state. A primary control node
// replicates each change to its backups before it acknowledges it; witnesses, which store
// only epochs and views, elect the primary.
package controlstate

import (
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"os"
	"path/filepath"

	"github.com/tidwall/buntdb"

	"indigowalk/internal/kernel"
)

// Errors of the store.
var (
	// ErrDamaged means that the store on disk holds data that was never written in that
	// form. Such a store is reported as damaged and never treated as an empty one.
	ErrDamaged = errors.New("controlstate: store damaged")
	// ErrFormat means that the store was written in the format of another version.
	ErrFormat = errors.New("controlstate: unsupported store format")
)

// StoreFile is the name of the store file in the data directory.
const StoreFile = "control.db"

// rewriteSuffix is the suffix of the temporary file that a compacted store is written to.
// A file with this suffix is never read.
const rewriteSuffix = ".next"

// storeFormat is the version of the record format that this package writes.
const storeFormat = 3

// Keys of the records. Each change that follows the stored state has a record of its own:
// changePrefix and its sequence number.
const (
	diskKey      = "disk"
	registerKey  = "register"
	stateKey     = "state"
	changePrefix = "change/"
)

// The store is compacted once it is larger than compactThreshold bytes and compactFactor times
// as large as it was after the last compaction.
const (
	compactThreshold = 1 << 20
	compactFactor    = 4
)

// diskRecord is the first record of every store: its format and the identity of the disk.
type diskRecord struct {
	Format int    `json:"format"`
	ID     string `json:"id"`
}

// Store is the durable store of one control node; every write is synced. Each record is a
// single buntdb entry with a checksum, so a torn write loses the record as a whole.
type Store struct {
	path      string
	Disk      string // identity of this disk, generated when the store was created
	Created   bool   // the store was created by this call of OpenStore
	tornBytes int64  // bytes of an incomplete last write that were truncated

	sem             chan struct{} // held while the store is in use; the disk may stall meanwhile
	db              *buntdb.DB
	file            *os.File // for syncing: buntdb does not report the result of its own syncs
	sync            kernel.Sync
	size            int64 // of the file, in bytes
	compactedSize   int64 // size after the last compaction; an estimate of it after opening
	needsCompaction bool  // a sync failed: only a compacted file is known to be intact
	closed          bool
}

func newStore(path string, sync kernel.Sync) *Store {
	return &Store{path: path, sem: make(chan struct{}, 1), sync: sync}
}

func (s *Store) lock()   { s.sem <- struct{}{} }
func (s *Store) unlock() { <-s.sem }

// OpenStore opens the store in dir, or creates it. When it returns, the content of the
// store and its directory entry are synced: the previous process may have ended between a
// write and its sync.
func OpenStore(dir string) (*Store, error) { return openStore(dir, (*os.File).Sync) }

func openStore(dir string, sync kernel.Sync) (*Store, error) {
	if err := createDir(dir, sync); err != nil {
		return nil, fmt.Errorf("controlstate: %w", err)
	}
	s := newStore(filepath.Join(dir, StoreFile), sync)
	raw, err := os.ReadFile(s.path)
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, fmt.Errorf("controlstate: %w", err)
	}
	intact, err := validPrefix(raw)
	if err != nil {
		return nil, fmt.Errorf("%w: %s: %v", ErrDamaged, s.path, err)
	}
	if s.tornBytes = int64(len(raw) - intact); s.tornBytes > 0 {
		if err := truncateTornTail(s.path, raw, int64(intact)); err != nil {
			return nil, fmt.Errorf("controlstate: %w", err)
		}
	}
	// Remove the file of a compaction that was interrupted by a loss of power or the end of the
	// process.
	if err := os.Remove(s.path + rewriteSuffix); err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, fmt.Errorf("controlstate: %w", err)
	}
	if err := s.open(s.path); err != nil {
		return nil, err
	}
	s.size = int64(intact)
	if err := s.loadDiskID(); err != nil {
		s.Close()
		return nil, err
	}
	if err := errors.Join(sync(s.file), syncDir(dir, sync)); err != nil {
		s.Close()
		return nil, fmt.Errorf("controlstate: %w", err)
	}
	return s, nil
}

// loadDiskID reads the identity of the disk, or generates one for a new store.
func (s *Store) loadDiskID() error {
	var record diskRecord
	found, err := s.Load(diskKey, &record)
	switch {
	case errors.As(err, new(*json.UnmarshalTypeError)) || found && record.Format != storeFormat:
		return fmt.Errorf("%w: %s; this version reads format %d", ErrFormat, s.path, storeFormat)
	case err != nil:
		return fmt.Errorf("%w (%s)", err, s.path)
	case found:
		s.Disk = record.ID
		s.compactedSize, err = s.liveSize()
		return err
	}
	s.Created, s.Disk = true, rand.Text()[:12]
	return s.Save(diskKey, diskRecord{storeFormat, s.Disk})
}

// liveSize returns approximately the size that the file would have after a compaction.
func (s *Store) liveSize() (size int64, err error) {
	err = s.db.View(func(tx *buntdb.Tx) error {
		for _, key := range []string{diskKey, registerKey, stateKey} {
			text, err := tx.Get(key, true)
			if err != nil && !errors.Is(err, buntdb.ErrNotFound) {
				return err
			}
			size += int64(len(text))
		}
		return nil
	})
	if err != nil {
		return 0, fmt.Errorf("controlstate: %w", err)
	}
	return size, nil
}

// createDir creates the directory and any missing parents, and syncs the parent of each so
// that the new directory entries are durable.
func createDir(dir string, sync kernel.Sync) error {
	parent := filepath.Dir(dir)
	if _, err := os.Stat(parent); errors.Is(err, os.ErrNotExist) && parent != dir {
		if err := createDir(parent, sync); err != nil {
			return err
		}
	}
	if err := os.Mkdir(dir, 0o755); err != nil && !errors.Is(err, os.ErrExist) {
		return err
	}
	// A previous process may have created the directory and ended before this sync. A
	// parent that this process may not read existed before the directory did.
	if err := syncDir(parent, sync); err != nil && !errors.Is(err, os.ErrPermission) {
		return err
	}
	return nil
}

// open opens the database at path. The Store syncs the file itself instead of buntdb.
func (s *Store) open(path string) error {
	db, err := buntdb.Open(path)
	if err != nil {
		return fmt.Errorf("%w: %s: %v", ErrDamaged, path, err)
	}
	if err := db.SetConfig(buntdb.Config{SyncPolicy: buntdb.Never, AutoShrinkDisabled: true}); err != nil {
		db.Close()
		return fmt.Errorf("controlstate: %w", err)
	}
	f, err := os.OpenFile(path, os.O_RDWR, 0)
	if err != nil {
		db.Close()
		return fmt.Errorf("controlstate: %w", err)
	}
	s.db, s.file = db, f
	return nil
}

func syncDir(dir string, sync kernel.Sync) error {
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	defer d.Close()
	return sync(d)
}

// truncateTornTail truncates the file to its intact records and keeps the bytes that it
// removes in a .torn file beside it, if there is room. The caller syncs the file.
func truncateTornTail(path string, raw []byte, intact int64) error {
	if os.WriteFile(path+".torn", raw[intact:], 0o644) != nil {
		os.Remove(path + ".torn")
	}
	f, err := os.OpenFile(path, os.O_RDWR, 0)
	if err != nil {
		return err
	}
	defer f.Close()
	return f.Truncate(intact)
}

// Save writes one record and returns once it is synced to disk.
func (s *Store) Save(key string, v any) error {
	text, err := encodeRecord(v)
	if err != nil {
		return err
	}
	s.lock()
	defer s.unlock()
	return s.writeRecord(key, text)
}

// writeRecord writes an encoded record and syncs the file, which it compacts first if that
// is due. The caller holds the lock.
func (s *Store) writeRecord(key, text string) error {
	if s.closed {
		return fmt.Errorf("controlstate: %w", os.ErrClosed)
	}
	if s.needsCompaction || s.size > compactThreshold && s.size > compactFactor*s.compactedSize {
		if err := s.compact(); err != nil {
			return err
		}
	}
	return s.commitTx(func(tx *buntdb.Tx) error {
		_, _, err := tx.Set(key, text, nil)
		return err
	})
}

// commitTx runs one transaction and syncs the file.
func (s *Store) commitTx(change func(*buntdb.Tx) error) error {
	if err := s.db.Update(change); err != nil {
		return fmt.Errorf("controlstate: %w", err)
	}
	err := s.sync(s.file)
	if err == nil {
		var fi os.FileInfo
		if fi, err = s.file.Stat(); err == nil {
			s.size = fi.Size()
			return nil
		}
	}
	s.needsCompaction = true
	return fmt.Errorf("controlstate: %w", err)
}

// SaveState writes the whole state, which replaces the stored state and all changes that
// follow it.
func (s *Store) SaveState(st State) error {
	text, err := encodeRecord(st)
	if err != nil {
		return err
	}
	s.lock()
	defer s.unlock()
	if err := s.writeRecord(stateKey, text); err != nil {
		return err
	}
	// The earlier changes are ignored from now on, whether or not they are deleted.
	if err := s.commitTx(deleteChanges); err != nil {
		s.needsCompaction = true
	}
	return nil
}

// deleteChanges deletes the records of all changes.
func deleteChanges(tx *buntdb.Tx) error {
	var old []string
	if err := tx.AscendKeys(changePrefix+"*", func(key, _ string) bool {
		old = append(old, key)
		return true
	}); err != nil {
		return err
	}
	for _, key := range old {
		if _, err := tx.Delete(key); err != nil {
			return err
		}
	}
	return nil
}

// Append writes a change atomically: after a loss of power it is stored completely or not
// at all.
func (s *Store) Append(c Change) error {
	return s.Save(fmt.Sprintf("%s%019d", changePrefix, c.Seq), c)
}

// LoadState reads the stored state and applies the changes of its epoch that follow it.
func (s *Store) LoadState() (State, error) {
	s.lock()
	defer s.unlock()
	return s.loadState()
}

func (s *Store) loadState() (State, error) {
	var st State
	found, err := s.load(stateKey, &st)
	if err != nil || !found {
		return st, err
	}
	st = st.WithoutRevisions()
	if st.Entries == nil {
		st.Entries = map[string]json.RawMessage{}
	}
	var texts []string
	err = s.db.View(func(tx *buntdb.Tx) error {
		return tx.AscendKeys(changePrefix+"*", func(_, text string) bool {
			texts = append(texts, text)
			return true
		})
	})
	if err != nil {
		return st, fmt.Errorf("controlstate: %w", err)
	}
	for _, text := range texts {
		var c Change
		if err := decodeRecord(text, &c); err != nil {
			return st, fmt.Errorf("%w: change record: %v", ErrDamaged, err)
		}
		if c.Epoch == st.Epoch && c.Seq == st.Seq+1 {
			applyChanges(st.Entries, c.Entries)
			st.Seq, st.revisions = c.Seq, st.revisions.withChange(keysOf(c.Entries), c.Seq)
		}
	}
	return st, nil
}

// compact writes the live records to a new file, synced record by record, and renames it
// over the old one. The caller holds the lock.
func (s *Store) compact() error {
	disk, records, err := s.liveRecords()
	if err != nil {
		return err
	}
	nextPath := s.path + rewriteSuffix
	if err := os.Remove(nextPath); err != nil && !errors.Is(err, os.ErrNotExist) {
		return fmt.Errorf("controlstate: %w", err)
	}
	nextStore := newStore(nextPath, s.sync)
	nextStore.compactedSize = math.MaxInt64 / compactFactor
	if err := nextStore.open(nextPath); err != nil {
		return err
	}
	err = nextStore.writeRecord(diskKey, disk)
	for key, text := range records {
		if err == nil {
			err = nextStore.writeRecord(key, text)
		}
	}
	if err = errors.Join(err, nextStore.Close()); err != nil {
		os.Remove(nextPath) // frees the space on a full disk
		return err
	}
	if err := os.Rename(nextPath, s.path); err != nil {
		return fmt.Errorf("controlstate: %w", err)
	}
	if err := syncDir(filepath.Dir(s.path), s.sync); err != nil {
		s.needsCompaction = true // it is unknown which of the two files has the name
		return fmt.Errorf("controlstate: %w", err)
	}
	old, oldFile := s.db, s.file
	if err := s.open(s.path); err != nil {
		s.needsCompaction = true
		return err
	}
	oldFile.Close()
	old.Close()
	s.size, s.compactedSize, s.needsCompaction = nextStore.size, nextStore.size, false
	return nil
}

// liveRecords returns the record with the identity of the disk, and the other records that
// a compacted file begins with.
func (s *Store) liveRecords() (disk string, records map[string]string, err error) {
	records = map[string]string{}
	err = s.db.View(func(tx *buntdb.Tx) (err error) {
		if disk, err = tx.Get(diskKey); err != nil {
			return err
		}
		register, err := tx.Get(registerKey)
		if errors.Is(err, buntdb.ErrNotFound) {
			return nil
		}
		records[registerKey] = register
		return err
	})
	if err != nil {
		return "", nil, fmt.Errorf("controlstate: %w", err)
	}
	st, err := s.loadState()
	if err == nil && st.Epoch > 0 {
		records[stateKey], err = encodeRecord(st)
	}
	return disk, records, err
}

// Load reads a record into v and reports whether it exists.
func (s *Store) Load(key string, v any) (bool, error) {
	s.lock()
	defer s.unlock()
	return s.load(key, v)
}

func (s *Store) load(key string, v any) (bool, error) {
	var text string
	err := s.db.View(func(tx *buntdb.Tx) (err error) {
		text, err = tx.Get(key)
		return err
	})
	if errors.Is(err, buntdb.ErrNotFound) {
		return false, nil
	}
	if err != nil {
		return false, fmt.Errorf("controlstate: %w", err)
	}
	if err := decodeRecord(text, v); err != nil {
		return false, fmt.Errorf("%w: record %q: %w", ErrDamaged, key, err)
	}
	return true, nil
}

// loadRegister reads the witness's register. A register that accepted a higher epoch than
// it promised was never written in that form and is reported as damaged.
func (s *Store) loadRegister() (reg register, found bool, err error) {
	if found, err = s.Load(registerKey, &reg); err == nil && reg.Promised < reg.Accepted.Epoch {
		err = fmt.Errorf("%w: record %q: accepted epoch %d is above promised epoch %d", ErrDamaged, registerKey, reg.Accepted.Epoch, reg.Promised)
	}
	return reg, found, err
}

// CheckRegister returns an error if the witness's register is damaged.
func (s *Store) CheckRegister() error {
	_, _, err := s.loadRegister()
	return err
}

// Close closes the store; further calls have no effect.
func (s *Store) Close() error {
	s.lock()
	defer s.unlock()
	if s.closed {
		return nil
	}
	s.closed = true
	return errors.Join(s.file.Close(), s.db.Close())
}
