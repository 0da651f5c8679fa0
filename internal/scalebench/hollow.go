// Package scalebench measures the cost of the control state at a given cluster size. It runs
// real control nodes, one process each, and hollow nodes, many in one process. Hollow nodes take
// part in membership and receive all updates, but serve no traffic.
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

// Role is the kernel role under which hollow nodes run.
const Role = "hollow"

// A hollow node has no connection pools to update, and its health checks always succeed.
func init() {
	kernel.Register(kernel.Plugin{
		Name: "hollow", Rank: 50, Roles: []string{Role},
		Build: func(k *kernel.Kernel) error {
			kernel.Offer(k, connpool.DatabaseUpdater(func(map[string]discovery.Database) {}))
			kernel.Offer[health.Checker](k, func(context.Context, string) bool { return true })
			return nil
		},
	})
}

// meteredNetwork is the host's network with counters of the bytes received and sent through it.
type meteredNetwork struct {
	kernel.HostNetwork
	received, sent *atomic.Int64
}

// meteredConn is a connection whose bytes are counted.
type meteredConn struct {
	net.Conn
	network meteredNetwork
}

func (c meteredConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.network.received.Add(int64(n))
	return n, err
}

func (c meteredConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.network.sent.Add(int64(n))
	return n, err
}

// Dial implements kernel.Network.
func (n meteredNetwork) Dial(ctx context.Context, addr string, peerTimeout kernel.Micros) (net.Conn, error) {
	conn, err := n.HostNetwork.Dial(ctx, addr, peerTimeout)
	if err != nil {
		return nil, err
	}
	return meteredConn{conn, n}, nil
}

// meteredPacketConn is a packet socket whose bytes are counted.
type meteredPacketConn struct {
	net.PacketConn
	network meteredNetwork
}

func (p meteredPacketConn) ReadFrom(b []byte) (int, net.Addr, error) {
	n, from, err := p.PacketConn.ReadFrom(b)
	p.network.received.Add(int64(n))
	return n, from, err
}

func (p meteredPacketConn) WriteTo(b []byte, to net.Addr) (int, error) {
	n, err := p.PacketConn.WriteTo(b, to)
	p.network.sent.Add(int64(n))
	return n, err
}

// ListenPacket implements kernel.Network.
func (n meteredNetwork) ListenPacket(addr string) (net.PacketConn, error) {
	conn, err := n.HostNetwork.ListenPacket(addr)
	if err != nil {
		return nil, err
	}
	return meteredPacketConn{conn, n}, nil
}

// hollowStatus is one status report of a hollow node process, written as a line of JSON: how many
// of its nodes have a configuration and databases, the oldest configuration version among them,
// when the last of the nodes with that version received it, and the bytes that all have received
// and sent.
type hollowStatus struct {
	Ready int   `json:"ready"`
	Rev   int64 `json:"rev"`
	AtUs  int64 `json:"at_us"` // wall-clock time at which the last node with version Rev received it
	In    int64 `json:"in"`
	Out   int64 `json:"out"`
}

// RunHollowNodes runs count hollow nodes, numbered from first on, and writes their status to out
// every 50 ms until ctx is done.
func RunHollowNodes(ctx context.Context, first, count int, seeds string, out io.Writer) error {
	network := meteredNetwork{received: new(atomic.Int64), sent: new(atomic.Int64)}
	var mu sync.Mutex
	revs, receivedAt := make([]int64, count), make([]time.Time, count)
	var running sync.WaitGroup
	for i := range count {
		nodeSettings, err := settings.Parse([]byte(settingsText(first+i, Role, seeds, "")))
		if err != nil {
			return fmt.Errorf("scalebench: %w", err)
		}
		k := kernel.NewKernel(Role, network, slog.New(slog.DiscardHandler))
		kernel.Offer(k, settings.NewLive(nodeSettings))
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
						revs[i], receivedAt[i] = rev, time.Now()
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
	encoder := json.NewEncoder(out)
	for kernel.Sleep(ctx, 50*kernel.Millisecond) {
		status := hollowStatus{In: network.received.Load(), Out: network.sent.Load()}
		mu.Lock()
		for i, rev := range revs {
			if rev > 0 {
				status.Ready++
			}
			if at := receivedAt[i].UnixMicro(); i == 0 || rev < status.Rev {
				status.Rev, status.AtUs = rev, at
			} else if rev == status.Rev {
				status.AtUs = max(status.AtUs, at)
			}
		}
		mu.Unlock()
		if err := encoder.Encode(status); err != nil {
			return fmt.Errorf("scalebench: %w", err)
		}
	}
	running.Wait()
	return nil
}

// nodeAddress returns the loopback address of the node with the given number.
func nodeAddress(node int) string {
	return fmt.Sprintf("127.%d.%d.%d", 10+node/40000, node/200%200, node%200+1)
}

// settingsText returns the text of a node's settings file.
func settingsText(node int, role, seeds, dir string) string {
	ip := nodeAddress(node)
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
