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

// recordingConn records the datagrams that a Memberlist sends.
type recordingConn struct {
	net.PacketConn
	written [][]byte
}

func (c *recordingConn) WriteTo(b []byte, _ net.Addr) (int, error) {
	c.written = append(c.written, append([]byte(nil), b...))
	return len(b), nil
}

// newTestMemberlist returns a Memberlist that knows the given number of other members, and
// its connection.
func newTestMemberlist(t *testing.T, members int) (*Memberlist, *recordingConn) {
	t.Helper()
	k := kernel.NewKernel("pooler", nil, slog.New(slog.NewTextHandler(io.Discard, nil)))
	l := New(k, Config{Self: Member{Addr: "10.0.0.1:7441", Role: "pooler"}, ProbeInterval: kernel.Second})
	conn := &recordingConn{}
	l.conn = conn
	for i := range members {
		l.mergeUpdate(testMember(i), false)
	}
	return l, conn
}

func testMember(i int) Member {
	return Member{Addr: fmt.Sprintf("10.1.%d.%d:7441", i/200, i%200+1), Name: fmt.Sprint("edge-", i), Role: "pooler", Zone: "z", Incarnation: 1}
}

// A synchronization between two processes that know some three hundred members transfers
// only the partitions that differ, in datagrams of bounded size. Both know the same members
// afterwards.
func TestSyncSendsOnlyDifferences(t *testing.T) {
	a, toB := newTestMemberlist(t, 300)
	b, toA := newTestMemberlist(t, 298)
	b.mergeUpdate(Member{Addr: "10.9.0.1:7441", Role: "control", Incarnation: 1}, false)
	b.self.Addr, b.cachedSnapshot = "10.0.0.2:7441", nil
	a.mergeUpdate(b.Self(), false)
	b.mergeUpdate(a.Self(), false)
	deliver := func(from *recordingConn, to *Memberlist) (bytes int) {
		sent := from.written
		from.written = nil
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
	a.send(packet{Kind: syncRequest, Checksums: a.checksums()}, b.self.Addr)
	bytes := deliver(toB, b) + deliver(toA, a) + deliver(toB, b)
	if membersOfA, membersOfB := len(a.Members()), len(b.Members()); membersOfA != 303 || membersOfB != 303 {
		t.Errorf("%d and %d members after synchronizing, want 303", membersOfA, membersOfB)
	}
	if bytes > 16_000 { // all would be some 30 KB one way
		t.Errorf("%d bytes transferred for three members that differed", bytes)
	}
	a.send(packet{Kind: syncRequest, Checksums: a.checksums()}, b.self.Addr)
	if bytes := deliver(toB, b) + deliver(toA, a); bytes > 600 {
		t.Errorf("%d bytes transferred though nothing differs", bytes)
	}
}

// Packets from unknown senders have bounded cost: the number of members is limited, and
// malformed packets get no response.
func TestPacketsFromUnknownSendersHaveBoundedCost(t *testing.T) {
	l, conn := newTestMemberlist(t, 10)
	for i := range maxMembers + 500 {
		l.mergeUpdate(Member{Addr: fmt.Sprintf("10.%d.%d.%d:1", 2+i/60_000, i/250%240, i%250), Incarnation: 1}, true)
	}
	if n := len(l.members); n > maxMembers {
		t.Errorf("%d members accepted", n)
	}
	conn.written = nil
	l.handlePacket(t.Context(), packet{Kind: ping, From: "nowhere"})
	l.handlePacket(t.Context(), packet{Kind: "none", From: "10.3.0.1:1"})
	if l.k.Counters.Counter("membership.malformed").Load() != 2 || len(conn.written) != 0 {
		t.Errorf("%d datagrams sent, counters %v", len(conn.written), l.k.Counters.Snapshot())
	}
}

// Updates about new members are transmitted only a few times. Otherwise many processes
// that start at once would each announce all others to all.
func TestNewMemberUpdatesAreTransmittedFewTimes(t *testing.T) {
	l, _ := newTestMemberlist(t, 0)
	for i := range 300 {
		l.mergeUpdate(testMember(i), true)
	}
	sent := 0
	for range 1000 {
		sent += len(l.selectUpdates())
	}
	if sent != 300*newMemberTransmissions {
		t.Errorf("%d transmissions of updates about 300 new members", sent)
	}
	l.suspect(testMember(7).Addr)
	if updates := l.selectUpdates(); len(updates) != 1 || updates[0].Status != Suspect {
		t.Errorf("updates after a suspicion: %+v", updates)
	}
}

func BenchmarkPacket(b *testing.B) {
	k := kernel.NewKernel("pooler", nil, slog.New(slog.NewTextHandler(io.Discard, nil)))
	l := New(k, Config{Self: Member{Addr: "10.0.0.1:7441", Role: "pooler"}, ProbeInterval: kernel.Second})
	l.conn = &recordingConn{}
	for i := range 300 {
		l.mergeUpdate(testMember(i), false)
	}
	b.ReportAllocs()
	for b.Loop() {
		l.send(packet{Kind: ping, Updates: l.updatesWithSelf()}, "10.1.0.1:7441")
		l.conn.(*recordingConn).written = nil
		if len(l.Peers("pooler")) != 300 {
			b.Fatal("members lost")
		}
	}
}

// Peers in other zones are listed, or all peers if there are none in other zones.
func TestOtherZonePeers(t *testing.T) {
	l, _ := newTestMemberlist(t, 2)
	if got := len(l.OtherZonePeers()); got != 2 {
		t.Errorf("%d peers in other zones, want 2", got)
	}
	near := Member{Addr: "10.0.0.2:7441", Name: "near", Role: "pooler", Incarnation: 1}
	control := Member{Addr: "10.2.0.1:7440", Name: "control", Role: "control", Zone: "z", Incarnation: 1}
	l.mergeUpdate(near, false)
	l.mergeUpdate(control, false)
	if got := len(l.OtherZonePeers()); got != 2 {
		t.Errorf("%d peers in other zones, want 2: a pooler of this zone and a control node do not count", got)
	}
	alone, _ := newTestMemberlist(t, 0)
	alone.mergeUpdate(near, false)
	if got := alone.OtherZonePeers(); len(got) != 1 || got[0] != near.Addr {
		t.Errorf("peers without any in other zones: %v, want the one in this zone", got)
	}
}
