package testbed

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"indigowalk/internal/standin"
)

// Bounds that the processes are told, and that the checks use.
const (
	drainBound   = 7 * time.Second
	contactBound = 4 * time.Second
	applyBound   = 3 * time.Second
	slackBound   = 200 * time.Millisecond
	catchup      = 4 * time.Second
	grace        = 6 * time.Second
)

// zones is over how many zones the machines are spread.
const zones = 4

// cluster is the processes and the addresses at which they stand.
type cluster struct {
	plan     Plan
	program  string
	dir      string
	net      *loopback
	platform *standin.Platform
	server   *http.Server
	listener net.Listener // of the platform

	losses *losses

	mu       sync.Mutex
	machines []*machine
	gone     []*machine // whose place others took
	added    int        // machines that came in another's place
}

const (
	firstSubnet = 64
	subnets     = 128
)

// shift is how many subnets were passed over since others use them.
var shift atomic.Int64

// subnet keeps the addresses of two runs on one machine apart.
func subnet() int { return firstSubnet + (os.Getpid()+int(shift.Load()))%subnets }

// reserve finds a subnet that no other run uses, and listens at the platform's address
// there.
func reserve() (ln net.Listener, err error) {
	for range subnets {
		if ln, err = net.Listen("tcp4", platformAddr()); err == nil {
			return ln, nil
		}
		shift.Add(1)
	}
	return nil, fmt.Errorf("testbed: %w", err)
}

// address is that of a machine, by its number.
func address(group, n int) string { return fmt.Sprintf("127.%d.%d.%d", subnet(), group, n+1) }

// FirstAddress is the address at which clients reach the first machine of a run of
// this process.
func FirstAddress() string { return address(machineGroup, 0) + ":" + clientPort }

// Groups of addresses.
const (
	machineGroup  = 1
	bindGroup     = 2   // at which the processes of machines listen
	databaseGroup = 100 // and up, one for each service
	platformGroup = 250
	clientGroup   = 251
)

// operatorHost is the address from which operators call.
func operatorHost() string { return address(clientGroup, 0) }

func newCluster(plan Plan, program, dir string) (*cluster, error) {
	listener, err := reserve()
	if err != nil {
		return nil, err
	}
	c := &cluster{listener: listener, plan: plan, program: program, dir: dir, net: newLoopback(newLinks(uint64(plan.Seed))), platform: &standin.Platform{}}
	c.losses = newLosses(int(c.plan.Tolerate))
	if plan.Beyond {
		c.losses = newLosses(0)
	}
	for i := range plan.machines() {
		c.machines = append(c.machines, c.machine(i, i < int(plan.ControlNodes), i < int(plan.Carriers)))
	}
	c.tellControls()
	return c, nil
}

func (c *cluster) machine(n int, control, carrier bool) *machine {
	m := &machine{
		name: fmt.Sprintf("edge-%d", n+1), ip: address(machineGroup, n), bind: address(bindGroup, n), zone: fmt.Sprintf("zone-%d", n%zones+1),
		control: control, carrier: carrier,
	}
	m.processes(c.dir, c.program, c.plan.Tier, c.plan.Cores)
	c.net.callsFrom(m.ip, m.bind)
	return m
}

// ports are those at which a machine's processes are reached, and which of them for
// datagrams too.
func (m *machine) ports() (ports []string, datagrams []string) {
	if m.control {
		ports, datagrams = append(ports, controlPort, controlCallPort), append(datagrams, controlCallPort)
	}
	if m.carrier {
		ports, datagrams = append(ports, clientPort, readyPort, carrierCallPort), append(datagrams, carrierCallPort)
	}
	return ports, datagrams
}

// relay puts relays in front of a machine's processes.
func (c *cluster) relay(m *machine) error {
	ports, datagrams := m.ports()
	for _, port := range ports {
		r, err := newRelay(c.net.links, c.net.hostOf, m.ip, m.ip+":"+port, m.bind+":"+port)
		if err != nil {
			return fmt.Errorf("testbed: the address %s:%s of %s: %w", m.ip, port, m.name, err)
		}
		m.relays = append(m.relays, r)
	}
	for _, port := range datagrams {
		r, err := newDatagramRelay(c.net.links, c.net.hostOf, m.ip, m.ip+":"+port, m.bind+":"+port)
		if err != nil {
			return fmt.Errorf("testbed: the address %s:%s of %s: %w", m.ip, port, m.name, err)
		}
		m.datagrams = append(m.datagrams, r)
	}
	return nil
}

// unrelay takes the relays of a machine away.
func (m *machine) unrelay() {
	for _, r := range m.relays {
		r.close()
	}
	for _, r := range m.datagrams {
		r.close()
	}
}

// tellControls has the platform know the control nodes that there are.
func (c *cluster) tellControls() {
	var addrs []string
	for _, m := range c.machines {
		if m.control {
			addrs = append(addrs, m.controlAddr())
		}
	}
	c.net.setControls(addrs)
}

