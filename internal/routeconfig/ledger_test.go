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

// memoryState is an in-memory control state that counts the bytes that the last change wrote.
type memoryState struct {
	entries      map[string]json.RawMessage
	bytesWritten int
}

func (m *memoryState) Read(key string) (json.RawMessage, error) { return m.entries[key], nil }

func (m *memoryState) Update(_ context.Context, change controlstate.ChangeFunc) error {
	changes, err := change(m.entries)
	if err != nil {
		return err
	}
	m.bytesWritten = 0
	for key, raw := range changes {
		m.entries[key] = raw
		m.bytesWritten += len(key) + len(raw)
	}
	return nil
}

func (m *memoryState) size() (n int) {
	for key, raw := range m.entries {
		n += len(key) + len(raw)
	}
	return n
}

func newTestRegistry(ledgerSize int64) (*Registry, *memoryState) {
	state := &memoryState{entries: map[string]json.RawMessage{}}
	return New(kernel.NewKernel("control", nil, slog.New(slog.DiscardHandler)), state, ledgerSize), state
}

func servicesBody(rev int64, maxConns int) []byte {
	return fmt.Appendf(nil, `{"rev":%d,"routes":[],"services":[{"name":"s","max_conns":%d}]}`, rev, maxConns)
}

// applyChanges replaces the configuration once for each version after from, up to version to,
// each time based on the version before.
func applyChanges(t testing.TB, registry *Registry, from, to int64) {
	t.Helper()
	for rev := from + 1; rev <= to; rev++ {
		if err := registry.Replace(t.Context(), rev-1, servicesBody(rev, 1)); err != nil {
			t.Fatal(err)
		}
	}
}

// Neither what a change writes nor the total size of the state grows with the number of earlier
// changes.
func TestLedgerBounded(t *testing.T) {
	registry, state := newTestRegistry(512)
	applyChanges(t, registry, 0, 100)
	writtenBy100th := state.bytesWritten
	applyChanges(t, registry, 100, 2000)
	if state.bytesWritten > writtenBy100th*11/10 {
		t.Errorf("the 100th change wrote %d bytes, the 2000th %d", writtenBy100th, state.bytesWritten)
	}
	if size := state.size(); size > 512*80 {
		t.Errorf("the state has %d bytes after 2000 changes", size)
	}
}

// BenchmarkChange measures one change after a number of earlier ones.
func BenchmarkChange(b *testing.B) {
	for _, before := range []int64{100, 1000, 10_000, 100_000} {
		b.Run(fmt.Sprint("after-", before), func(b *testing.B) {
			registry, state := newTestRegistry(512)
			applyChanges(b, registry, 0, before)
			rev := before
			for b.Loop() {
				if err := registry.Replace(b.Context(), rev, servicesBody(rev+1, 1)); err != nil {
					b.Fatal(err)
				}
				rev++
			}
			b.ReportMetric(float64(state.bytesWritten), "bytes/change")
			b.ReportMetric(float64(state.size()), "bytes-in-all")
		})
	}
}

