// Package controlstate keeps the control state: a primary control node writes to its
// backups before it answers, and witnesses that hold only epochs and views
// decide who takes over.
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
	// ErrDamaged says that the store on disk holds something that was never
	// written as such. It is reported and never read as an empty store.
	ErrDamaged = errors.New("controlstate: store damaged")
	// ErrFormat says that the store was written by another version.
	ErrFormat = errors.New("controlstate: store of another format")
)

// StoreFile is the name of the store in the data folder.
const StoreFile = "control.db"

// rewriteSuffix ends the name of the file that a rewritten store is made in. It is
// never read under that name.
const rewriteSuffix = ".next"

// storeFormat is the version of the records written here.
const storeFormat = 3

// Keys of the records. Changes of the state follow it, by their sequence.
const (
	diskKey      = "disk"
	registerKey  = "register"
	stateKey     = "state"
	changePrefix = "change/"
)

// The store is rewritten once it is this large, and this many times as large
// as after it was last rewritten.
const (
	compactAbove  = 1 << 20
	compactFactor = 4
)

// diskRecord is the first record of every store.
type diskRecord struct {
	Format int    `json:"format"`
	ID     string `json:"id"`
}

// Store is the synced store of one control node. Each record is a single buntdb
// entry with a checksum, so a torn write loses the record as a whole.
type Store struct {
	path  string
	Disk  string // identity of this disk, drawn when the store was made
	Fresh bool   // the store was made by this opening
	torn  int64  // bytes of an unfinished last write that were cut off

	sem           chan struct{} // held while the store is used; a disk may stall meanwhile
	db            *buntdb.DB
	file          *os.File // for syncing: buntdb keeps the result of its own to itself
	sync          kernel.Sync
	size          int64 // of the file
	compactedSize int64 // that a rewritten file would have had when it was opened, or has had
	unsure        bool  // a sync failed: only a rewritten file is known to be whole
	closed        bool
}

func newStore(path string, sync kernel.Sync) *Store {
	return &Store{path: path, sem: make(chan struct{}, 1), sync: sync}
}

func (s *Store) lock()   { s.sem <- struct{}{} }
func (s *Store) unlock() { <-s.sem }

// OpenStore opens or makes the store in dir. What it holds is on disk, under
// its name, when this returns: the life before may have ended between a write
// and its sync.
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
	whole, err := validPrefix(raw)
	if err != nil {
		return nil, fmt.Errorf("%w: %s: %v", ErrDamaged, s.path, err)
	}
	if s.torn = int64(len(raw) - whole); s.torn > 0 {
		if err := truncateTornTail(s.path, raw, int64(whole)); err != nil {
			return nil, fmt.Errorf("controlstate: %w", err)
		}
	}
	// Power, or the process, went while the store was rewritten.
	if err := os.Remove(s.path + rewriteSuffix); err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, fmt.Errorf("controlstate: %w", err)
	}
	if err := s.open(s.path); err != nil {
		return nil, err
	}
	s.size = int64(whole)
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

// loadDiskID reads the identity of the disk, or draws one for a new store.
func (s *Store) loadDiskID() error {
	var d diskRecord
	found, err := s.Load(diskKey, &d)
	switch {
	case errors.As(err, new(*json.UnmarshalTypeError)) || found && d.Format != storeFormat:
		return fmt.Errorf("%w: %s; this program reads format %d", ErrFormat, s.path, storeFormat)
	case err != nil:
		return fmt.Errorf("%w (%s)", err, s.path)
	case found:
		s.Disk = d.ID
		s.compactedSize, err = s.liveSize()
		return err
	}
	s.Fresh, s.Disk = true, rand.Text()[:12]
	return s.Save(diskKey, diskRecord{storeFormat, s.Disk})
}

// liveSize is about how large a rewritten file would be.
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

// createDir makes the folder, and has its name last, and those of the folders
// above it that had to be made too.
func createDir(dir string, sync kernel.Sync) error {
	above := filepath.Dir(dir)
	if _, err := os.Stat(above); errors.Is(err, os.ErrNotExist) && above != dir {
		if err := createDir(above, sync); err != nil {
			return err
		}
	}
	if err := os.Mkdir(dir, 0o755); err != nil && !errors.Is(err, os.ErrExist) {
		return err
	}
	// A life before may have made it and ended here. A folder above that this
	// process may not read was there before it.
	if err := syncDir(above, sync); err != nil && !errors.Is(err, os.ErrPermission) {
		return err
	}
	return nil
}

// open opens the database at path; syncing is done here, not by buntdb.
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

