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

// Time bounds. All but answerGrace are passed to the processes in their settings; the first four are also
// bounds of the checks.
const (
	drainBound    = 7 * time.Second
	recoveryBound = 4 * time.Second
	applyBound    = 3 * time.Second
	answerGrace   = 200 * time.Millisecond
	catchUpTime   = 4 * time.Second
	gracePeriod   = 6 * time.Second
)

// zoneCount is the number of availability zones that the machines are spread over.
const zoneCount = 4

// cluster consists of the machines, their processes and the addresses that they use.
type cluster struct {
	plan     Plan
	program  string
	dir      string
	loopback *loopback
	platform *standin.Platform
	server   *http.Server
	listener net.Listener // of the platform

	lossLimiter *lossLimiter

	mu               sync.Mutex
	machines         []*machine
	replaced         []*machine // that have been replaced
	replacementCount int        // number of machines that replaced another
}

// Range of the second octet of a run's addresses.
const (
	firstSubnet = 64
	subnetCount = 128
)

// skippedSubnets counts the subnets that were skipped because other runs use them.
var skippedSubnets atomic.Int64

// subnet returns the second octet of this run's addresses. It is derived from the process ID, so
// that concurrent runs on one machine use different addresses.
func subnet() int { return firstSubnet + (os.Getpid()+int(skippedSubnets.Load()))%subnetCount }

// reserveSubnet finds a subnet that no other run uses and listens at the platform's address in it.
func reserveSubnet() (ln net.Listener, err error) {
	for range subnetCount {
		if ln, err = net.Listen("tcp4", platformAddr()); err == nil {
			return ln, nil
		}
		skippedSubnets.Add(1)
	}
	return nil, fmt.Errorf("testbed: %w", err)
}

// address returns the IP address of the member of a group with the given zero-based number.
func address(group, n int) string { return fmt.Sprintf("127.%d.%d.%d", subnet(), group, n+1) }

// FirstAddress returns the address at which clients reach the first machine of a run in this
// process.
func FirstAddress() string { return address(machineGroup, 0) + ":" + clientPort }

// Groups of addresses: the third octet.
const (
	machineGroup     = 1
	bindAddressGroup = 2   // the processes of machines listen here, behind the relays
	databaseGroup    = 100 // the first of consecutive groups, one for each service
	platformGroup    = 250
	clientGroup      = 251
)

// operatorHost returns the address from which operators connect.
func operatorHost() string { return address(clientGroup, 0) }

// newCluster creates the machines of a plan without starting them.
func newCluster(plan Plan, program, dir string) (*cluster, error) {
	listener, err := reserveSubnet()
	if err != nil {
		return nil, err
	}
	c := &cluster{listener: listener, plan: plan, program: program, dir: dir, loopback: newLoopback(newLinks(uint64(plan.Seed))), platform: &standin.Platform{}}
	c.lossLimiter = newLossLimiter(int(c.plan.Tolerate))
	if plan.ExceedTolerated {
		c.lossLimiter = newLossLimiter(0)
	}
	for i := range plan.machineCount() {
		c.machines = append(c.machines, c.newMachine(i, i < int(plan.ControlNodes), i < int(plan.Proxies)))
	}
	c.publishControlAddrs()
	return c, nil
}

// newMachine creates the machine with the given zero-based number, without starting it.
func (c *cluster) newMachine(n int, control, proxy bool) *machine {
	m := &machine{
		name: fmt.Sprintf("edge-%d", n+1), ip: address(machineGroup, n), bindIP: address(bindAddressGroup, n), zone: fmt.Sprintf("zone-%d", n%zoneCount+1),
		control: control, proxy: proxy,
	}
	m.addProcesses(c.dir, c.program, c.plan.Tier, c.plan.Cores)
	c.loopback.registerSource(m.ip, m.bindIP)
	return m
}

// ports returns the TCP ports of a machine's processes, and those that also receive datagrams.
func (m *machine) ports() (ports []string, datagrams []string) {
	if m.control {
		ports, datagrams = append(ports, controlPort, controlRPCPort), append(datagrams, controlRPCPort)
	}
	if m.proxy {
		ports, datagrams = append(ports, clientPort, readyPort, proxyRPCPort), append(datagrams, proxyRPCPort)
	}
	return ports, datagrams
}

// startRelays starts a relay for each port of a machine's processes.
func (c *cluster) startRelays(m *machine) error {
	ports, datagrams := m.ports()
	for _, port := range ports {
		r, err := newRelay(c.loopback.links, c.loopback.hostBySource, m.ip, m.ip+":"+port, m.bindIP+":"+port)
		if err != nil {
			return fmt.Errorf("testbed: the address %s:%s of %s: %w", m.ip, port, m.name, err)
		}
		m.relays = append(m.relays, r)
	}
	for _, port := range datagrams {
		r, err := newDatagramRelay(c.loopback.links, c.loopback.hostBySource, m.ip, m.ip+":"+port, m.bindIP+":"+port)
		if err != nil {
			return fmt.Errorf("testbed: the address %s:%s of %s: %w", m.ip, port, m.name, err)
		}
		m.datagrams = append(m.datagrams, r)
	}
	return nil
}

func (m *machine) closeRelays() {
	for _, r := range m.relays {
		r.close()
	}
	for _, r := range m.datagrams {
		r.close()
	}
}

