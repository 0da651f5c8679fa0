package failover

import (
	"fmt"
	"slices"

	"indigowalk/internal/discovery"
	"indigowalk/internal/lineprotocol"
)

func (m *model) hasCaughtUpReplica(covered lineprotocol.Position) bool {
	m.resumeReplicas()
	return slices.ContainsFunc(remaining(m.replicas(m.lead.ID)), func(d discovery.Database) bool {
		n := m.node(d.ID)
		return m.up(d.ID) && !n.primary && !n.pos().Less(covered)
	})
}

func (m *model) reconcileLeaving() {
	p := m.node(m.lead.ID)
	if !m.up(p.id) || !p.primary {
		return
	}
	replicas, covered := m.replicas(p.id), p.pos()
	if m.interrupted() {
		return
	}
	ok := m.hasCaughtUpReplica(covered)
	gone := map[string]discovery.Database{}
	for _, d := range replicas {
		if d.Gone {
			gone[d.ID] = m.known[d.ID]
			delete(m.known, d.ID)
		}
	}
	removeGone(&m.lead, gone, covered)
	leaving := filter(replicas, func(d discovery.Database) bool { return d.Draining && !d.Gone })
	if !ok {
		m.clearLimits(m.known)
		if m.interrupted() {
			return
		}
		for _, d := range leaving {
			if m.up(d.ID) {
				m.node(d.ID).paused = false
			}
		}
		return
	}
	recordLimits(m.known, m.pause(filter(leaving, func(d discovery.Database) bool { return d.Limit == "" })))
}

// pause pauses the nodes that can be reached and returns their positions.
func (m *model) pause(dbs []discovery.Database) map[string]lineprotocol.Position {
	paused := map[string]lineprotocol.Position{}
	for _, d := range dbs {
		if n := m.node(d.ID); m.up(d.ID) && !n.primary {
			n.paused = true
			paused[d.ID] = n.pos()
		}
		if m.interrupted() {
			return nil
		}
	}
	// A node that ended or crashed meanwhile is no longer paused, unless it is draining.
	return paused
}

func (m *model) advanceFailover() {
	if !m.lead.FailoverInProgress {
		if p := m.node(m.lead.ID); m.up(p.id) && p.primary && !m.hasCaughtUpReplica(p.pos()) {
			return
		}
		m.lead.FailoverInProgress, m.lead.To, m.lead.ChosenPosition, m.lead.PlatformCalled, m.lead.FailoverID = true, "", "", false, m.lead.FailoverID+1
	}
	if m.lead.To == "" && !m.decide() {
		return
	}
	if m.interrupted() {
		return
	}
	to := m.node(m.lead.To)
	if !to.runs {
		m.lead.To = ""
		return
	}
	if !to.primary || to.term != m.term {
		m.promote(to)
	}
	if m.interrupted() {
		return
	}
	m.lead = Leader{Service: "s", ID: to.id, Term: to.term, FailoverID: m.lead.FailoverID, MinPosition: m.lead.MinPosition}
	m.writesStopped = false
	m.resumeReplicas()
}

// decide pauses the replicas, compares their positions and chooses; true once there is a choice.
func (m *model) decide() bool {
	if !m.up(m.lead.ID) && m.r.IntN(2) == 0 {
		pausedEarly := m.pause(filter(m.replicas(m.lead.ID), func(d discovery.Database) bool { return d.Draining && !d.Gone && d.Limit == "" }))
		if pausedEarly == nil {
			return false
		}
		recordLimits(m.known, pausedEarly)
	}
	m.writesStopped = true // every pooler has left the old primary
	old := m.lead.ID
	for _, d := range m.list() {
		if d.HadID(m.lead.ID) && m.node(d.ID).primary {
			old = d.ID
		}
	}
	sit := Situation{SyncReplicas: 1}
	sit.MinPosition, _ = lineprotocol.ParsePosition(m.lead.MinPosition)
	if floor, ok := lineprotocol.ParsePosition(m.lead.ChosenPosition); ok {
		sit.ChosenPosition = &floor
	}
	if n := m.node(old); m.up(old) && !m.known[old].Gone && n.primary {
		held := n.pos()
		sit.PrimaryPosition = &held
	}
	certain := newestOf(m.acked)
	if m.boundsKnown && (m.managerOnly || m.r.IntN(2) == 0) {
		acked := m.upperBound(m.acked)
		sit.AckedUpperBound = &acked
		if m.r.IntN(2) == 0 { // the bound may be lower than the last commit
			certain = newestOf(m.acked[:max(0, len(m.acked)-1)])
		}
	}
	sit.AckedLowerBound, sit.FirstHeartbeatsElapsed = &certain, m.firstHeartbeats(m.allHeard())
	replicas := filter(m.replicas(m.lead.ID), func(d discovery.Database) bool { return d.ID != old })
	for _, d := range replicas {
		if n := m.node(d.ID); m.up(d.ID) && n.primary && m.lead.PlatformCalled && n.term > m.lead.Term {
			m.commitChoice(d.ID, n.pos())
			return true
		} else if m.up(d.ID) && n.primary && n.term < m.lead.Term {
			n.primary = false
		}
	}
	paused := m.pause(notGone(replicas))
	if paused == nil {
		return false
	}
	sit.Copies, sit.Absent = splitByPaused(replicas, paused)
	to, _ := m.choose(sit)
	if to != "" {
		m.commitChoice(to, paused[to])
		return true
	}
	recordLimits(m.known, paused)
	if sit.PrimaryPosition != nil && m.lead.PlatformCalled {
		m.commitChoice(old, *sit.PrimaryPosition)
		return true
	}
	if sit.PrimaryPosition != nil {
		m.lead.FailoverInProgress, m.writesStopped = false, false
		m.resumeReplicas()
	}
	return false
}

func (m *model) commitChoice(to string, floor lineprotocol.Position) {
	m.lead.To, m.lead.PlatformCalled, m.lead.ChosenPosition = to, true, floor.String()
	removeGone(&m.lead, m.known, floor)
	m.clearLimits(m.known)
}

// promote is what the platform does; it is also where the history is checked.
func (m *model) promote(to *node) {
	if m.violation == "" && !m.holds(to.log) {
		m.violation = fmt.Sprintf("%s was promoted with %d commits up to %v, although %d were acknowledged", to.id, len(to.log), to.pos(), len(m.acked))
	}
	m.term++
	to.primary, to.term, to.paused = true, m.term, false
	for _, n := range m.nodes {
		if n != to && n.runs && n.linked && to.linked && !n.primary {
			n.log, n.paused = slices.Clone(to.log), false
		}
	}
}
