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

// recordingConn records the datagrams that a member list sends.
type recordingConn struct {
	net.PacketConn
	sent [][]byte
}

func (w *recordingConn) WriteTo(b []byte, _ net.Addr) (int, error) {
	w.sent = append(w.sent, append([]byte(nil), b...))
	return len(b), nil
}

func newTestRing(t *testing.T, members int) (*Memberlist, *recordingConn) {
	t.Helper()
	k := kernel.NewKernel("pooler", nil, slog.New(slog.NewTextHandler(io.Discard, nil)))
	r := New(k, Config{Self: Member{Addr: "10.0.0.1:7441", Role: "pooler"}, ProbeInterval: kernel.Second})
	w := &recordingConn{}
	r.conn = w
	for i := range members {
		r.mergeUpdate(testMember(i), false)
	}
	return r, w
}

func testMember(i int) Member {
	return Member{Addr: fmt.Sprintf("10.1.%d.%d:7441", i/200, i%200+1), Name: fmt.Sprint("edge-", i), Role: "pooler", Zone: "z", Incarnation: 1}
}

// Synchronizing three hundred members transfers only the partitions that differ, in
// datagrams of bounded size, and both sides know the same members afterwards.
func TestSyncSendsOnlyDifferences(t *testing.T) {
	a, toB := newTestRing(t, 300)
	b, toA := newTestRing(t, 298)
	b.mergeUpdate(Member{Addr: "10.9.0.1:7441", Role: "control", Incarnation: 1}, false)
	b.self.Addr, b.cachedSnapshot = "10.0.0.2:7441", nil
	a.mergeUpdate(b.Self(), false)
	b.mergeUpdate(a.Self(), false)
	deliver := func(w *recordingConn, to *Memberlist) (bytes int) {
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
		t.Errorf("%d and %d members after synchronizing, want 303", x, y)
	}
	if bytes > 16_000 { // all would be some 30 KB one way
		t.Errorf("%d bytes for three members that differed", bytes)
	}
	a.send(packet{Kind: join, Checksums: a.checksums()}, b.self.Addr)
	if bytes := deliver(toB, b) + deliver(toA, a); bytes > 600 {
		t.Errorf("%d bytes to find that nothing differs", bytes)
	}
}

// Packets from unknown senders have bounded cost: the number of members is limited, and
// malformed packets get no response.
func TestUntrustedPacketsAreBounded(t *testing.T) {
	r, w := newTestRing(t, 10)
	for i := range maxMembers + 500 {
		r.mergeUpdate(Member{Addr: fmt.Sprintf("10.%d.%d.%d:1", 2+i/60_000, i/250%240, i%250), Incarnation: 1}, true)
	}
	if n := len(r.members); n > maxMembers {
		t.Errorf("%d members accepted", n)
	}
	w.sent = nil
	r.handlePacket(t.Context(), packet{Kind: ping, From: "nowhere"})
	r.handlePacket(t.Context(), packet{Kind: "none", From: "10.3.0.1:1"})
	if r.k.Counters.Counter("membership.malformed").Load() != 2 || len(w.sent) != 0 {
		t.Errorf("%d datagrams sent, counters %v", len(w.sent), r.k.Counters.Snapshot())
	}
}

// Updates about new members are transmitted only a few times. Otherwise many processes
// that start at once would each announce all to all.
func TestNewMemberUpdatesReachSendLimit(t *testing.T) {
	r, _ := newTestRing(t, 0)
	for i := range 300 {
		r.mergeUpdate(testMember(i), true)
	}
	sent := 0
	for range 1000 {
		sent += len(r.gossip())
	}
	if sent != 300*newMemberSends {
		t.Errorf("300 new members passed on %d times", sent)
	}
	r.suspect(testMember(7).Addr)
	if n := r.gossip(); len(n) != 1 || n[0].Status != Suspect {
		t.Errorf("updates after a suspicion: %+v", n)
	}
}

func BenchmarkPacket(b *testing.B) {
	k := kernel.NewKernel("pooler", nil, slog.New(slog.NewTextHandler(io.Discard, nil)))
	r := New(k, Config{Self: Member{Addr: "10.0.0.1:7441", Role: "pooler"}, ProbeInterval: kernel.Second})
	r.conn = &recordingConn{}
	for i := range 300 {
		r.mergeUpdate(testMember(i), false)
	}
	b.ReportAllocs()
	for b.Loop() {
		r.send(packet{Kind: ping, Updates: r.updatesWithSelf()}, "10.1.0.1:7441")
		r.conn.(*recordingConn).sent = nil
		if len(r.Peers("pooler")) != 300 {
			b.Fatal("members lost")
		}
	}
}
