package controlstate

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"syscall"
	"testing"
)

// powerLossDisk tracks which content of a store's directory is certain to survive a loss of
// power, and checks every possible outcome for the rest: each directory entry created,
// changed or removed since the directory was synced is kept or lost independently, and what
// was written to a file since its last sync is kept, lost or torn.
type powerLossDisk struct {
	t             *testing.T
	dir           string // the directory of the store
	images        string // directory in which the possible outcomes of a loss of power are reconstructed
	dirDurable    bool   // the directory's own entry in its parent is durable
	syncedNames   map[string]uint64
	syncedContent map[uint64][]byte
	files         map[uint64]*os.File // kept open, so that no inode number is reused
	syncs         int
	killAt        int // the process is killed before this sync
	cuts          int // number of parts into which an unsynced write is cut to produce torn writes

	// The contents last acknowledged, and those being written.
	acked, pending storeContents
	checked        map[string]bool
}

// storeContents is the content of a store.
type storeContents struct {
	disk  string
	state State
	reg   register
}

// processKilled is the panic value that ends a simulated process.
type processKilled struct{}

func newPowerLossDisk(t *testing.T, killAt, cuts int) *powerLossDisk {
	base := memoryDir(t)
	return &powerLossDisk{
		t: t, dir: filepath.Join(base, "a", "data"), images: filepath.Join(base, "images"), killAt: killAt, cuts: cuts,
		syncedNames: map[string]uint64{}, syncedContent: map[uint64][]byte{}, files: map[uint64]*os.File{}, checked: map[string]bool{},
	}
}

// memoryDir returns a temporary directory in memory, where syncs are cheap, if there is one:
// a thousand stores are opened there.
func memoryDir(t testing.TB) string {
	dir, err := os.MkdirTemp("/dev/shm", "indigowalk")
	if err != nil {
		return t.TempDir()
	}
	t.Cleanup(func() { os.RemoveAll(dir) })
	return dir
}

// sync replaces the sync of the file system. It first checks every outcome of a loss of power at
// this point.
func (d *powerLossDisk) sync(f *os.File) error {
	d.checkAllOutcomes()
	if d.syncs++; d.syncs == d.killAt {
		panic(processKilled{})
	}
	fi, err := f.Stat()
	if err != nil {
		return err
	}
	switch {
	case !fi.IsDir():
		n := d.inode(f.Name(), fi)
		d.syncedContent[n] = d.content(n)
	case f.Name() == d.dir:
		d.syncedNames = d.readDir()
	case f.Name() == filepath.Dir(d.dir):
		d.dirDurable = true
	}
	return nil
}

// inode returns the inode number of a file and keeps the file open from then on.
func (d *powerLossDisk) inode(path string, fi os.FileInfo) uint64 {
	n := fi.Sys().(*syscall.Stat_t).Ino
	if d.files[n] == nil {
		f, err := os.Open(path)
		if err != nil {
			d.t.Fatal(err)
		}
		d.t.Cleanup(func() { f.Close() })
		d.files[n] = f
	}
	return n
}

func (d *powerLossDisk) content(n uint64) []byte {
	raw, err := io.ReadAll(io.NewSectionReader(d.files[n], 0, 1<<30))
	if err != nil {
		d.t.Fatal(err)
	}
	return raw
}

// readDir returns the directory as a running process sees it: inode numbers by name.
func (d *powerLossDisk) readDir() map[string]uint64 {
	out := map[string]uint64{}
	entries, err := os.ReadDir(d.dir)
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		d.t.Fatal(err)
	}
	for _, e := range entries {
		fi, err := e.Info()
		if err != nil {
			d.t.Fatal(err)
		}
		out[e.Name()] = d.inode(filepath.Join(d.dir, e.Name()), fi)
	}
	return out
}

