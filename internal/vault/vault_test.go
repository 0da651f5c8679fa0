package vault

import (
	"errors"
	"os"
	"path/filepath"
	"testing"

	"indigowalk/internal/foundation"
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

func TestTornLastWriteIsCutOff(t *testing.T) {
	dir := t.TempDir()
	s := open(t, dir)
	disk := s.Disk
	if err := s.Save("state", State{Epoch: 4, Seq: 7}); err != nil {
		t.Fatal(err)
	}
	s.Close()
	path := filepath.Join(dir, StoreFile)
	whole, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for _, tail := range []string{"*3\r\n$3\r\nset\r\n$5\r\nsta", "*3\r\n$3\r\nset\r\n\x00\x00\x00\x00\x00\x00\x00\x00"} {
		if err := os.WriteFile(path, append(append([]byte{}, whole...), tail...), 0o644); err != nil {
			t.Fatal(err)
		}
		s := open(t, dir)
		var st State
		if ok, err := s.Load("state", &st); !ok || err != nil || st.Seq != 7 || s.Disk != disk || s.Fresh {
			t.Errorf("tail %q: state %+v %v %v, disk %q fresh %v", tail, st, ok, err, s.Disk, s.Fresh)
		}
		s.Close()
	}
}

func TestDamagedStoreIsReported(t *testing.T) {
	dir := t.TempDir()
	s := open(t, dir)
	if err := s.Save("state", State{Epoch: 4, Seq: 7}); err != nil {
		t.Fatal(err)
	}
	s.Close()
	path := filepath.Join(dir, StoreFile)
	raw, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	raw[len(raw)-8] ^= 1 // inside the record's text
	if err := os.WriteFile(path, raw, 0o644); err != nil {
		t.Fatal(err)
	}
	s = open(t, dir)
	var st State
	if _, err := s.Load("state", &st); !errors.Is(err, ErrDamaged) {
		t.Errorf("a flipped bit: %v", err)
	}
	s.Close()
	if err := os.WriteFile(path, []byte("not a store at all"), 0o644); err != nil {
		t.Fatal(err)
	}
	if _, err := OpenStore(dir); !errors.Is(err, ErrDamaged) {
		t.Errorf("a foreign file: %v", err)
	}
}

const lease = foundation.Second

func TestElector(t *testing.T) {
	dir := t.TempDir()
	e := &elector{store: open(t, dir), lease: lease}
	a, b := Member{"a", "a:1", "disk-a"}, Member{"b", "b:1", "disk-b"}
	now := 10 * foundation.Second
	promise := func(epoch int64, m Member) bool {
		t.Helper()
		p, err := e.promise(now, promiseAsk{epoch, m})
		if err != nil {
			t.Fatal(err)
		}
		return p.Granted
	}
	accept := func(v View) bool {
		t.Helper()
		r, err := e.accept(now, v)
		if err != nil {
			t.Fatal(err)
		}
		return r.Granted
	}
	if !promise(1, a) || promise(1, b) {
		t.Fatal("epoch 1 was promised to nobody, or twice")
	}
	v1 := View{1, a, b}
	if !accept(v1) {
		t.Fatal("the promised view was refused")
	}
	if promise(2, b) {
		t.Error("promised while a lease runs")
	}
	now += lease
	if !promise(2, b) {
		t.Error("not promised after the lease")
	}
	if accept(v1) {
		t.Error("accepted a view of an old epoch")
	}
	if r, _ := e.renew(now, v1); r.Granted {
		t.Error("a replayed renewal of an old epoch was granted")
	}
	v2 := View{2, b, a}
	if r, _ := e.renew(now, v2); !r.Granted || e.reg.Accepted != v2 {
		t.Error("a renewal did not make up for a missed acceptance")
	}
	if !promise(3, b) {
		t.Error("the lease's own holder may replace its backup")
	}
	e.release(1)
	if now+1 > e.until {
		t.Error("an old epoch's release ended the lease")
	}
	e.store.Close()
	again := &elector{store: open(t, dir), lease: lease, quietTill: now + lease}
	if _, err := again.store.Load("register", &again.reg); err != nil || again.reg.Promised != 3 || again.reg.Accepted != v2 {
		t.Errorf("read back %+v %v", again.reg, err)
	}
	if _, err := again.promise(now, promiseAsk{9, a}); err == nil {
		t.Error("a restarted elector promised before a lease could have run out")
	}
	if (View{Epoch: 2, Primary: b, Backup: a}).Has(Member{"a", "a:1", "another disk"}) {
		t.Error("a member with another disk counts as the member")
	}
}
