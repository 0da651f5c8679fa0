package testbed

import (
	"bufio"
	"errors"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"
)

// echoBehindRelay starts a service that echoes lines, behind a relay.
func echoBehindRelay(t *testing.T) (l *links, addr string) {
	t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				for lines := bufio.NewScanner(c); lines.Scan(); {
					if _, err := c.Write([]byte(lines.Text() + "\n")); err != nil {
						return
					}
				}
			}()
		}
	}()
	l = newLinks(1)
	r, err := newRelay(l, func(string) string { return "caller" }, "callee", "127.0.0.1:0", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.close)
	return l, r.ln.Addr().String()
}

// longEnough is longer than a successful exchange takes on any machine.
const longEnough = 10 * time.Second

// exchange sends a line and waits for a line in response.
func exchange(c net.Conn, wait time.Duration) error {
	if _, err := c.Write([]byte("line\n")); err != nil {
		return err
	}
	if err := c.SetReadDeadline(time.Now().Add(wait)); err != nil {
		return err
	}
	_, err := bufio.NewReader(c).ReadString('\n')
	return err
}

func TestRelayForwardsAsLinksAllow(t *testing.T) {
	l, addr := echoBehindRelay(t)
	everything := func(string, string) bool { return true }
	there := oneWay(hostSet("caller"), hostSet("callee"))
	back := oneWay(hostSet("callee"), hostSet("caller"))
	for name, c := range map[string]struct {
		matches func(from, to string) bool
		impairment
		passes, heals bool // during the impairment, and on the same connection after it
	}{
		"others are cut off": {matches: between(hostSet("caller"), hostSet("another")), impairment: impairment{cut: true}, passes: true, heals: true},
		"cut":                {matches: everything, impairment: impairment{cut: true}, heals: true},
		"cut there":          {matches: there, impairment: impairment{cut: true}, heals: true},
		"cut back":           {matches: back, impairment: impairment{cut: true}, heals: true},
		"refused":            {matches: everything, impairment: impairment{refuse: true}},
		"responses are lost": {matches: everything, impairment: impairment{replyLoss: 1}},
		"delayed":            {matches: everything, impairment: impairment{delay: time.Millisecond}, passes: true, heals: true},
	} {
		conn, err := net.Dial("tcp4", addr)
		if err != nil {
			t.Fatal(err)
		}
		if err := exchange(conn, longEnough); err != nil {
			t.Errorf("%s: before: %v", name, err)
		}
		heal := l.impair(c.matches, c.impairment)
		wait := longEnough
		if !c.passes {
			wait = maxHold / 5
		}
		if err := exchange(conn, wait); (err == nil) != c.passes {
			t.Errorf("%s: passes %v, want %v: %v", name, err == nil, c.passes, err)
		}
		heal()
		if err := exchange(conn, longEnough); (err == nil) != c.heals {
			t.Errorf("%s: heals %v, want %v: %v", name, err == nil, c.heals, err)
		}
		conn.Close()
	}
}

func TestImpairmentsCombine(t *testing.T) {
	l := newLinks(1)
	healCut := l.impair(between(hostSet("a"), hostSet("b")), impairment{cut: true})
	healDelay := l.impair(oneWay(hostSet("a"), hostSet("b")), impairment{delay: 5, datagramLoss: 0.5})
	defer healDelay()
	if state, _ := l.state("a", "b"); state != (impairment{cut: true, delay: 5, datagramLoss: 0.5}) {
		t.Errorf("there: %+v", state)
	}
	if state, _ := l.state("b", "a"); state != (impairment{cut: true}) {
		t.Errorf("back: %+v", state)
	}
	_, changed := l.state("b", "a")
	healCut()
	select {
	case <-changed:
	default:
		t.Error("the removal of a cut did not signal a change of the links")
	}
	if state, _ := l.state("b", "a"); state != (impairment{}) {
		t.Errorf("after: %+v", state)
	}
}

func TestDatagramRelayForwardsAsLinksAllow(t *testing.T) {
	target, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	defer target.Close()
	l := newLinks(1)
	r, err := newDatagramRelay(l, func(string) string { return "caller" }, "callee", "127.0.0.1:0", target.LocalAddr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer r.close()
	c, err := net.Dial("udp4", r.conn.LocalAddr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	everything := func(string, string) bool { return true }
	var got strings.Builder
	for _, step := range []struct {
		text string
		impairment
		times int
	}{{"1", impairment{}, 1}, {"2", impairment{cut: true}, 0}, {"3", impairment{datagramLoss: 1}, 0}, {"4", impairment{duplication: 1}, 2}, {"5", impairment{}, 1}} {
		heal := l.impair(everything, step.impairment)
		if _, err := c.Write([]byte(step.text)); err != nil {
			t.Fatal(err)
		}
		for n := range step.times + 1 {
			wait := longEnough
			if n == step.times {
				wait = 50 * time.Millisecond // no further copy is expected
			}
			if err := target.SetReadDeadline(time.Now().Add(wait)); err != nil {
				t.Fatal(err)
			}
			buf := make([]byte, 10)
			length, _ := target.Read(buf) // 0 bytes if none arrives
			got.Write(buf[:length])
		}
		heal()
	}
	if got.String() != "1445" {
		t.Errorf("arrived: %s", got.String())
	}
}

// A connection that a relay accepted for a process that does not run is distinguished from one that
// broke later.
func TestUnforwardedConnectionsAreReported(t *testing.T) {
	for name, made := range map[string]bool{"a process that runs": true, "a process that is gone": false} {
		l, addr := echoBehindRelay(t)
		if !made {
			ln, err := net.Listen("tcp4", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			target := ln.Addr().String()
			ln.Close()
			r, err := newRelay(l, func(string) string { return "caller" }, "callee", "127.0.0.1:0", target)
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(r.close)
			addr = r.ln.Addr().String()
		}
		conn, err := net.Dial("tcp4", addr)
		if err != nil {
			// The reset may arrive before the kernel reports the connection as established.
			if made || !errors.Is(err, syscall.ECONNRESET) {
				t.Errorf("%s: %v", name, err)
			}
			continue
		}
		passed := exchange(conn, longEnough) == nil
		reported := (&loopback{links: l}).ReachedPeer(conn)
		conn.Close()
		if passed != made || reported != made {
			t.Errorf("%s: the line was echoed: %t, reported as connected: %t", name, passed, reported)
		}
	}
}
