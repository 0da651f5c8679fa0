package controlstate

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"testing"

	"indigowalk/internal/kernel"
)

// changeWithChurn is the n-th of many changes whose keys come and go: there are never
// more than a hundred of them.
func changeWithChurn(n int) map[string]json.RawMessage {
	return map[string]json.RawMessage{
		fmt.Sprint("order/", n):               json.RawMessage(`"` + strings.Repeat("x", 200) + `"`),
		fmt.Sprint("order/", n-100):           nil,
		fmt.Sprint("database/", n%100):        json.RawMessage(fmt.Sprintf(`{"position":%d}`, 1_000_000+n)),
		fmt.Sprint("database/", 100+(n+7)%50): json.RawMessage(fmt.Sprintf(`{"position":%d}`, 2_000_000+n)),
	}
}

// changeWriter makes changes as a primary does on its own disk, and counts the bytes
// that a backup is sent and that go to the disk.
type changeWriter struct {
	s           *Store
	state       State
	sent, wrote int64
}

func newChangeWriter(tb testing.TB, sync kernel.Sync) *changeWriter {
	m := &changeWriter{}
	count := func(f *os.File) error {
		if fi, err := f.Stat(); err == nil && !fi.IsDir() && m.s != nil {
			m.wrote += fi.Size() - m.s.size
			if fi.Size() < m.s.size { // another file takes its place
				m.wrote += m.s.size
			}
		}
		return sync(f)
	}
	s, err := openStore(memoryDir(tb), count)
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { s.Close() })
	m.s, m.state = s, State{Epoch: 1}.WithoutRevisions()
	if err := s.SaveState(m.state); err != nil {
		tb.Fatal(err)
	}
	return m
}

func (m *changeWriter) change(tb testing.TB, entries map[string]json.RawMessage) {
	m.state = m.state.With(entries)
	c := Change{m.state.Epoch, m.state.Seq, entries}
	raw, err := json.Marshal(c)
	if err == nil {
		m.sent += int64(len(raw))
		err = m.s.Append(c)
	}
	if err != nil {
		tb.Fatal(err)
	}
}

// After thousands of changes, and lives, neither the file nor what is known of
// the past grows any more.
func TestNothingGrowsWithTheChanges(t *testing.T) {
	m := newChangeWriter(t, func(*os.File) error { return nil })
	most := int64(0)
	for n := range 12_000 {
		m.change(t, changeWithChurn(n))
		most = max(most, m.s.size)
		if m.state.revisions.count > 2*minRevisions {
			t.Fatalf("%d changes are known", m.state.revisions.count)
		}
		if n%2000 == 1999 { // another life, which is as large when it begins as the one before was
			if err := m.s.Close(); err != nil {
				t.Fatal(err)
			}
			s, err := openStore(storeDir(m.s), m.s.sync)
			if err != nil {
				t.Fatal(err)
			}
			m.s = s
		}
	}
	if most > compactAbove+8<<10 {
		t.Errorf("the store had up to %d bytes", most)
	}
	if got, err := m.s.LoadState(); err != nil || got.Seq != m.state.Seq || len(got.Entries) > 300 || !got.equal(m.state) {
		t.Errorf("after 12000 changes: seq %d with %d entries, %v", got.Seq, len(got.Entries), err)
	}
	if seq := m.state.Seq - minRevisions + 1; !m.state.Knows(seq) || len(m.state.Since(m.state.Seq-1)) != 4 {
		t.Errorf("what changed since %d is not known", seq)
	}
}

func storeDir(s *Store) string { return strings.TrimSuffix(s.path, "/"+StoreFile) }

// BenchmarkChange tells what one change costs after so many: time, bytes to a
// backup, bytes to the disk, and how large the file is.
func BenchmarkChange(b *testing.B) {
	for _, before := range []int{100, 1_000, 10_000, 100_000} {
		b.Run(fmt.Sprint(before), func(b *testing.B) {
			m := newChangeWriter(b, func(*os.File) error { return nil })
			for n := range before {
				m.change(b, changeWithChurn(n))
			}
			m.sent, m.wrote = 0, 0
			n := before
			for b.Loop() {
				m.change(b, changeWithChurn(n))
				n++
			}
			b.ReportMetric(float64(m.sent)/float64(b.N), "sent-B/op")
			b.ReportMetric(float64(m.wrote)/float64(b.N), "disk-B/op")
			b.ReportMetric(float64(m.s.size), "file-B")
		})
	}
}
