package membership

import (
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"testing"

	"indigowalk/internal/kernel"
)

// wire notes the sizes of what a ring sends.
type wire struct {
	net.PacketConn
	sent [][]byte
}

func (w *wire) WriteTo(b []byte, _ net.Addr) (int, error) {
	w.sent = append(w.sent, append([]byte(nil), b...))
	return len(b), nil
}

func ring(t *testing.T, members int) (*Ring, *wire) {
	t.Helper()
	k := kernel.NewKernel("pooler", nil, slog.New(slog.NewTextHandler(io.Discard, nil)))
	r := New(k, Config{Self: Member{Addr: "10.0.0.1:7441", Role: "pooler"}, ProbeInterval: kernel.Second})
	w := &wire{}
	r.conn = w
	for i := range members {
		r.mergeUpdate(member(i), false)
	}
	return r, w
}

func member(i int) Member {
	return Member{Addr: fmt.Sprintf("10.1.%d.%d:7441", i/200, i%200+1), Name: fmt.Sprint("edge-", i), Role: "pooler", Zone: "z", Incarnation: 1}
}

// Of three hundred members only the parts that differ are told, in datagrams
// of a bounded size, and both sides know the same afterwards.
func TestComparingTellsWhatDiffers(t *testing.T) {
	a, toB := ring(t, 300)
	b, toA := ring(t, 298)
	b.mergeUpdate(Member{Addr: "10.9.0.1:7441", Role: "control", Incarnation: 1}, false)
	b.self.Addr, b.cachedSnapshot = "10.0.0.2:7441", nil
	a.mergeUpdate(b.Self(), false)
	b.mergeUpdate(a.Self(), false)
	deliver := func(w *wire, to *Ring) (bytes int) {
		sent := w.sent
		w.sent = nil
		for _, raw := range sent {
			if len(raw) > maxDatagramBytes {
				t.Errorf("a datagram of %d bytes", len(raw))
			}
			bytes += len(raw)
			var p packet
			if err := json.Unmarshal(raw, &p); err != nil {
				t.Fatal(err)
			}
			to.handlePacket(t.Context(), p)
		}
		return bytes
	}
	a.send(packet{Kind: join, Checksums: a.checksums()}, b.self.Addr)
	bytes := deliver(toB, b) + deliver(toA, a) + deliver(toB, b)
	if x, y := len(a.Members()), len(b.Members()); x != 303 || y != 303 {
		t.Errorf("%d and %d members after comparing, want 303", x, y)
	}
	if bytes > 16_000 { // all would be some 30 KB one way
		t.Errorf("%d bytes for three members that differed", bytes)
	}
	a.send(packet{Kind: join, Checksums: a.checksums()}, b.self.Addr)
	if bytes := deliver(toB, b) + deliver(toA, a); bytes > 600 {
		t.Errorf("%d bytes to find that nothing differs", bytes)
	}
}

// What strangers send is bounded in what it costs.
func TestStrangersAreNotBelieved(t *testing.T) {
	r, w := ring(t, 10)
	for i := range maxMembers + 500 {
		r.mergeUpdate(Member{Addr: fmt.Sprintf("10.%d.%d.%d:1", 2+i/60_000, i/250%240, i%250), Incarnation: 1}, true)
	}
	if n := len(r.members); n > maxMembers {
		t.Errorf("%d members believed", n)
	}
	w.sent = nil
	r.handlePacket(t.Context(), packet{Kind: ping, From: "nowhere"})
	r.handlePacket(t.Context(), packet{Kind: "none", From: "10.3.0.1:1"})
	if r.k.Counters.Of("membership.malformed").Load() != 2 || len(w.sent) != 0 {
		t.Errorf("%d datagrams sent, counters %v", len(w.sent), r.k.Counters.Snapshot())
	}
}

// News of who is new wear out soon: many that start at once would otherwise
// tell all of all.
func TestGreetingsWearOut(t *testing.T) {
	r, _ := ring(t, 0)
	for i := range 300 {
		r.mergeUpdate(member(i), true)
	}
	told := 0
	for range 1000 {
		told += len(r.gossip())
	}
	if told != 300*newMemberSends {
		t.Errorf("300 new members passed on %d times", told)
	}
	r.suspect(member(7).Addr)
	if n := r.gossip(); len(n) != 1 || n[0].Status != Suspect {
		t.Errorf("news after a suspicion: %+v", n)
	}
}

func BenchmarkPacket(b *testing.B) {
	k := kernel.NewKernel("pooler", nil, slog.New(slog.NewTextHandler(io.Discard, nil)))
	r := New(k, Config{Self: Member{Addr: "10.0.0.1:7441", Role: "pooler"}, ProbeInterval: kernel.Second})
	r.conn = &wire{}
	for i := range 300 {
		r.mergeUpdate(member(i), false)
	}
	b.ReportAllocs()
	for b.Loop() {
		r.send(packet{Kind: ping, Updates: r.updatesWithSelf()}, "10.1.0.1:7441")
		r.conn.(*wire).sent = nil
		if len(r.Peers("pooler")) != 300 {
			b.Fatal("members lost")
		}
	}
}
