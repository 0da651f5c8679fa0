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

// echoBehindRelay starts a server that echoes lines, and a relay to it. It returns the links that the
// relay obeys and the relay's address.
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

// exchangeTimeout is longer than a successful exchange takes on a loaded machine.
const exchangeTimeout = 10 * time.Second

// exchange sends a line and waits for a line in response.
func exchange(c net.Conn, timeout time.Duration) error {
	if _, err := c.Write([]byte("line\n")); err != nil {
		return err
	}
	if err := c.SetReadDeadline(time.Now().Add(timeout)); err != nil {
		return err
	}
	_, err := bufio.NewReader(c).ReadString('\n')
	return err
}

func TestRelayForwardsAsLinksAllow(t *testing.T) {
	l, addr := echoBehindRelay(t)
	everything := func(string, string) bool { return true }
	forward := oneWay(hostSet("caller"), hostSet("callee"))
	backward := oneWay(hostSet("callee"), hostSet("caller"))
	for name, c := range map[string]struct {
		matches func(from, to string) bool
		impairment
		passes, heals bool // an exchange succeeds during the impairment, and after it on the same connection
	}{
		"others are cut off": {matches: between(hostSet("caller"), hostSet("another")), impairment: impairment{cut: true}, passes: true, heals: true},
		"cut":                {matches: everything, impairment: impairment{cut: true}, heals: true},
		"cut forward":        {matches: forward, impairment: impairment{cut: true}, heals: true},
		"cut backward":       {matches: backward, impairment: impairment{cut: true}, heals: true},
		"refused":            {matches: everything, impairment: impairment{refuse: true}},
		"responses are lost": {matches: everything, impairment: impairment{replyLoss: 1}},
		"delayed":            {matches: everything, impairment: impairment{delay: time.Millisecond}, passes: true, heals: true},
	} {
		conn, err := net.Dial("tcp4", addr)
		if err != nil {
			t.Fatal(err)
		}
		if err := exchange(conn, exchangeTimeout); err != nil {
			t.Errorf("%s: exchange before the impairment: %v", name, err)
		}
		heal := l.impair(c.matches, c.impairment)
		timeout := exchangeTimeout
		if !c.passes {
			timeout = cutLinkTimeout / 5
		}
		if err := exchange(conn, timeout); (err == nil) != c.passes {
			t.Errorf("%s: exchange during the impairment succeeded: %v, want %v: %v", name, err == nil, c.passes, err)
		}
		heal()
		if err := exchange(conn, exchangeTimeout); (err == nil) != c.heals {
			t.Errorf("%s: exchange after the impairment succeeded: %v, want %v: %v", name, err == nil, c.heals, err)
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
		t.Errorf("impairment from a to b: %+v", state)
	}
	if state, _ := l.state("b", "a"); state != (impairment{cut: true}) {
		t.Errorf("impairment from b to a: %+v", state)
	}
	_, changed := l.state("b", "a")
	healCut()
	select {
	case <-changed:
	default:
		t.Error("the removal of a cut did not signal a change of the links")
	}
	if state, _ := l.state("b", "a"); state != (impairment{}) {
		t.Errorf("impairment after the cut was removed: %+v", state)
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
			timeout := exchangeTimeout
			if n == step.times {
				timeout = 50 * time.Millisecond // no further copy is expected
			}
			if err := target.SetReadDeadline(time.Now().Add(timeout)); err != nil {
				t.Fatal(err)
			}
			buf := make([]byte, 10)
			length, _ := target.Read(buf) // 0 bytes if none arrives
			got.Write(buf[:length])
		}
		heal()
	}
	if got.String() != "1445" {
		t.Errorf("received datagrams %q, want 1445", got.String())
	}
}

// A relay accepts connections for a process that does not run. ReachedPeer must tell such a connection
// from one that broke after it had reached the process.
func TestUnforwardedConnectionsAreReported(t *testing.T) {
	for name, running := range map[string]bool{"a process that runs": true, "a process that does not run": false} {
		l, addr := echoBehindRelay(t)
		if !running {
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
			if running || !errors.Is(err, syscall.ECONNRESET) {
				t.Errorf("%s: %v", name, err)
			}
			continue
		}
		passed := exchange(conn, exchangeTimeout) == nil
		reported := (&loopback{links: l}).ReachedPeer(conn)
		conn.Close()
		if passed != running || reported != running {
			t.Errorf("%s: the line was echoed: %t, reported as connected: %t", name, passed, reported)
		}
	}
}
