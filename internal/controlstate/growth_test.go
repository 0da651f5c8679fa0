package controlstate

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"testing"

	"indigowalk/internal/kernel"
)

// changeWithChurn returns the n-th of many changes, which add and delete keys: never more than
// a hundred order entries exist at a time.
func changeWithChurn(n int) map[string]json.RawMessage {
	return map[string]json.RawMessage{
		fmt.Sprint("order/", n):               json.RawMessage(`"` + strings.Repeat("x", 200) + `"`),
		fmt.Sprint("order/", n-100):           nil,
		fmt.Sprint("database/", n%100):        json.RawMessage(fmt.Sprintf(`{"position":%d}`, 1_000_000+n)),
		fmt.Sprint("database/", 100+(n+7)%50): json.RawMessage(fmt.Sprintf(`{"position":%d}`, 2_000_000+n)),
	}
}

// changeWriter writes changes as a primary does on its own disk, and counts the bytes that
// are sent to a backup and that are written to the disk.
type changeWriter struct {
	s             *Store
	state         State
	sent, written int64
}

func newChangeWriter(tb testing.TB, sync kernel.Sync) *changeWriter {
	w := &changeWriter{}
	count := func(f *os.File) error {
		if fi, err := f.Stat(); err == nil && !fi.IsDir() && w.s != nil {
			w.written += fi.Size() - w.s.size
			if fi.Size() < w.s.size { // a compacted file replaces it
				w.written += w.s.size
			}
		}
		return sync(f)
	}
	s, err := openStore(memoryDir(tb), count)
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { s.Close() })
	w.s, w.state = s, State{Epoch: 1}.WithoutRevisions()
	if err := s.SaveState(w.state); err != nil {
		tb.Fatal(err)
	}
	return w
}

func (w *changeWriter) change(tb testing.TB, entries map[string]json.RawMessage) {
	w.state = w.state.With(entries)
	c := Change{w.state.Epoch, w.state.Seq, entries}
	raw, err := json.Marshal(c)
	if err == nil {
		w.sent += int64(len(raw))
		err = w.s.Append(c)
	}
	if err != nil {
		tb.Fatal(err)
	}
}

// After thousands of changes and several restarts, neither the store file nor the record of
// earlier changes grows without bound.
func TestStoreAndRevisionsStayBounded(t *testing.T) {
	w := newChangeWriter(t, func(*os.File) error { return nil })
	maxSize := int64(0)
	for n := range 12_000 {
		w.change(t, changeWithChurn(n))
		maxSize = max(maxSize, w.s.size)
		if w.state.revisions.count > 2*minRevisions {
			t.Fatalf("%d changes are kept", w.state.revisions.count)
		}
		if n%2000 == 1999 { // a restart, at which the file is as large as before it
			if err := w.s.Close(); err != nil {
				t.Fatal(err)
			}
			s, err := openStore(storeDir(w.s), w.s.sync)
			if err != nil {
				t.Fatal(err)
			}
			w.s = s
		}
	}
	if maxSize > compactThreshold+8<<10 {
		t.Errorf("the store grew to %d bytes", maxSize)
	}
	if got, err := w.s.LoadState(); err != nil || got.Seq != w.state.Seq || len(got.Entries) > 300 || !got.equal(w.state) {
		t.Errorf("after 12000 changes: seq %d with %d entries, %v", got.Seq, len(got.Entries), err)
	}
	if seq := w.state.Seq - minRevisions + 1; !w.state.KnowsChangesSince(seq) || len(w.state.ChangedSince(w.state.Seq-1)) != 4 {
		t.Errorf("the changes since %d are not known", seq)
	}
}

func storeDir(s *Store) string { return strings.TrimSuffix(s.path, "/"+StoreFile) }

// BenchmarkChange measures the cost of one change after a number of earlier ones: time, bytes
// to a backup, bytes to the disk, and the size of the file.
func BenchmarkChange(b *testing.B) {
	for _, before := range []int{100, 1_000, 10_000, 100_000} {
		b.Run(fmt.Sprint(before), func(b *testing.B) {
			w := newChangeWriter(b, func(*os.File) error { return nil })
			for n := range before {
				w.change(b, changeWithChurn(n))
			}
			w.sent, w.written = 0, 0
			n := before
			for b.Loop() {
				w.change(b, changeWithChurn(n))
				n++
			}
			b.ReportMetric(float64(w.sent)/float64(b.N), "sent-B/op")
			b.ReportMetric(float64(w.written)/float64(b.N), "disk-B/op")
			b.ReportMetric(float64(w.s.size), "file-B")
		})
	}
}
