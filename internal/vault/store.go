// Package vault keeps the control state: a primary archive writes to a backup
// before it answers, and electors that hold only epochs and views decide who
// takes over.
package vault

import (
	"bytes"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"

	"github.com/tidwall/buntdb"
)

// ErrDamaged says that the store on disk holds something that was never
// written as such. It is reported and never read as an empty store.
var ErrDamaged = errors.New("vault: store damaged")

// StoreFile is the name of the store in the data folder.
const StoreFile = "vault.db"

// maxTorn is the longest tail that a power loss can have torn: one record of
// the whole control state. More than that missing is damage.
const maxTorn = 4 << 20

// shrinkAbove is the size past which the store is rewritten at the start.
const shrinkAbove = 8 << 20

// Store is the synced store of one archive. Each record is a single buntdb
// entry with a checksum, so a torn write loses the record as a whole.
type Store struct {
	db    *buntdb.DB
	path  string
	Disk  string // identity of this disk, drawn when the store was made
	Fresh bool   // the store was made by this opening
	torn  int64  // bytes of an unfinished last write that were cut off

	once sync.Once
}

// OpenStore opens or makes the store in dir.
func OpenStore(dir string) (*Store, error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, fmt.Errorf("vault: %w", err)
	}
	s := &Store{path: filepath.Join(dir, StoreFile)}
	raw, err := os.ReadFile(s.path)
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, fmt.Errorf("vault: %w", err)
	}
	if !ours(raw) {
		return nil, fmt.Errorf("%w: %s is not a store of an archive", ErrDamaged, s.path)
	}
	if s.db, err = buntdb.Open(s.path); errors.Is(err, buntdb.ErrInvalid) {
		if s.torn, err = cutTornTail(s.path); err != nil {
			return nil, err
		}
		s.db, err = buntdb.Open(s.path)
	}
	if err != nil {
		return nil, fmt.Errorf("%w: %v", ErrDamaged, err)
	}
	err = s.db.SetConfig(buntdb.Config{SyncPolicy: buntdb.Always, AutoShrinkDisabled: true})
	if err != nil {
		return nil, fmt.Errorf("vault: %w", err)
	}
	if err := s.shrink(); err != nil {
		return nil, err
	}
	found, err := s.Load("disk", &s.Disk)
	if err != nil {
		return nil, err
	}
	if !found {
		s.Fresh, s.Disk = true, rand.Text()[:12]
		if err := s.Save("disk", s.Disk); err != nil {
			return nil, err
		}
		if err := syncDir(dir); err != nil {
			return nil, err
		}
	}
	return s, nil
}

// firstRecord is how every store begins: with the identity of its disk.
const firstRecord = "*3\r\n$3\r\nset\r\n$4\r\ndisk\r\n"

// ours tells whether a file is a store, or the torn beginning of one that
// held nothing yet. What buntdb can't read it would take for empty.
func ours(raw []byte) bool {
	return bytes.HasPrefix(raw, []byte(firstRecord)) || strings.HasPrefix(firstRecord, string(raw))
}

func (s *Store) shrink() error {
	fi, err := os.Stat(s.path)
	if err != nil || fi.Size() < shrinkAbove {
		return nil
	}
	if err := s.db.Shrink(); err != nil {
		return fmt.Errorf("vault: %w", err)
	}
	return syncDir(filepath.Dir(s.path))
}

func syncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return fmt.Errorf("vault: %w", err)
	}
	defer d.Close()
	if err := d.Sync(); err != nil {
		return fmt.Errorf("vault: %w", err)
	}
	return nil
}

// cutTornTail shortens a file whose last write was torn to the longest prefix
// that loads, and keeps the torn file beside it.
func cutTornTail(path string) (int64, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return 0, fmt.Errorf("vault: %w", err)
	}
	if err := os.WriteFile(path+".torn", raw, 0o644); err != nil {
		return 0, fmt.Errorf("vault: %w", err)
	}
	good, bad := 0, len(raw)
	for bad-good > 1 {
		mid := (good + bad) / 2
		ok, err := loads(path+".try", raw[:mid])
		if err != nil {
			return 0, err
		}
		if ok {
			good = mid
		} else {
			bad = mid
		}
	}
	if torn := len(raw) - good; torn > maxTorn || good == 0 {
		return 0, fmt.Errorf("%w: %s: unreadable from byte %d of %d", ErrDamaged, path, good, len(raw))
	}
	f, err := os.OpenFile(path, os.O_RDWR, 0)
	if err != nil {
		return 0, fmt.Errorf("vault: %w", err)
	}
	defer f.Close()
	if err := f.Truncate(int64(good)); err != nil {
		return 0, fmt.Errorf("vault: %w", err)
	}
	return int64(len(raw) - good), f.Sync()
}

func loads(path string, raw []byte) (bool, error) {
	if err := os.WriteFile(path, raw, 0o644); err != nil {
		return false, fmt.Errorf("vault: %w", err)
	}
	defer os.Remove(path)
	db, err := buntdb.Open(path)
	if err != nil {
		return false, nil
	}
	return true, db.Close()
}

// Save writes one record and returns once it is on disk.
func (s *Store) Save(key string, v any) error {
	raw, err := json.Marshal(v)
	if err != nil {
		return fmt.Errorf("vault: %w", err)
	}
	sum := strconv.FormatUint(uint64(crc32.ChecksumIEEE(raw)), 16)
	err = s.db.Update(func(tx *buntdb.Tx) error {
		_, _, err := tx.Set(key, sum+" "+string(raw), nil)
		return err
	})
	if err != nil {
		return fmt.Errorf("vault: %w", err)
	}
	return nil
}

// Load reads a record into v and tells whether there is one.
func (s *Store) Load(key string, v any) (bool, error) {
	var text string
	err := s.db.View(func(tx *buntdb.Tx) (err error) {
		text, err = tx.Get(key)
		return err
	})
	if errors.Is(err, buntdb.ErrNotFound) {
		return false, nil
	}
	if err != nil {
		return false, fmt.Errorf("vault: %w", err)
	}
	sum, raw, _ := strings.Cut(text, " ")
	if want, err := strconv.ParseUint(sum, 16, 32); err != nil || uint32(want) != crc32.ChecksumIEEE([]byte(raw)) {
		return false, fmt.Errorf("%w: record %q fails its checksum", ErrDamaged, key)
	}
	if err := json.Unmarshal([]byte(raw), v); err != nil {
		return false, fmt.Errorf("%w: record %q: %v", ErrDamaged, key, err)
	}
	return true, nil
}

// Close closes the store; later calls do nothing.
func (s *Store) Close() (err error) {
	s.once.Do(func() { err = s.db.Close() })
	return err
}
