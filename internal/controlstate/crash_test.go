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

// powerLossDisk follows what of a store's folder is sure to outlast a loss of power,
// and tries whatever else may: each name made, changed or removed since its
// folder was synced is kept or lost by itself, and what was written to a file
// since that was synced is kept, lost or torn.
type powerLossDisk struct {
	t      *testing.T
	dir    string // the folder
	images string // where folders are made as they would be after a loss of power
	made   bool   // the folder's own name lasts
	names  map[string]uint64
	synced map[uint64][]byte
	files  map[uint64]*os.File // held open, so that no number is used twice
	syncs  int
	killAt int // the process ends before that sync
	cuts   int // of each unsynced write

	// What was acknowledged, and what is being written.
	acked, tried storeContents
	tested       map[string]bool
}

// storeContents is what a store holds.
type storeContents struct {
	disk  string
	state State
	reg   register
}

type processKilled struct{}

func newPowerLossDisk(t *testing.T, killAt, cuts int) *powerLossDisk {
	base := memoryDir(t)
	return &powerLossDisk{
		t: t, dir: filepath.Join(base, "a", "data"), images: filepath.Join(base, "images"), killAt: killAt, cuts: cuts,
		names: map[string]uint64{}, synced: map[uint64][]byte{}, files: map[uint64]*os.File{}, tested: map[string]bool{},
	}
}

// memoryDir is a folder where syncs cost nothing, if there is such a one: a
// thousand stores are opened there.
func memoryDir(t testing.TB) string {
	dir, err := os.MkdirTemp("/dev/shm", "indigowalk")
	if err != nil {
		return t.TempDir()
	}
	t.Cleanup(func() { os.RemoveAll(dir) })
	return dir
}

// sync stands in for the real one.
func (d *powerLossDisk) sync(f *os.File) error {
	d.tryAll()
	if d.syncs++; d.syncs == d.killAt {
		panic(processKilled{})
	}
	fi, err := f.Stat()
	if err != nil {
		return err
	}
	switch {
	case !fi.IsDir():
		n := d.number(f.Name(), fi)
		d.synced[n] = d.content(n)
	case f.Name() == d.dir:
		d.names = d.listed()
	case f.Name() == filepath.Dir(d.dir):
		d.made = true
	}
	return nil
}

// number is that of a file, which is held from then on.
func (d *powerLossDisk) number(path string, fi os.FileInfo) uint64 {
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

// listed is the folder as a running process sees it.
func (d *powerLossDisk) listed() map[string]uint64 {
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
		out[e.Name()] = d.number(filepath.Join(d.dir, e.Name()), fi)
	}
	return out
}

// tryAll opens the store in every folder that a loss of power now may leave.
func (d *powerLossDisk) tryAll() {
	now := d.listed()
	if !d.made {
		d.try(map[string][]byte{})
	}
	folders := []map[string]uint64{{}}
	for _, name := range slices.Sorted(maps.Keys(mergedMaps(now, d.names))) {
		var more []map[string]uint64
		for _, f := range folders {
			for _, from := range []map[string]uint64{d.names, now} {
				g := maps.Clone(f)
				if n, there := from[name]; there {
					g[name] = n
				}
				more = append(more, g)
			}
		}
		folders = more
	}
	for _, f := range folders {
		image := map[string][]byte{}
		for name, n := range f {
			image[name] = d.content(n)
		}
		if n, there := f[StoreFile]; there {
			for _, raw := range d.left(n) {
				image[StoreFile] = raw
				d.try(image)
			}
		} else {
			d.try(image)
		}
	}
}

func mergedMaps(a, b map[string]uint64) map[string]uint64 {
	out := maps.Clone(a)
	maps.Copy(out, b)
	return out
}

// left is what may be left of a file.
func (d *powerLossDisk) left(n uint64) [][]byte {
	was, is := d.synced[n], d.content(n)
	out := [][]byte{was, is}
	if extra, grown := bytes.CutPrefix(is, was); grown && len(extra) > 1 {
		holed := bytes.Clone(extra)
		clear(holed[len(extra)/3 : len(extra)/2])
		out = append(out, slices.Concat(was, make([]byte, len(extra))), slices.Concat(was, holed))
		for i := 1; i < d.cuts; i++ {
			out = append(out, slices.Concat(was, extra[:len(extra)*i/d.cuts]))
		}
	}
	return out
}