// checkAllOutcomes checks the store for every content of the directory that may be left by a loss
// of power at this point.
func (d *powerLossDisk) checkAllOutcomes() {
	current := d.readDir()
	if !d.dirDurable {
		d.checkOutcome(map[string][]byte{})
	}
	layouts := []map[string]uint64{{}}
	for _, name := range slices.Sorted(maps.Keys(mergedMaps(current, d.syncedNames))) {
		var next []map[string]uint64
		for _, layout := range layouts {
			for _, from := range []map[string]uint64{d.syncedNames, current} {
				extended := maps.Clone(layout)
				if n, exists := from[name]; exists {
					extended[name] = n
				}
				next = append(next, extended)
			}
		}
		layouts = next
	}
	for _, layout := range layouts {
		image := map[string][]byte{}
		for name, n := range layout {
			image[name] = d.content(n)
		}
		if n, exists := layout[StoreFile]; exists {
			for _, raw := range d.possibleContents(n) {
				image[StoreFile] = raw
				d.checkOutcome(image)
			}
		} else {
			d.checkOutcome(image)
		}
	}
}

func mergedMaps(a, b map[string]uint64) map[string]uint64 {
	out := maps.Clone(a)
	maps.Copy(out, b)
	return out
}

// possibleContents returns every content of a file that a loss of power may leave.
func (d *powerLossDisk) possibleContents(n uint64) [][]byte {
	synced, current := d.syncedContent[n], d.content(n)
	out := [][]byte{synced, current}
	if appended, grown := bytes.CutPrefix(current, synced); grown && len(appended) > 1 {
		holed := bytes.Clone(appended)
		clear(holed[len(appended)/3 : len(appended)/2])
		out = append(out, slices.Concat(synced, make([]byte, len(appended))), slices.Concat(synced, holed))
		for i := 1; i < d.cuts; i++ {
			out = append(out, slices.Concat(synced, appended[:len(appended)*i/d.cuts]))
		}
	}
	return out
}

// checkOutcome opens the store in a directory as it is after a loss of power. The store must open,
// and contain what was acknowledged, or that and all of what was being written.
func (d *powerLossDisk) checkOutcome(image map[string][]byte) {
	d.t.Helper()
	key := fmt.Sprint(d.acked, d.pending)
	for _, name := range slices.Sorted(maps.Keys(image)) {
		key += "\x00" + name + "\x00" + string(image[name])
	}
	if d.checked[key] {
		return
	}
	d.checked[key] = true
	if err := errors.Join(os.RemoveAll(d.images), os.Mkdir(d.images, 0o755)); err != nil {
		d.t.Fatal(err)
	}
	for name, raw := range image {
		if err := os.WriteFile(filepath.Join(d.images, name), raw, 0o644); err != nil {
			d.t.Fatal(err)
		}
	}
	s, err := openStore(d.images, func(*os.File) error { return nil })
	if err != nil {
		d.t.Fatalf("loss of power before sync %d, leaving files %v: %v %q", d.syncs+1, slices.Sorted(maps.Keys(image)), err, image[StoreFile])
	}
	defer s.Close()
	got := readContents(d.t, s)
	if got.disk != d.acked.disk && d.acked.disk != "" || !got.state.equal(d.acked.state) && !got.state.equal(d.pending.state) ||
		got.reg.Promised != d.acked.reg.Promised && got.reg.Promised != d.pending.reg.Promised {
		d.t.Fatalf("loss of power before sync %d, leaving files %v: store contains %+v, acknowledged was %+v, being written was %+v", d.syncs+1, slices.Sorted(maps.Keys(image)), got, d.acked, d.pending)
	}
}

func (s State) equal(other State) bool {
	return s.Epoch == other.Epoch && s.Seq == other.Seq && maps.EqualFunc(s.Entries, other.Entries, equalJSON)
}

func readContents(t *testing.T, s *Store) storeContents {
	state, err := s.LoadState()
	reg, _, rerr := s.loadRegister()
	if err != nil || rerr != nil {
		t.Fatal(err, rerr)
	}
	return storeContents{s.Disk, state, reg}
}