// A change is identified by its base version, new version, kind and whole body. An accepted
// change that is sent again is acknowledged again or gets an unknown outcome, whatever changes
// followed; a different change of the same base is refused for as long as the accepted one is on
// record.
func TestRepeatedChanges(t *testing.T) {
	registry, _ := newTestRegistry(4)
	applyChanges(t, registry, 0, 9) // the changes that made the versions 6 to 9 are on record
	patch := func(rev int64) []byte {
		return fmt.Appendf(nil, `{"rev":%d,"upsert":{"services":[{"name":"t"}]}}`, rev)
	}
	if err := registry.Update(t.Context(), 9, patch(10)); err != nil { // replaces the record of version 6
		t.Fatal(err)
	}
	largePatch := func(rev int64, size int) []byte {
		return fmt.Appendf(nil, `{"rev":%d,"upsert":{"services":[{"name":%q}]}}`, rev, strings.Repeat("s", size))
	}
	invalid := errors.New("invalid")
	for _, call := range []struct {
		name  string
		apply func(context.Context, int64, []byte) error
		base  int64
		body  []byte
		want  error
	}{
		{"newest change", registry.Update, 9, patch(10), nil},
		{"newest change with other whitespace", registry.Update, 9, append([]byte("\n "), patch(10)...), nil},
		{"newest change as another kind of change", registry.Replace, 9, patch(10), ErrVersionConflict},
		{"newest change with another body", registry.Update, 9, []byte(`{"rev":10}`), ErrVersionConflict},
		{"newest change with another base", registry.Update, 8, patch(10), ErrVersionConflict},
		{"newest change with another version", registry.Update, 9, patch(11), ErrVersionConflict},
		{"oldest change on record", registry.Replace, 6, servicesBody(7, 1), nil},
		{"another change of the same base", registry.Replace, 6, servicesBody(7, 2), ErrVersionConflict},
		{"accepted change no longer on record", registry.Replace, 4, servicesBody(5, 1), ErrOutcomeUnknown},
		{"refused change of a base no longer on record", registry.Replace, 4, servicesBody(5, 2), ErrOutcomeUnknown},
		{"accepted change that made the oldest version reached", registry.Replace, 5, servicesBody(6, 1), ErrOutcomeUnknown},
		{"change of a base no longer on record to a version above the oldest reached", registry.Replace, 4, servicesBody(7, 1), ErrVersionConflict},
		{"base above the current version", registry.Replace, 12, servicesBody(13, 1), ErrVersionConflict},
		{"old base, new version above the current one", registry.Replace, 3, servicesBody(20, 1), ErrVersionConflict},
		{"new version not above its base", registry.Replace, 4, servicesBody(4, 1), invalid},
		{"invalid change of an old base", registry.Update, 8, []byte(`{"rev":9,"upsert":{"services":[{}]}}`), ErrVersionConflict},
		{"invalid change of the current base", registry.Update, 10, []byte(`{"rev":11,"upsert":{"services":[{}]}}`), invalid},
		{"large change", registry.Update, 10, largePatch(11, MaxConfigBytes*2/3), nil},
		{"change that makes the configuration too large", registry.Update, 11, largePatch(12, MaxConfigBytes/2), invalid},
	} {
		err := call.apply(t.Context(), call.base, call.body)
		if errors.As(err, new(*ValidationError)) {
			err = invalid
		}
		if !errors.Is(err, call.want) {
			t.Errorf("%s: %v, want %v", call.name, err, call.want)
		}
	}
}

// The configuration reads back as it was sent, including fields that this version does not know.
func TestFetchReturnsSentConfiguration(t *testing.T) {
	registry, _ := newTestRegistry(64)
	decode := func(raw []byte) (decoded map[string]any) {
		decoder := json.NewDecoder(bytes.NewReader(raw))
		decoder.UseNumber()
		if err := decoder.Decode(&decoded); err != nil {
			t.Fatal(err)
		}
		return decoded
	}
	const unknownField = `"odd":{"n":12345678901234567890123,"f":1.0,"text":"<&> \u2028 \ud83d\ude00 ü","none":null}`
	sent := []byte(`{ "rev":3, "services":[{"name":"s", ` + unknownField + `}], ` + unknownField + ` }`)
	patched := []byte(`{"rev":5,"services":[{"name":"s",` + unknownField + `},{"name":"t",` + unknownField + `}],` + unknownField + `}`)
	for _, call := range []struct {
		apply      func(context.Context, int64, []byte) error
		base       int64
		body, want []byte
	}{
		{registry.Replace, 0, sent, sent},
		{registry.Update, 3, []byte(`{"rev":5,"upsert":{"services":[{"name":"t",` + unknownField + `}]}}`), patched},
	} {
		if err := call.apply(t.Context(), call.base, call.body); err != nil {
			t.Fatal(err)
		}
		got, err := registry.Fetch()
		if err != nil || !reflect.DeepEqual(decode(got), decode(call.want)) {
			t.Errorf("read back %s, want %s (error %v)", got, call.want, err)
		}
	}
}
