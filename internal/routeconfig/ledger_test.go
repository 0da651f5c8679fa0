package routeconfig

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"reflect"
	"strings"
	"testing"

	"indigowalk/internal/controlstate"
	"indigowalk/internal/kernel"
)

// memory is an in-memory control state that counts the bytes that a change writes.
type memory struct {
	entries map[string]json.RawMessage
	written int
}

func (m *memory) Read(key string) (json.RawMessage, error) { return m.entries[key], nil }

func (m *memory) Update(_ context.Context, change controlstate.ChangeFunc) error {
	changes, err := change(m.entries)
	if err != nil {
		return err
	}
	m.written = 0
	for key, raw := range changes {
		m.entries[key] = raw
		m.written += len(key) + len(raw)
	}
	return nil
}

func (m *memory) size() (n int) {
	for key, raw := range m.entries {
		n += len(key) + len(raw)
	}
	return n
}

func onMemory(changes int64) (*Registry, *memory) {
	m := &memory{entries: map[string]json.RawMessage{}}
	return New(kernel.NewKernel("control", nil, slog.New(slog.DiscardHandler)), m, changes), m
}

func body(rev int64, mark int) []byte {
	return fmt.Appendf(nil, `{"rev":%d,"routes":[],"services":[{"name":"s","max_conns":%d}]}`, rev, mark)
}

// grow makes changes up to version n, each on top of the one before.
func grow(t testing.TB, c *Registry, from, n int64) {
	t.Helper()
	for rev := from + 1; rev <= n; rev++ {
		if err := c.Replace(t.Context(), rev-1, body(rev, 1)); err != nil {
			t.Fatal(err)
		}
	}
}

// Neither what a change writes nor the total size of the state grows with the number of earlier
// changes.
func TestLedgerBounded(t *testing.T) {
	c, m := onMemory(512)
	grow(t, c, 0, 100)
	first := m.written
	grow(t, c, 100, 2000)
	if m.written > first*11/10 {
		t.Errorf("the 100th change writes %d bytes, the 2000th %d", first, m.written)
	}
	if whole := m.size(); whole > 512*80 {
		t.Errorf("the state holds %d bytes", whole)
	}
}

// BenchmarkChange measures one change after a number of earlier ones.
func BenchmarkChange(b *testing.B) {
	for _, before := range []int64{100, 1000, 10_000, 100_000} {
		b.Run(fmt.Sprint("after-", before), func(b *testing.B) {
			c, m := onMemory(512)
			grow(b, c, 0, before)
			rev := before
			for b.Loop() {
				if err := c.Replace(b.Context(), rev, body(rev+1, 1)); err != nil {
					b.Fatal(err)
				}
				rev++
			}
			b.ReportMetric(float64(m.written), "bytes/change")
			b.ReportMetric(float64(m.size()), "bytes-in-all")
		})
	}
}

// A change is identified by base, number, kind and whole body. One that was accepted is
// acknowledged again or its outcome is reported as unknown, whatever came after it; a different
// change on the same base is refused for as long as the accepted one is known.
func TestRepeatedChanges(t *testing.T) {
	registry, _ := onMemory(4)
	grow(t, registry, 0, 9) // version 6, based on 5, is the oldest change on record
	patch := func(rev int64) []byte {
		return fmt.Appendf(nil, `{"rev":%d,"upsert":{"services":[{"name":"t"}]}}`, rev)
	}
	if err := registry.Update(t.Context(), 9, patch(10)); err != nil {
		t.Fatal(err)
	}
	large := func(rev int64, size int) []byte {
		return fmt.Appendf(nil, `{"rev":%d,"upsert":{"services":[{"name":%q}]}}`, rev, strings.Repeat("s", size))
	}
	invalid := errors.New("invalid")
	for _, call := range []struct {
		what string
		take func(context.Context, int64, []byte) error
		base int64
		body []byte
		want error
	}{
		{"the newest", registry.Update, 9, patch(10), nil},
		{"the newest, spaced otherwise", registry.Update, 9, append([]byte("\n "), patch(10)...), nil},
		{"the newest as another kind of call", registry.Replace, 9, patch(10), ErrVersionConflict},
		{"another body under the newest's number", registry.Update, 9, []byte(`{"rev":10}`), ErrVersionConflict},
		{"another base under the newest's number", registry.Update, 8, patch(10), ErrVersionConflict},
		{"another number with the newest's body", registry.Update, 9, patch(11), ErrVersionConflict},
		{"the oldest that is known", registry.Replace, 6, body(7, 1), nil},
		{"another on the oldest known base", registry.Replace, 6, body(7, 2), ErrVersionConflict},
		{"a forgotten one", registry.Replace, 4, body(5, 1), ErrOutcomeUnknown},
		{"one that lost its race for a forgotten base", registry.Replace, 4, body(5, 2), ErrOutcomeUnknown},
		{"one that made the oldest version reached", registry.Replace, 5, body(6, 1), ErrOutcomeUnknown},
		{"one on a forgotten base that made no version before that", registry.Replace, 4, body(7, 1), ErrVersionConflict},
		{"one on a base that is yet to come", registry.Replace, 12, body(13, 1), ErrVersionConflict},
		{"one that is above the current on an old base", registry.Replace, 3, body(20, 1), ErrVersionConflict},
		{"one that is not above its base", registry.Replace, 4, body(4, 1), invalid},
		{"one with a fault on an old base", registry.Update, 8, []byte(`{"rev":9,"upsert":{"services":[{}]}}`), ErrVersionConflict},
		{"one with a fault on the current base", registry.Update, 10, []byte(`{"rev":11,"upsert":{"services":[{}]}}`), invalid},
		{"a large one", registry.Update, 10, large(11, MaxBody*2/3), nil},
		{"one that makes too large a configuration of it", registry.Update, 11, large(12, MaxBody/2), invalid},
	} {
		err := call.take(t.Context(), call.base, call.body)
		if errors.As(err, new(*ValidationError)) {
			err = invalid
		}
		if !errors.Is(err, call.want) {
			t.Errorf("%s: %v, want %v", call.what, err, call.want)
		}
	}
}

// The configuration reads back as it was sent, including fields that this version does not know.
func TestFetchReturnsSentConfiguration(t *testing.T) {
	registry, _ := onMemory(64)
	exact := func(raw []byte) (v map[string]any) {
		d := json.NewDecoder(bytes.NewReader(raw))
		d.UseNumber()
		if err := d.Decode(&v); err != nil {
			t.Fatal(err)
		}
		return v
	}
	const odd = `"odd":{"n":12345678901234567890123,"f":1.0,"text":"<&> \u2028 \ud83d\ude00 ü","none":null}`
	sent := []byte(`{ "rev":3, "services":[{"name":"s", ` + odd + `}], ` + odd + ` }`)
	patched := []byte(`{"rev":5,"services":[{"name":"s",` + odd + `},{"name":"t",` + odd + `}],` + odd + `}`)
	for _, call := range []struct {
		take       func(context.Context, int64, []byte) error
		base       int64
		body, want []byte
	}{
		{registry.Replace, 0, sent, sent},
		{registry.Update, 3, []byte(`{"rev":5,"upsert":{"services":[{"name":"t",` + odd + `}]}}`), patched},
	} {
		if err := call.take(t.Context(), call.base, call.body); err != nil {
			t.Fatal(err)
		}
		got, err := registry.Fetch()
		if err != nil || !reflect.DeepEqual(exact(got), exact(call.want)) {
			t.Errorf("%s is read back, not %s (%v)", got, call.want, err)
		}
	}
}
