// Package scalebench measures what the control state costs at a number of nodes:
// real control nodes as processes, and hollow nodes, which take part in membership
// and hear the news but carry no traffic, many of them in a process.
package scalebench

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"indigowalk/internal/connpool"
	"indigowalk/internal/discovery"
	"indigowalk/internal/distribution"
	"indigowalk/internal/health"
	"indigowalk/internal/kernel"
	"indigowalk/internal/settings"
)

// Role is that of hollow nodes.
const Role = "hollow"

func init() {
	kernel.Register(kernel.Plugin{
		Name: "hollow", Rank: 50, Roles: []string{Role},
		Build: func(k *kernel.Kernel) error {
			kernel.Offer(k, connpool.Updater(func(map[string]discovery.Database) {}))
			kernel.Offer[health.Checker](k, func(context.Context, string) bool { return true })
			return nil
		},
	})
}

// metered counts what goes through a network.
type metered struct {
	kernel.HostNetwork
	in, out *atomic.Int64
}

type meteredConn struct {
	net.Conn
	m metered
}

func (c meteredConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.m.in.Add(int64(n))
	return n, err
}

func (c meteredConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.m.out.Add(int64(n))
	return n, err
}

// Dial implements kernel.Network.
func (m metered) Dial(ctx context.Context, addr string, silence kernel.Micros) (net.Conn, error) {
	c, err := m.HostNetwork.Dial(ctx, addr, silence)
	if err != nil {
		return nil, err
	}
	return meteredConn{c, m}, nil
}

type meteredPackets struct {
	net.PacketConn
	m metered
}

func (p meteredPackets) ReadFrom(b []byte) (int, net.Addr, error) {
	n, from, err := p.PacketConn.ReadFrom(b)
	p.m.in.Add(int64(n))
	return n, from, err
}

func (p meteredPackets) WriteTo(b []byte, to net.Addr) (int, error) {
	n, err := p.PacketConn.WriteTo(b, to)
	p.m.out.Add(int64(n))
	return n, err
}

// ListenPacket implements kernel.Network.
func (m metered) ListenPacket(addr string) (net.PacketConn, error) {
	p, err := m.HostNetwork.ListenPacket(addr)
	if err != nil {
		return nil, err
	}
	return meteredPackets{p, m}, nil
}

// line is what a process of hollow nodes tells: how many know a configuration
// and databases, the oldest version among them and since when, and the bytes they
// have sent and received.
type line struct {
	Ready int   `json:"ready"`
	Rev   int64 `json:"rev"`
	AtUs  int64 `json:"at_us"` // time of day at which the last of them learnt it
	In    int64 `json:"in"`
	Out   int64 `json:"out"`
}

// Hollow runs the nodes from first on, and tells how they are, until ctx ends.
func Hollow(ctx context.Context, first, count int, seeds string, out io.Writer) error {
	m := metered{in: new(atomic.Int64), out: new(atomic.Int64)}
	var mu sync.Mutex
	revs, learnt := make([]int64, count), make([]time.Time, count)
	var running sync.WaitGroup
	for i := range count {
		s, err := settings.Parse([]byte(settingsOf(first+i, Role, seeds, "")))
		if err != nil {
			return fmt.Errorf("scalebench: %w", err)
		}
		k := kernel.NewKernel(Role, m, slog.New(slog.DiscardHandler))
		kernel.Offer(k, settings.NewLive(s))
		if err := k.Assemble(); err != nil {
			return fmt.Errorf("scalebench: %w", err)
		}
		subscriber := kernel.Need[*distribution.Subscriber](k)
		running.Go(func() { k.Run(ctx) })
		running.Go(func() {
			for ctx.Err() == nil {
				changed := subscriber.Changed()
				if _, _, rev, _ := subscriber.Version(); subscriber.Ready() {
					mu.Lock()
					if rev > revs[i] {
						revs[i], learnt[i] = rev, time.Now()
					}
					mu.Unlock()
				}
				select {
				case <-ctx.Done():
				case <-changed:
				}
			}
		})
	}
	e := json.NewEncoder(out)
	for kernel.Sleep(ctx, 50*kernel.Millisecond) {
		l := line{In: m.in.Load(), Out: m.out.Load()}
		mu.Lock()
		for i, rev := range revs {
			if rev > 0 {
				l.Ready++
			}
			if at := learnt[i].UnixMicro(); i == 0 || rev < l.Rev {
				l.Rev, l.AtUs = rev, at
			} else if rev == l.Rev {
				l.AtUs = max(l.AtUs, at)
			}
		}
		mu.Unlock()
		if err := e.Encode(l); err != nil {
			return fmt.Errorf("scalebench: %w", err)
		}
	}
	running.Wait()
	return nil
}

// address is that of a node on the loopback.
func address(node int) string {
	return fmt.Sprintf("127.%d.%d.%d", 10+node/40000, node/200%200, node%200+1)
}

// settingsOf returns the settings file of a node.
func settingsOf(node int, role, seeds, dir string) string {
	ip := address(node)
	return fmt.Sprintf(`node_name=%[2]s-%[1]d
ip=%[3]s
zone=zone-%[4]d
listen.client_addr=%[3]s:8784
listen.ready_addr=%[3]s:8785
listen.control_addr=%[3]s:8782
port_range=7440,7455
seeds=%[5]s
bootstrap=true
data_dir=%[6]s
tolerate.hosts=1
limits.net_mbps=100
`, node, role, ip, node%11, seeds, dir)
}
