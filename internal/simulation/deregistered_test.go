package simulation

import (
	"testing"
	"time"
)

// writeThrough writes through a zone's pooler until a write is acknowledged.
func writeThrough(w *World, g *Group, zone int) {
	w.T.Helper()
	w.WaitUntil("a write is acknowledged", 5*time.Second, func() bool {
		session, _ := w.Login(zone, "p.ledger")
		if session == nil {
			return false
		}
		defer session.Close()
		answer, id := session.Query("PUT k v")
		if answer.Code != "" {
			return false
		}
		g.Ack(id)
		return true
	})
}

// replaceDeregistering replaces the third database by one that deregisters without having been
// draining and serves on, and returns it. Pooler 3 has acknowledged some commits before.
func replaceDeregistering(w *World, g *Group) (leaving *Database) {
	g.Add("ledger-4", "10.4.64.9", "z4", "replica")
	time.Sleep(time.Second)
	leaving = g.DB(2)
	leaving.DeregisterAndStop(15 * time.Second)
	for range 3 {
		writeThrough(w, g, 3)
		time.Sleep(time.Second)
	}
	return leaving
}

// writeWithout writes through pooler 2 while the given databases receive no commits.
func writeWithout(w *World, g *Group, stopped ...*Database) {
	for _, d := range stopped {
		d.SetReplicationStopped(true)
	}
	writeThrough(w, g, 2)
}

// crashPrimaryAfterWrite crashes the primary right after a write through pooler 2 that the given
// databases have not received, and returns the next primary.
func crashPrimaryAfterWrite(w *World, g *Group, behind ...*Database) *Database {
	w.T.Helper()
	primary := g.Primary()
	writeWithout(w, g, behind...)
	primary.Crash(false)
	for _, d := range behind {
		d.SetReplicationStopped(false)
	}
	load := w.StartLoad(g, 8, 3, 4) // so that poolers detect the crash
	defer load.Stop()
	return g.awaitNewPrimary(primary, 3*time.Second+firstHeartbeatTimeout)
}

// Guards against the loss of acknowledged commits (LOST) when a replica deregisters, serves on and
// alone holds the latest commits when the primary crashes.
func TestDeregisteredReplicaServesOn(t *testing.T) {
	withCluster(t, func(w *World, g *Group) {
		leaving := replaceDeregistering(w, g)
		if crashPrimaryAfterWrite(w, g, g.DB(1), g.DB(3)) != leaving {
			t.Error("the replica that holds the acknowledged commits was not promoted")
		}
	})
}

// Guards against the loss of acknowledged commits (LOST) when a replica and then the primary
// deregister and serve on, and the replicas that stay have not received the latest commits yet.
func TestDeregisteredPrimaryServesOn(t *testing.T) {
	withCluster(t, func(w *World, g *Group) {
		replaceDeregistering(w, g)
		primary := g.Primary()
		writeWithout(w, g, g.DB(1), g.DB(3))
		primary.DeregisterAndStop(15 * time.Second)
		time.Sleep(3*time.Second + firstHeartbeatTimeout)
		if g.Primary() != primary {
			t.Error("a replica that lacks acknowledged commits was promoted")
		}
		g.DB(1).SetReplicationStopped(false)
		g.DB(3).SetReplicationStopped(false)
		load := w.StartLoad(g, 8, 3, 4)
		defer load.Stop()
		g.awaitNewPrimary(primary, 5*time.Second)
	})
}

// Guards against an entry that is never removed: a database that has deregistered and served on has
// ended without a further word.
func TestDeregisteredDatabaseIsRemovedOnceItHasEnded(t *testing.T) {
	withCluster(t, func(w *World, g *Group) {
		leaving := replaceDeregistering(w, g)
		if _, listed := w.collectReports().Primary().Databases[leaving.ID]; !listed {
			t.Error("the database is not listed while it serves on")
		}
		time.Sleep(15 * time.Second)
		w.WaitUntil("the database is removed", 5*time.Second, func() bool {
			_, listed := w.collectReports().Primary().Databases[leaving.ID]
			return !listed
		})
	})
}
