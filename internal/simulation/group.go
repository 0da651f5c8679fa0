package simulation

import (
	"fmt"
	"net"

	"indigowalk/internal/kernel"
	"indigowalk/internal/standin"
)

// Group is a service of replicated databases in a world.
type Group struct {
	*standin.Group
	world *World
}

// Database is a stand-in for one database.
type Database = standin.Database

// Session is a client's session at a pooler.
type Session = standin.Session

// Load is a workload that checks the guarantees given to clients.
type Load = standin.Load

// AddGroup adds a service with a primary and two replicas, one in each of the first three zones.
func (w *World) AddGroup(service string) *Group {
	g := &Group{standin.NewGroup(environment{w}, service), w}
	w.Groups[service] = g
	for z, role := range []string{"primary", "replica", "replica"} {
		g.Add(fmt.Sprintf("%s-%d", service, z+1), fmt.Sprintf("10.%d.64.%d", z+1, len(w.Groups)), fmt.Sprintf("z%d", z+1), role)
	}
	return g
}

// clientHost returns the host of a zone's clients.
func (w *World) clientHost(zone int) *Host { return w.Net.Host(fmt.Sprintf("10.250.%d.2", zone)) }

// Login opens a session at a zone's pooler; if that fails, it returns the error code.
func (w *World) Login(zone int, database string) (*Session, string) {
	return standin.Login(w.clientHost(zone), ip(zone)+":8784", database)
}

// StartLoad starts clients that write to and read from the group through the poolers of the given
// zones, or of all zones if none are given.
func (w *World) StartLoad(g *Group, seed uint64, zones ...int) *Load {
	if len(zones) == 0 {
		for z := range w.Zones() {
			zones = append(zones, z+1)
		}
	}
	var poolers []standin.Pooler
	for _, z := range zones {
		poolers = append(poolers, standin.Pooler{Number: z, Address: standin.FixedAddress(ip(z) + ":8784"), Network: w.clientHost(z)})
	}
	return standin.NewLoad(g.Group, seed, poolers, nil)
}

// environment implements standin.Environment on a world's network.
type environment struct{ world *World }

func (e environment) Network(ip string) kernel.Network { return e.world.Net.Host(ip) }
func (e environment) Controls() []string               { return e.world.ControlAddrs() }
func (e environment) Silence(ip string, silent bool)   { e.world.Net.SetSilent(ip, silent) }
func (e environment) Reset(ip string)                  { e.world.Net.CloseSockets(ip) }

func (e environment) ReachedPeer(net.Conn) bool { return true }

func (e environment) Reaches(from, to string) bool {
	e.world.Net.mu.Lock()
	defer e.world.Net.mu.Unlock()
	return e.world.Net.reachable(from, to)
}
