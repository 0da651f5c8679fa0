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

// memory is a control state without a disk that counts what changes write.
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

func onMemory(orders int64) (*Registry, *memory) {
	m := &memory{entries: map[string]json.RawMessage{}}
	return New(kernel.NewKernel("control", nil, slog.New(slog.DiscardHandler)), m, orders), m
}

func body(rev int64, mark int) []byte {
	return fmt.Appendf(nil, `{"rev":%d,"routes":[],"services":[{"name":"s","max_conns":%d}]}`, rev, mark)
}

// grow makes changes until there were n, each on top of the one before.
func grow(t testing.TB, c *Registry, from, n int64) {
	t.Helper()
	for rev := from + 1; rev <= n; rev++ {
		if err := c.Replace(t.Context(), rev-1, body(rev, 1)); err != nil {
			t.Fatal(err)
		}
	}
}

// LEDGER-BOUNDED: what a change writes, and what there is in all, does not
// grow with the changes before it.
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

// BenchmarkChange is the route configuration's part of a change, after so many others.
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

// ORDER-SAME: an order is the same by base, number, kind and whole body. One that
// was taken is taken again or left open, whatever came after it; another on the
// same base is refused for as long as that is known.
func TestOrderSame(t *testing.T) {
	c, _ := onMemory(4)
	grow(t, c, 0, 9) // 5 builds on 4 and is the oldest that is known
	patch := func(rev int64) []byte {
		return fmt.Appendf(nil, `{"rev":%d,"upsert":{"services":[{"name":"t"}]}}`, rev)
	}
	if err := c.Update(t.Context(), 9, patch(10)); err != nil {
		t.Fatal(err)
	}
	large := func(rev int64, size int) []byte {
		return fmt.Appendf(nil, `{"rev":%d,"upsert":{"services":[{"name":%q}]}}`, rev, strings.Repeat("s", size))
	}
	invalid := errors.New("invalid")
	for _, o := range []struct {
		what string
		take func(context.Context, int64, []byte) error
		base int64
		body []byte
		want error
	}{
		{"the newest", c.Update, 9, patch(10), nil},
		{"the newest, spaced otherwise", c.Update, 9, append([]byte("\n "), patch(10)...), nil},
		{"the newest as another kind of call", c.Replace, 9, patch(10), ErrOtherVersion},
		{"another body under the newest's number", c.Update, 9, []byte(`{"rev":10}`), ErrOtherVersion},
		{"another base under the newest's number", c.Update, 8, patch(10), ErrOtherVersion},
		{"another number with the newest's body", c.Update, 9, patch(11), ErrOtherVersion},
		{"the oldest that is known", c.Replace, 6, body(7, 1), nil},
		{"another on the oldest known base", c.Replace, 6, body(7, 2), ErrOtherVersion},
		{"a forgotten one", c.Replace, 4, body(5, 1), ErrForgotten},
		{"one that lost its race for a forgotten base", c.Replace, 4, body(5, 2), ErrForgotten},
		{"one that made the oldest version reached", c.Replace, 5, body(6, 1), ErrForgotten},
		{"one on a forgotten base that made no version before that", c.Replace, 4, body(7, 1), ErrOtherVersion},
		{"one on a base that is yet to come", c.Replace, 12, body(13, 1), ErrOtherVersion},
		{"one that is above the current on an old base", c.Replace, 3, body(20, 1), ErrOtherVersion},
		{"one that is not above its base", c.Replace, 4, body(4, 1), invalid},
		{"one with a fault on an old base", c.Update, 8, []byte(`{"rev":9,"upsert":{"services":[{}]}}`), ErrOtherVersion},
		{"one with a fault on the current base", c.Update, 10, []byte(`{"rev":11,"upsert":{"services":[{}]}}`), invalid},
		{"a large one", c.Update, 10, large(11, MaxBody*2/3), nil},
		{"one that makes too large a configuration of it", c.Update, 11, large(12, MaxBody/2), invalid},
	} {
		err := o.take(t.Context(), o.base, o.body)
		if errors.As(err, new(*Invalid)) {
			err = invalid
		}
		if !errors.Is(err, o.want) {
			t.Errorf("%s: %v, want %v", o.what, err, o.want)
		}
	}
}

// What is read back says what was sent, also where nobody here knows the fields.
func TestReadBackIsWhatWasSent(t *testing.T) {
	c, _ := onMemory(64)
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
	for _, o := range []struct {
		take       func(context.Context, int64, []byte) error
		base       int64
		body, want []byte
	}{
		{c.Replace, 0, sent, sent},
		{c.Update, 3, []byte(`{"rev":5,"upsert":{"services":[{"name":"t",` + odd + `}]}}`), patched},
	} {
		if err := o.take(t.Context(), o.base, o.body); err != nil {
			t.Fatal(err)
		}
		got, err := c.Fetch()
		if err != nil || !reflect.DeepEqual(exact(got), exact(o.want)) {
			t.Errorf("%s is read back, not %s (%v)", got, o.want, err)
		}
	}
}
