package controlstate

import (
	"bytes"
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"indigowalk/internal/kernel"
)

func open(t *testing.T, dir string) *Store {
	t.Helper()
	s, err := OpenStore(dir)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { s.Close() })
	return s
}

func TestTornLastWriteIsTruncated(t *testing.T) {
	dir := t.TempDir()
	s := open(t, dir)
	disk := s.Disk
	if err := s.SaveState(State{Epoch: 4, Seq: 7}); err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(dir, StoreFile)
	before, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if err := s.Append(Change{4, 8, map[string]json.RawMessage{"a": json.RawMessage(`"some text"`)}}); err != nil {
		t.Fatal(err)
	}
	s.Close()
	whole, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	last := whole[len(before):]
	holed := bytes.Clone(last)
	clear(holed[len(holed)/2 : len(holed)/2+16]) // a block that was never written to disk
	for cut := 0; cut < len(last); cut += 7 {
		check := func(tail []byte) {
			if err := os.WriteFile(path, slices.Concat(before, tail), 0o644); err != nil {
				t.Fatal(err)
			}
			s := open(t, dir)
			defer s.Close()
			if st, err := s.LoadState(); err != nil || st.Seq != 7 || len(st.Entries) != 0 || s.Disk != disk || s.Created {
				t.Fatalf("%d bytes of the last write: state %+v %v, disk %q created %v", cut, st, err, s.Disk, s.Created)
			}
		}
		check(last[:cut])
		check(slices.Concat(last[:cut], make([]byte, len(last)-cut)))
		if cut == 0 {
			check(holed)
		}
	}
}

// Damage is distinguished from a torn last write: opening the store fails with an error that names
// the file and the record, and no synced record is discarded.
func TestDamagedStoreIsReported(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, StoreFile)
	s := open(t, dir)
	if err := s.SaveState(State{Epoch: 4, Seq: 7}); err != nil {
		t.Fatal(err)
	}
	if err := s.Append(Change{Epoch: 4, Seq: 8}); err != nil {
		t.Fatal(err)
	}
	s.Close()
	good, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	state := bytes.Index(good, []byte(`"seq":7`))
	for name, c := range map[string]struct {
		raw  []byte
		want error
	}{
		"a flipped bit in the last record":   {flipBit(good, len(good)-8), ErrDamaged},
		"a flipped bit in an earlier record": {flipBit(good, state), ErrDamaged},
		"zeros before a complete record":     {slices.Concat(good[:state], make([]byte, 9), good[state+9:]), ErrDamaged},
		"another program's file":             {[]byte("not a store at all"), ErrDamaged},
		"the previous format":                {[]byte("*3\r\n$3\r\nset\r\n$4\r\ndisk\r\n$14\r\ne5a0a1a \"ABCD\"\r\n"), ErrDamaged},
		"another format":                     {storeOfOtherFormat(t), ErrFormat},
	} {
		if err := os.WriteFile(path, c.raw, 0o644); err != nil {
			t.Fatal(err)
		}
		if _, err := OpenStore(dir); !errors.Is(err, c.want) || !strings.Contains(err.Error(), path) {
			t.Errorf("%s: %v", name, err)
		}
	}
	reg := open(t, t.TempDir())
	if err := reg.Save(registerKey, register{Promised: 2, Accepted: View{Epoch: 3}}); err != nil {
		t.Fatal(err)
	}
	if err := reg.CheckRegister(); !errors.Is(err, ErrDamaged) || !strings.Contains(err.Error(), registerKey) {
		t.Errorf("a register that accepted a later epoch than it promised: %v", err)
	}
}

func flipBit(raw []byte, at int) []byte {
	out := bytes.Clone(raw)
	out[at] ^= 1
	return out
}