// truncateTornTail shortens the file to its whole records and keeps what was cut off
// beside it, if there is room. The caller syncs the file.
func truncateTornTail(path string, raw []byte, whole int64) error {
	if os.WriteFile(path+".torn", raw[whole:], 0o644) != nil {
		os.Remove(path + ".torn")
	}
	f, err := os.OpenFile(path, os.O_RDWR, 0)
	if err != nil {
		return err
	}
	defer f.Close()
	return f.Truncate(whole)
}

// Save writes one record and returns once it is on disk.
func (s *Store) Save(key string, v any) error {
	text, err := encodeRecord(v)
	if err != nil {
		return err
	}
	s.lock()
	defer s.unlock()
	return s.writeRecord(key, text)
}

// writeRecord puts a record in the file and syncs it. The caller holds the lock.
func (s *Store) writeRecord(key, text string) error {
	if s.closed {
		return fmt.Errorf("controlstate: %w", os.ErrClosed)
	}
	if s.unsure || s.size > compactAbove && s.size > compactFactor*s.compactedSize {
		if err := s.compact(); err != nil {
			return err
		}
	}
	return s.commitTx(func(tx *buntdb.Tx) error {
		_, _, err := tx.Set(key, text, nil)
		return err
	})
}

// commitTx carries one transaction out and syncs the file.
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
	s.unsure = true
	return fmt.Errorf("controlstate: %w", err)
}

// SaveState writes the whole state, which replaces all changes before it.
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
	// The changes before it are not read any more, whether they go or not.
	if err := s.commitTx(deleteChanges); err != nil {
		s.unsure = true
	}
	return nil
}

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

// Append writes a change as one unit: after a loss of power it is there in
// full or not at all.
func (s *Store) Append(c Change) error {
	return s.Save(fmt.Sprintf("%s%019d", changePrefix, c.Seq), c)
}

// LoadState reads the state with the changes that follow it in its epoch.
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
			return st, fmt.Errorf("%w: a change of the state: %v", ErrDamaged, err)
		}
		if c.Epoch == st.Epoch && c.Seq == st.Seq+1 {
			applyChanges(st.Entries, c.Entries)
			st.Seq, st.revisions = c.Seq, st.revisions.withChange(keysOf(c.Entries), c.Seq)
		}
	}
	return st, nil
}

// compact rewrites the store: into a new file, synced record by record, which
// then takes the old one's name. The caller holds the lock.
func (s *Store) compact() error {
	d, records, err := s.liveRecords()
	if err != nil {
		return err
	}
	next := s.path + rewriteSuffix
	if err := os.Remove(next); err != nil && !errors.Is(err, os.ErrNotExist) {
		return fmt.Errorf("controlstate: %w", err)
	}
	n := newStore(next, s.sync)
	n.compactedSize = math.MaxInt64 / compactFactor
	if err := n.open(next); err != nil {
		return err
	}
	err = n.writeRecord(diskKey, d)
	for key, text := range records {
		if err == nil {
			err = n.writeRecord(key, text)
		}
	}
	if err = errors.Join(err, n.Close()); err != nil {
		os.Remove(next) // a full disk needs the room
		return err
	}
	if err := os.Rename(next, s.path); err != nil {
		return fmt.Errorf("controlstate: %w", err)
	}
	if err := syncDir(filepath.Dir(s.path), s.sync); err != nil {
		s.unsure = true // which of the two files has the name is not known
		return fmt.Errorf("controlstate: %w", err)
	}
	old, oldFile := s.db, s.file
	if err := s.open(s.path); err != nil {
		s.unsure = true
		return err
	}
	oldFile.Close()
	old.Close()
	s.size, s.compactedSize, s.unsure = n.size, n.size, false
	return nil
}

// liveRecords returns the disk's mark, and the records that a file begins with.
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

// Load reads a record into v and tells whether there is one.
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

// loadRegister reads the witness's register; one that contradicts itself was
// never written as such.
func (s *Store) loadRegister() (reg register, found bool, err error) {
	if found, err = s.Load(registerKey, &reg); err == nil && reg.Promised < reg.Accepted.Epoch {
		err = fmt.Errorf("%w: record %q: epoch %d is accepted, and only %d promised", ErrDamaged, registerKey, reg.Accepted.Epoch, reg.Promised)
	}
	return reg, found, err
}

// CheckRegister tells what is wrong with the witness's register, if anything.
func (s *Store) CheckRegister() error {
	_, _, err := s.loadRegister()
	return err
}

// Close closes the store; later calls do nothing.
func (s *Store) Close() error {
	s.lock()
	defer s.unlock()
	if s.closed {
		return nil
	}
	s.closed = true
	return errors.Join(s.file.Close(), s.db.Close())
}