// publishControlAddrs publishes the addresses of the current control nodes to the platform.
func (c *cluster) publishControlAddrs() {
	var addrs []string
	for _, m := range c.machines {
		if m.control {
			addrs = append(addrs, m.controlAddr())
		}
	}
	c.loopback.setControls(addrs)
}

// currentMachines returns a copy of the list of machines that have not been replaced.
func (c *cluster) currentMachines() []*machine {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]*machine(nil), c.machines...)
}

func platformAddr() string { return address(platformGroup, 0) + ":" + platformPort }

// start starts the platform and bootstraps every process.
func (c *cluster) start() error {
	c.server = &http.Server{Handler: c.platform, ReadHeaderTimeout: time.Second}
	go c.server.Serve(c.listener)
	for _, m := range c.currentMachines() {
		if err := c.startRelays(m); err != nil {
			return err
		}
		if err := c.startMachine(m, true); err != nil {
			return err
		}
	}
	return nil
}

// maxSeeds is the maximum number of control nodes listed as seeds in the settings of a process.
const maxSeeds = 3

// seeds returns the addresses of the first current control nodes.
func (c *cluster) seeds() []string {
	controls := c.loopback.Controls()
	return controls[:min(maxSeeds, len(controls))]
}

// startMachine writes the settings files of a machine's processes and starts the processes.
func (c *cluster) startMachine(m *machine, bootstrap bool) error {
	if err := checkAddressesFree(m); err != nil {
		return err
	}
	for _, p := range m.procs {
		if err := p.writeSettings(m.settingsText(p, c.plan, c.seeds(), platformAddr(), bootstrap)); err != nil {
			return fmt.Errorf("testbed: %w", err)
		}
		if err := p.start(); err != nil {
			return err
		}
	}
	return nil
}

// checkAddressesFree returns an error if an address of the machine's processes is in use.
func checkAddressesFree(m *machine) error {
	var errs []error
	for _, addr := range []string{m.bindIP + ":" + clientPort, m.bindIP + ":" + controlPort} {
		ln, err := net.Listen("tcp4", addr)
		if err != nil {
			errs = append(errs, fmt.Errorf("testbed: the address %s of %s: %w", addr, m.name, err))
			continue
		}
		ln.Close()
	}
	return errors.Join(errs...)
}

// kill sends SIGKILL to a machine's processes and waits until they have exited.
func (m *machine) kill() {
	for _, p := range m.procs {
		p.signal(syscall.SIGKILL, true)
	}
	for _, p := range m.procs {
		p.killAndWait()
	}
}

// terminate shuts down a machine's processes with SIGTERM. Like the platform, it kills those that
// have not exited within the grace period.
func (m *machine) terminate() {
	for _, p := range m.procs {
		p.signal(syscall.SIGTERM, true)
	}
	end := time.Now().Add(gracePeriod)
	for _, p := range m.procs {
		if !p.awaitExit(time.Until(end)) {
			p.killAndWait()
		}
	}
}

// signal sends a signal that is not expected to end a process to all of a machine's processes.
func (m *machine) signal(s syscall.Signal) {
	for _, p := range m.procs {
		p.signal(s, false)
	}
}

// replace kills a machine and starts one with an empty disk, at another address, in its place.
func (c *cluster) replace(old *machine) (*machine, error) {
	old.kill()
	old.closeRelays()
	c.mu.Lock()
	n := c.plan.machineCount() + c.replacementCount
	c.replacementCount++
	m := c.newMachine(n, old.control, old.proxy)
	m.lifecycle.Lock() // no fault is injected into it before it has started
	defer m.lifecycle.Unlock()
	c.replaced = append(c.replaced, old)
	for i := range c.machines {
		if c.machines[i] == old {
			c.machines[i] = m
		}
	}
	c.publishControlAddrs()
	c.mu.Unlock()
	if err := c.startRelays(m); err != nil {
		return m, err
	}
	return m, c.startMachine(m, false)
}

// unexpectedExits describes the processes that exited unexpectedly, with the end of their logs.
func (c *cluster) unexpectedExits() (out []string) {
	for _, m := range c.currentMachines() {
		for _, p := range m.procs {
			if err := p.exitError(); err != nil {
				out = append(out, fmt.Sprintf("%v\n%s", err, p.logTail()))
			}
		}
	}
	return out
}

// stop shuts down every process, kills those that exceed the grace period, and closes the relays and
// the platform.
func (c *cluster) stop() {
	var wg sync.WaitGroup
	for _, m := range c.currentMachines() {
		wg.Go(m.terminate)
	}
	wg.Wait()
	for _, m := range c.currentMachines() {
		m.closeRelays()
	}
	c.listener.Close()
	if c.server != nil {
		c.server.Close()
	}
}

// awaitReady waits until every proxy reports that it accepts clients.
func (c *cluster) awaitReady(ctx context.Context) error {
	client := &http.Client{Timeout: time.Second}
	for _, m := range c.currentMachines() {
		for m.proxy && !isReady(client, m) {
			select {
			case <-ctx.Done():
				return fmt.Errorf("testbed: %s is not ready: %w", m.name, context.Cause(ctx))
			case <-time.After(50 * time.Millisecond):
			}
			for _, p := range m.procs {
				if err := p.exitError(); err != nil {
					return fmt.Errorf("testbed: %w\n%s", err, p.logTail())
				}
			}
		}
	}
	return nil
}

func isReady(client *http.Client, m *machine) bool {
	response, err := client.Get("http://" + m.ip + ":" + readyPort + "/readyz")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}