// storeOfOtherFormat returns the file of a store whose identity was written as a plain string.
func storeOfOtherFormat(t *testing.T) []byte {
	dir := t.TempDir()
	s := open(t, dir)
	if err := s.Save(diskKey, "ABCD"); err != nil {
		t.Fatal(err)
	}
	raw, err := os.ReadFile(filepath.Join(dir, StoreFile))
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

// The store stays small while it is in use, and a power loss at any step of its compaction leaves
// either the old or the new file.
func TestStoreCompaction(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, StoreFile)
	s := open(t, dir)
	if err := s.Save(registerKey, register{Promised: 5}); err != nil {
		t.Fatal(err)
	}
	if err := s.SaveState(State{Epoch: 4}); err != nil {
		t.Fatal(err)
	}
	text := json.RawMessage(`"` + strings.Repeat("x", 60<<10) + `"`)
	for seq := int64(1); seq <= 100; seq++ {
		if err := s.Append(Change{4, seq, map[string]json.RawMessage{"a": text}}); err != nil {
			t.Fatal(err)
		}
	}
	s.Close()
	if fi, err := os.Stat(path); err != nil || fi.Size() > 3*compactThreshold {
		t.Errorf("after 6 MB of changes the size of the store is %d bytes", fi.Size())
	}
	// Power was lost before the new file was renamed: it is left behind, incomplete.
	if err := os.WriteFile(path+".next", []byte("*3\r\n$3\r\nse"), 0o644); err != nil {
		t.Fatal(err)
	}
	s = open(t, dir)
	st, err := s.LoadState()
	if reg, found, rerr := s.loadRegister(); err != nil || rerr != nil || !found || reg.Promised != 5 || st.Seq != 100 || len(st.Entries["a"]) != len(text) {
		t.Errorf("read back %d entries at %d, %+v %v %v", len(st.Entries), st.Seq, reg, err, rerr)
	}
	s.needsCompaction = true // as after a failed sync: the next write compacts the store first
	if err := s.Append(Change{4, 101, map[string]json.RawMessage{"a": nil}}); err != nil {
		t.Fatal(err)
	}
	if err := s.SaveState(State{Epoch: 6, Seq: 101}); err != nil {
		t.Fatal(err)
	}
	// A change of an earlier epoch, left behind by a write that was not acknowledged.
	if err := s.Append(Change{4, 102, map[string]json.RawMessage{"b": text}}); err != nil {
		t.Fatal(err)
	}
	s.Close()
	s = open(t, dir)
	if st, err = s.LoadState(); err != nil || st.Seq != 101 || st.Epoch != 6 || len(st.Entries) != 0 {
		t.Errorf("after a compaction: %+v %v", st, err)
	}
}

const lease = kernel.Second

func TestWitness(t *testing.T) {
	w := &witness{lease: lease}
	a, b := Member{"a", "a:1", "disk-a"}, Member{"b", "b:1", "disk-b"}
	now := 10 * kernel.Second
	promise := func(epoch int64, m Member) bool {
		t.Helper()
		p, err := w.promise(now, promiseRequest{epoch, m, 0})
		if err != nil {
			t.Fatal(err)
		}
		return p.Granted
	}
	accept := func(v View) bool {
		t.Helper()
		r, err := w.accept(now, v)
		if err != nil {
			t.Fatal(err)
		}
		return r.Granted
	}
	if !promise(1, a) || promise(1, b) {
		t.Fatal("epoch 1 was not promised, or promised twice")
	}
	v1 := View{Epoch: 1, Primary: a, Backups: []Member{b}}
	if !accept(v1) {
		t.Fatal("the promised view was refused")
	}
	if promise(2, b) {
		t.Error("promised while a lease is unexpired")
	}
	now += lease
	if !promise(2, b) {
		t.Error("not promised after the lease expired")
	}
	if accept(v1) {
		t.Error("accepted a view of an old epoch")
	}
	if r, _ := w.renew(now, v1); r.Granted {
		t.Error("a replayed renewal of an old epoch was granted")
	}
	v2 := View{Epoch: 2, Primary: b, Backups: []Member{a}}
	if r, changed := w.renew(now, v2); !r.Granted || !changed || !w.reg.Accepted.sameAs(v2) {
		t.Error("a renewal of a view whose acceptance was missed did not accept it")
	}
	if !promise(3, b) {
		t.Error("the holder of the lease was not allowed to form another view")
	}
	w.release(1)
	if now+1 > w.leaseUntil {
		t.Error("the release of an old epoch ended the lease")
	}
	// After a restart, a lease granted before it may still be unexpired.
	restarted := &witness{reg: w.reg, lease: lease, priorLeaseUntil: now + lease}
	if p, _ := restarted.promise(now, promiseRequest{9, a, 0}); p.Granted || p.LeaseRemaining != lease {
		t.Error("a restarted witness promised before an earlier lease must have expired")
	}
	if p, _ := restarted.promise(now, promiseRequest{8, a, 1}); p.Granted {
		t.Error("promised although the voided lease is that of another view")
	}
	if p, _ := restarted.promise(now, promiseRequest{8, a, 2}); !p.Granted {
		t.Error("not promised although the lease was voided")
	}
	if p, _ := restarted.promise(now, promiseRequest{8, a, 2}); !p.Granted {
		t.Error("the promise was not repeated to the same candidate")
	}
	if p, _ := restarted.promise(now, promiseRequest{9, b, 0}); !p.Granted {
		t.Error("the restarted holder of that lease was refused")
	}
	if v2.Has(Member{"a", "a:1", "another disk"}) {
		t.Error("a member with another disk counts as the member")
	}
}