// runProcess simulates one process that opens the store, writes and closes it; it returns false if
// the process was killed before the end.
func (d *powerLossDisk) runProcess() (completed bool) {
	var s *Store
	defer func() {
		if r := recover(); r != nil {
			if _, ok := r.(processKilled); !ok {
				panic(r)
			}
			if s != nil {
				s.file.Close()
				s.db.Close()
			}
		}
	}()
	s, err := openStore(d.dir, d.sync)
	if err != nil {
		d.t.Fatal(err)
	}
	// This process may report what it has read, so that counts as acknowledged.
	d.acked = readContents(d.t, s)
	d.pending = d.acked
	d.checkAllOutcomes()
	current := d.acked
	write := func(next storeContents, f func() error) {
		d.pending = next
		if err := f(); err != nil {
			d.t.Fatal(err)
		}
		current, d.acked = next, next
		d.checkAllOutcomes()
	}
	saveRegister := func() {
		next := current
		next.reg.Promised++
		write(next, func() error { return s.Save(registerKey, next.reg) })
	}
	saveState := func() {
		next := current
		next.state.Epoch, next.state.Entries = current.state.Epoch+1, maps.Clone(current.state.Entries)
		write(next, func() error { return s.SaveState(next.state) })
	}
	appendChange := func(entries map[string]json.RawMessage) {
		next := current
		next.state = current.state.With(entries)
		write(next, func() error { return s.Append(Change{next.state.Epoch, next.state.Seq, entries}) })
	}
	saveRegister()
	saveState()
	appendChange(map[string]json.RawMessage{"a": json.RawMessage(`"some text"`), "b": json.RawMessage(`1`)})
	appendChange(map[string]json.RawMessage{"a": nil, "c": json.RawMessage(`{"x":[1,2]}`)})
	s.size, s.compactedSize = compactThreshold+1, 1 // so that it is compacted
	appendChange(map[string]json.RawMessage{"b": json.RawMessage(`2`)})
	appendChange(map[string]json.RawMessage{"b": json.RawMessage(`3`)})
	saveState()
	s.needsCompaction = true // as after a failed sync
	appendChange(map[string]json.RawMessage{"b": json.RawMessage(`4`)})
	if err := s.Close(); err != nil {
		d.t.Fatal(err)
	}
	return true
}

// tearLastWrite truncates the last write of a killed process to half its length, as may happen when
// a process is killed.
func (d *powerLossDisk) tearLastWrite() {
	n, exists := d.readDir()[StoreFile]
	if !exists {
		return
	}
	if synced, current := d.syncedContent[n], d.content(n); len(current) > len(synced)+1 {
		if err := os.Truncate(filepath.Join(d.dir, StoreFile), int64(len(synced)+(len(current)-len(synced))/2)); err != nil {
			d.t.Fatal(err)
		}
	}
}

// Power may be lost at any point while the store is created, opened, written or compacted,
// also in a second process after the first was killed at any point. The store must open
// with everything that was acknowledged and without any partial write.
func TestStoreSurvivesPowerLossAtEveryPoint(t *testing.T) {
	uninterrupted := newPowerLossDisk(t, 0, 16)
	if !uninterrupted.runProcess() {
		t.Fatal("the process did not complete, although it was not killed")
	}
	points, outcomes := uninterrupted.syncs, len(uninterrupted.checked)
	for kill := 1; kill <= uninterrupted.syncs; kill++ {
		for _, torn := range []bool{false, true} {
			d := newPowerLossDisk(t, kill, 2)
			d.runProcess()
			if torn {
				d.tearLastWrite()
			}
			if !d.runProcess() {
				t.Fatal("the restarted process did not complete")
			}
			points, outcomes = points+d.syncs, outcomes+len(d.checked)
		}
	}
	t.Logf("%d sync points, %d directories checked", points, outcomes)
}