// all returns the machines that there are.
func (c *cluster) all() []*machine {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]*machine(nil), c.machines...)
}

func platformAddr() string { return address(platformGroup, 0) + ":" + platformPort }

// start starts the platform and every process, for the first time.
func (c *cluster) start() error {
	c.server = &http.Server{Handler: c.platform, ReadHeaderTimeout: time.Second}
	go c.server.Serve(c.listener)
	for _, m := range c.all() {
		if err := c.relay(m); err != nil {
			return err
		}
		if err := c.startMachine(m, true); err != nil {
			return err
		}
	}
	return nil
}

// mostSeeds is how many control nodes a process is told of.
const mostSeeds = 3

// seeds are the first control nodes that there are now.
func (c *cluster) seeds() []string {
	controls := c.net.Controls()
	return controls[:min(mostSeeds, len(controls))]
}

// startMachine starts a machine's processes.
func (c *cluster) startMachine(m *machine, bootstrap bool) error {
	if err := free(m); err != nil {
		return err
	}
	for _, p := range m.procs {
		if err := p.write(m.settings(p, c.plan, c.seeds(), platformAddr(), bootstrap)); err != nil {
			return fmt.Errorf("testbed: %w", err)
		}
		if err := p.start(); err != nil {
			return err
		}
	}
	return nil
}

// free tells whether the machine's addresses can be used.
func free(m *machine) error {
	var faults []error
	for _, addr := range []string{m.bind + ":" + clientPort, m.bind + ":" + controlPort} {
		ln, err := net.Listen("tcp4", addr)
		if err != nil {
			faults = append(faults, fmt.Errorf("testbed: the address %s of %s: %w", addr, m.name, err))
			continue
		}
		ln.Close()
	}
	return errors.Join(faults...)
}

// kill ends a machine's processes without notice.
func (m *machine) kill() {
	for _, p := range m.procs {
		p.signal(syscall.SIGKILL, true)
	}
	for _, p := range m.procs {
		p.end()
	}
}

// term ends a machine's processes in order; those that take too long are killed, as
// the platform does.
func (m *machine) term() {
	for _, p := range m.procs {
		p.signal(syscall.SIGTERM, true)
	}
	end := time.Now().Add(grace)
	for _, p := range m.procs {
		if !p.await(time.Until(end)) {
			p.end()
		}
	}
}

// signal sends a signal that ends none to a machine's processes.
func (m *machine) signal(s syscall.Signal) {
	for _, p := range m.procs {
		p.signal(s, false)
	}
}

// replace puts an empty machine at another address in a machine's place.
func (c *cluster) replace(old *machine) (*machine, error) {
	old.kill()
	old.unrelay()
	c.mu.Lock()
	n := c.plan.machines() + c.added
	c.added++
	m := c.machine(n, old.control, old.carrier)
	m.lifecycle.Lock() // nothing strikes it before it has started
	defer m.lifecycle.Unlock()
	c.gone = append(c.gone, old)
	for i := range c.machines {
		if c.machines[i] == old {
			c.machines[i] = m
		}
	}
	c.tellControls()
	c.mu.Unlock()
	if err := c.relay(m); err != nil {
		return m, err
	}
	return m, c.startMachine(m, false)
}

// faults lists the processes that ended by themselves, with the end of their logs.
func (c *cluster) faults() (out []string) {
	for _, m := range c.all() {
		for _, p := range m.procs {
			if err := p.fault(); err != nil {
				out = append(out, fmt.Sprintf("%v\n%s", err, p.tail()))
			}
		}
	}
	return out
}

// end ends every process, in order at first.
func (c *cluster) end() {
	var wg sync.WaitGroup
	for _, m := range c.all() {
		wg.Go(m.term)
	}
	wg.Wait()
	for _, m := range c.all() {
		m.unrelay()
	}
	c.listener.Close()
	if c.server != nil {
		c.server.Close()
	}
}

// ready waits until every pooler says that it takes clients.
func (c *cluster) ready(ctx context.Context) error {
	client := &http.Client{Timeout: time.Second}
	for _, m := range c.all() {
		for m.carrier && !isReady(client, m) {
			select {
			case <-ctx.Done():
				return fmt.Errorf("testbed: %s is not ready: %w", m.name, context.Cause(ctx))
			case <-time.After(50 * time.Millisecond):
			}
			for _, p := range m.procs {
				if err := p.fault(); err != nil {
					return fmt.Errorf("testbed: %w\n%s", err, p.tail())
				}
			}
		}
	}
	return nil
}

func isReady(client *http.Client, m *machine) bool {
	a, err := client.Get("http://" + m.ip + ":" + readyPort + "/readyz")
	if err != nil {
		return false
	}
	a.Body.Close()
	return a.StatusCode == http.StatusOK
}