func TestMajoritiesOfSets(t *testing.T) {
	of := func(addrs string) func(string) bool {
		return func(a string) bool { return strings.Contains(addrs, a) }
	}
	three, four := []string{"a", "b", "c"}, []string{"a", "b", "c", "d"}
	changing := View{Witnesses: []string{"b", "c", "d"}, Prior: []string{"a", "b", "c"}}
	for _, c := range []struct {
		sets     [][]string
		voted    string
		majority bool
		overlap  bool // intersects every majority that may have voted
	}{
		{[][]string{three}, "ab", true, true},
		{[][]string{three}, "a", false, false},
		{[][]string{four}, "ab", false, true},
		{[][]string{four}, "abc", true, true},
		{changing.quorumSets(), "cd", false, false},
		{changing.quorumSets(), "bc", true, true},
		{changing.quorumSets(), "acd", true, true},
	} {
		if got := majorityOfEach(c.sets, of(c.voted)); got != c.majority {
			t.Errorf("%s of %v: majority %v", c.voted, c.sets, got)
		}
		if got := intersectsEveryMajority(c.sets, of(c.voted)); got != c.overlap {
			t.Errorf("%s of %v: overlap %v", c.voted, c.sets, got)
		}
	}
}

// A view binds a candidate if it may be accepted by a majority, now or later.
func TestHighestBindingView(t *testing.T) {
	set := []string{"a", "b", "c", "d"}
	old, next := View{Epoch: 7, Witnesses: set}, View{Epoch: 8, Witnesses: set}
	promised := func(v View) promiseResponse { return promiseResponse{Granted: true, Accepted: v} }
	for name, c := range map[string]struct {
		epoch     int64
		responses map[string]promiseResponse
		want      int64
	}{
		"one accepted it, one is unresponsive":  {9, map[string]promiseResponse{"a": promised(next), "b": promised(old), "c": promised(old)}, 7},
		"one accepted it, two are unresponsive": {9, map[string]promiseResponse{"a": promised(next), "b": promised(old)}, 8},
		"one that promised nothing may accept":  {9, map[string]promiseResponse{"a": promised(next), "b": promised(old), "c": {Accepted: old}}, 8},
		"it is of a later epoch":                {6, map[string]promiseResponse{"a": {Accepted: next}, "b": promised(old), "c": promised(old)}, 8},
	} {
		if got := highestBindingView(c.epoch, c.responses); got.Epoch != c.want {
			t.Errorf("%s: %d, want %d", name, got.Epoch, c.want)
		}
	}
}