// try opens a folder as it is after a loss of power: it must open, and hold what
// was acknowledged, or that and all of what was being written.
func (d *powerLossDisk) try(image map[string][]byte) {
	d.t.Helper()
	key := fmt.Sprint(d.acked, d.tried)
	for _, name := range slices.Sorted(maps.Keys(image)) {
		key += "\x00" + name + "\x00" + string(image[name])
	}
	if d.tested[key] {
		return
	}
	d.tested[key] = true
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
		d.t.Fatalf("before sync %d, %v left: %v %q", d.syncs+1, slices.Sorted(maps.Keys(image)), err, image[StoreFile])
	}
	defer s.Close()
	got := readContents(d.t, s)
	if got.disk != d.acked.disk && d.acked.disk != "" || !got.state.equal(d.acked.state) && !got.state.equal(d.tried.state) ||
		got.reg.Promised != d.acked.reg.Promised && got.reg.Promised != d.tried.reg.Promised {
		d.t.Fatalf("before sync %d, %v left: holds %+v, acknowledged was %+v, being written %+v", d.syncs+1, slices.Sorted(maps.Keys(image)), got, d.acked, d.tried)
	}
}

func (s State) equal(o State) bool {
	return s.Epoch == o.Epoch && s.Seq == o.Seq && maps.EqualFunc(s.Entries, o.Entries, equalJSON)
}

func readContents(t *testing.T, s *Store) storeContents {
	state, err := s.LoadState()
	reg, _, rerr := s.loadRegister()
	if err != nil || rerr != nil {
		t.Fatal(err, rerr)
	}
	return storeContents{s.Disk, state, reg}
}

// life opens the store, writes and closes it, unless it is killed before.
func (d *powerLossDisk) life() (ended bool) {
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
	// What this life has read it may speak of.
	d.acked = readContents(d.t, s)
	d.tried = d.acked
	d.tryAll()
	now := d.acked
	write := func(next storeContents, f func() error) {
		d.tried = next
		if err := f(); err != nil {
			d.t.Fatal(err)
		}
		now, d.acked = next, next
		d.tryAll()
	}
	register := func() {
		next := now
		next.reg.Promised++
		write(next, func() error { return s.Save(registerKey, next.reg) })
	}
	whole := func() {
		next := now
		next.state.Epoch, next.state.Entries = now.state.Epoch+1, maps.Clone(now.state.Entries)
		write(next, func() error { return s.SaveState(next.state) })
	}
	change := func(entries map[string]json.RawMessage) {
		next := now
		next.state = now.state.With(entries)
		write(next, func() error { return s.Append(Change{next.state.Epoch, next.state.Seq, entries}) })
	}
	register()
	whole()
	change(map[string]json.RawMessage{"a": json.RawMessage(`"some text"`), "b": json.RawMessage(`1`)})
	change(map[string]json.RawMessage{"a": nil, "c": json.RawMessage(`{"x":[1,2]}`)})
	s.size, s.compactedSize = compactAbove+1, 1 // so that it is rewritten
	change(map[string]json.RawMessage{"b": json.RawMessage(`2`)})
	change(map[string]json.RawMessage{"b": json.RawMessage(`3`)})
	whole()
	s.unsure = true // as after a sync that failed
	change(map[string]json.RawMessage{"b": json.RawMessage(`4`)})
	if err := s.Close(); err != nil {
		d.t.Fatal(err)
	}
	return true
}

// crash leaves the last write of a killed process half done, as a kill may.
func (d *powerLossDisk) crash() {
	n, there := d.listed()[StoreFile]
	if !there {
		return
	}
	if was, is := d.synced[n], d.content(n); len(is) > len(was)+1 {
		if err := os.Truncate(filepath.Join(d.dir, StoreFile), int64(len(was)+(len(is)-len(was))/2)); err != nil {
			d.t.Fatal(err)
		}
	}
}

// Power may go at any point of making, opening, writing and rewriting the store,
// and of a second life after the first was killed at any point: the store opens
// with all that was acknowledged and with no part of a write.
func TestPowerLostAtEveryPoint(t *testing.T) {
	whole := newPowerLossDisk(t, 0, 16)
	if !whole.life() {
		t.Fatal("killed by nobody")
	}
	points, tried := whole.syncs, len(whole.tested)
	for kill := 1; kill <= whole.syncs; kill++ {
		for _, tear := range []bool{false, true} {
			d := newPowerLossDisk(t, kill, 2)
			d.life()
			if tear {
				d.crash()
			}
			if !d.life() {
				t.Fatal("killed twice")
			}
			points, tried = points+d.syncs, tried+len(d.tested)
		}
	}
	t.Logf("%d points, %d folders", points, tried)
}
