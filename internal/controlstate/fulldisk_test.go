package controlstate

import (
	"encoding/json"
	"errors"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
)

// withFileSizeLimit runs f while no file can grow beyond size bytes.
func withFileSizeLimit(t *testing.T, size int64, f func()) {
	t.Helper()
	signal.Ignore(syscall.SIGXFSZ)
	defer signal.Reset(syscall.SIGXFSZ)
	var previous syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_FSIZE, &previous); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Setrlimit(syscall.RLIMIT_FSIZE, &syscall.Rlimit{Cur: uint64(size), Max: previous.Max}); err != nil {
		t.Fatal(err)
	}
	defer func() {
		if err := syscall.Setrlimit(syscall.RLIMIT_FSIZE, &previous); err != nil {
			t.Fatal(err)
		}
	}()
	f()
}

// The disk becomes full at some byte of a change, of a whole state or of a compaction. The
// write must fail, the stored state must stay intact, and the next write must succeed once
// there is free space, without a restart.
func TestFullDiskRefusesAndServesAgain(t *testing.T) {
	text := json.RawMessage(`"` + strings.Repeat("x", 300) + `"`)
	for _, free := range []int64{0, 1, 40, 200, 380} {
		for operation, write := range map[string]func(s *Store, st State) error{
			"a change": func(s *Store, st State) error {
				return s.Append(Change{st.Epoch, st.Seq + 1, map[string]json.RawMessage{"b": text}})
			},
			"a whole state": func(s *Store, st State) error {
				st.Epoch++
				return s.SaveState(st.With(map[string]json.RawMessage{"b": text}))
			},
			"a compaction": func(s *Store, st State) error {
				s.needsCompaction = true
				return s.Append(Change{st.Epoch, st.Seq + 1, map[string]json.RawMessage{"b": text}})
			},
		} {
			dir := memoryDir(t)
			s, err := openStore(dir, func(*os.File) error { return nil })
			if err != nil {
				t.Fatal(err)
			}
			st := State{Epoch: 3, Seq: 4, Entries: map[string]json.RawMessage{"a": text}}
			if err := s.SaveState(st); err != nil {
				t.Fatal(err)
			}
			limit := s.size + free
			if operation == "a compaction" {
				limit = free
			}
			withFileSizeLimit(t, limit, func() {
				if err := write(s, st); !errors.Is(err, syscall.EFBIG) {
					t.Errorf("%s with %d bytes left: %v", operation, free, err)
				}
			})
			if got, err := s.LoadState(); err != nil || !got.equal(st) {
				t.Errorf("%s with %d bytes left: store contains epoch %d seq %d, %v", operation, free, got.Epoch, got.Seq, err)
			}
			if _, err := os.Stat(filepath.Join(dir, StoreFile+rewriteSuffix)); err == nil {
				t.Errorf("%s with %d bytes left: the incomplete new file is not removed", operation, free)
			}
			next := Change{st.Epoch, st.Seq + 1, map[string]json.RawMessage{"c": text}}
			if err := s.Append(next); err != nil {
				t.Errorf("%s, then with free space: %v", operation, err)
			}
			s.Close()
			s, err = openStore(dir, func(*os.File) error { return nil })
			if err != nil {
				t.Fatal(err)
			}
			if got, err := s.LoadState(); err != nil || !got.equal(st.With(next.Entries)) {
				t.Errorf("%s, after a restart: seq %d, %v", operation, got.Seq, err)
			}
			s.Close()
		}
	}
}

// A store that is truncated at any byte opens with the complete records before that byte and
// nothing else.
func TestStoreTruncatedAtEachByte(t *testing.T) {
	dir, noSync := memoryDir(t), func(*os.File) error { return nil }
	s, err := openStore(dir, noSync)
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(dir, StoreFile)
	var ends []int64 // size of the file after each write
	states := []State{{}}
	record := func(st State, err error) {
		if err != nil {
			t.Fatal(err)
		}
		states, ends = append(states, st), append(ends, s.size)
	}
	diskRecordEnd := s.size
	st := State{Epoch: 3, Seq: 4, Entries: map[string]json.RawMessage{"a": json.RawMessage(`1`)}}
	record(st, s.SaveState(st))
	for range 2 {
		c := map[string]json.RawMessage{"a": json.RawMessage(`"two"`), "b": json.RawMessage(`{}`)}
		st = st.With(c)
		record(st, s.Append(Change{st.Epoch, st.Seq, c}))
	}
	id := s.Disk
	s.Close()
	whole, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for cut := range int64(len(whole)) + 1 {
		if err := os.WriteFile(path, whole[:cut], 0o644); err != nil {
			t.Fatal(err)
		}
		s, err := openStore(dir, noSync)
		if err != nil {
			t.Fatalf("truncated at byte %d: %v", cut, err)
		}
		want := 0
		for i, end := range ends {
			if cut >= end {
				want = i + 1
			}
		}
		if got, err := s.LoadState(); err != nil || !got.equal(states[want]) || (s.Disk == id) != (cut >= diskRecordEnd) || s.Created != (cut < diskRecordEnd) {
			t.Fatalf("truncated at byte %d: seq %d of disk %s, %v", cut, got.Seq, s.Disk, err)
		}
		s.Close()
	}
}
