package failover

import (
	"fmt"
	"slices"

	"indigowalk/internal/discovery"
	"indigowalk/internal/lineprotocol"
)

func (m *model) hasCaughtUpReplica(covered lineprotocol.Position) bool {
	m.resumeReplicas()
	return slices.ContainsFunc(notLeaving(m.replicas(m.leader.ID)), func(d discovery.Database) bool {
		n := m.node(d.ID)
		return m.up(d.ID) && !n.primary && !n.position().Less(covered)
	})
}

func (m *model) reconcileLeaving() {
	p := m.node(m.leader.ID)
	if !m.up(p.id) || !p.primary {
		return
	}
	replicas, covered := m.replicas(p.id), p.position()
	if m.interrupted() {
		return
	}
	ok := m.hasCaughtUpReplica(covered)
	gone := map[string]discovery.Database{}
	for _, d := range replicas {
		if d.Gone {
			gone[d.ID] = m.entries[d.ID]
			delete(m.entries, d.ID)
		}
	}
	removeGone(&m.leader, gone, covered)
	leaving := filter(replicas, func(d discovery.Database) bool { return d.Draining && !d.Gone })
	if !ok {
		m.clearLimits(m.entries)
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
	recordCommitLimits(m.entries, m.pause(filter(leaving, func(d discovery.Database) bool { return d.CommitLimit == "" })))
}

// pause pauses the replicas that the failover manager can reach and returns their positions; nil if
// the failover manager was interrupted.
func (m *model) pause(dbs []discovery.Database) map[string]lineprotocol.Position {
	positions := map[string]lineprotocol.Position{}
	for _, d := range dbs {
		if n := m.node(d.ID); m.up(d.ID) && !n.primary {
			n.paused = true
			positions[d.ID] = n.position()
		}
		if m.interrupted() {
			return nil
		}
	}
	// A node that has crashed or ended in the meantime is no longer paused, unless it is draining.
	return positions
}

func (m *model) advanceFailover() {
	if !m.leader.FailoverInProgress {
		if p := m.node(m.leader.ID); m.up(p.id) && p.primary && !m.hasCaughtUpReplica(p.position()) {
			return
		}
		m.leader.FailoverInProgress, m.leader.Target, m.leader.ChosenPosition, m.leader.PlatformCalled, m.leader.FailoverID = true, "", "", false, m.leader.FailoverID+1
	}
	if m.leader.Target == "" && !m.decide() {
		return
	}
	if m.interrupted() {
		return
	}
	target := m.node(m.leader.Target)
	if !target.alive {
		m.leader.Target = ""
		return
	}
	if !target.primary || target.term != m.term {
		m.promote(target)
	}
	if m.interrupted() {
		return
	}
	m.leader = Leader{Service: "s", ID: target.id, Term: target.term, FailoverID: m.leader.FailoverID, MinPosition: m.leader.MinPosition}
	m.writesStopped = false
	m.resumeReplicas()
}

// decide pauses the replicas, compares their positions and chooses one of them; it returns false if
// none was chosen.
func (m *model) decide() bool {
	if !m.up(m.leader.ID) && m.r.IntN(2) == 0 {
		pausedEarly := m.pause(filter(m.replicas(m.leader.ID), func(d discovery.Database) bool { return d.Draining && !d.Gone && d.CommitLimit == "" }))
		if pausedEarly == nil {
			return false
		}
		recordCommitLimits(m.entries, pausedEarly)
	}
	m.writesStopped = true // every pooler has released the old primary
	oldPrimary := m.leader.ID
	for _, d := range m.databases() {
		if d.HadID(m.leader.ID) && m.node(d.ID).primary {
			oldPrimary = d.ID
		}
	}
	input := ChoiceInput{SyncReplicas: 1}
	input.MinPosition, _ = lineprotocol.ParsePosition(m.leader.MinPosition)
	if chosenPosition, ok := lineprotocol.ParsePosition(m.leader.ChosenPosition); ok {
		input.ChosenPosition = &chosenPosition
	}
	if n := m.node(oldPrimary); m.up(oldPrimary) && !m.entries[oldPrimary].Gone && n.primary {
		primaryPosition := n.position()
		input.PrimaryPosition = &primaryPosition
	}
	m.addAckedBounds(&input)
	replicas := filter(m.replicas(m.leader.ID), func(d discovery.Database) bool { return d.ID != oldPrimary })
	for _, d := range replicas {
		if n := m.node(d.ID); m.up(d.ID) && n.primary && m.leader.PlatformCalled && n.term > m.leader.Term {
			m.commitChoice(d.ID, n.position())
			return true
		} else if m.up(d.ID) && n.primary && n.term < m.leader.Term {
			n.primary = false
		}
	}
	paused := m.pause(notGone(replicas))
	if paused == nil {
		return false
	}
	input.Paused, input.Absent = splitByPaused(replicas, paused)
	target, _ := m.choose(input)
	if target != "" {
		m.commitChoice(target, paused[target])
		return true
	}
	recordCommitLimits(m.entries, paused)
	if input.PrimaryPosition != nil && m.leader.PlatformCalled {
		m.commitChoice(oldPrimary, *input.PrimaryPosition)
		return true
	}
	if input.PrimaryPosition != nil {
		m.leader.FailoverInProgress, m.writesStopped = false, false
		m.resumeReplicas()
	}
	return false
}

// addAckedBounds adds what is known of the acknowledged commits. If a pooler is lost, no upper bound is
// known, but other poolers report what it notified them of. A known lower bound need not include the
// newest acknowledged commit, whether a pooler is lost or not.
func (m *model) addAckedBounds(input *ChoiceInput) {
	reported, lowerBound := m.upperBound(m.acked), newestOf(m.acked)
	if m.r.IntN(2) == 0 {
		lowerBound = newestOf(m.acked[:max(0, len(m.acked)-1)])
	}
	if m.boundsKnown && (m.managerOnly || m.r.IntN(2) == 0) {
		input.AckedUpperBound = &reported
	}
	input.ReportedUpperBound, input.AckedLowerBound = reported, &lowerBound
	input.FirstHeartbeatsElapsed = m.firstHeartbeats(m.firstHeartbeatsDue(lowerBound))
}

func (m *model) commitChoice(target string, position lineprotocol.Position) {
	m.leader.Target, m.leader.PlatformCalled, m.leader.ChosenPosition = target, true, position.String()
	removeGone(&m.leader, m.entries, position)
	m.clearLimits(m.entries)
}

// promote promotes a database, as the platform does, and checks that it holds every acknowledged
// commit.
func (m *model) promote(target *node) {
	if m.violation == "" && !m.holds(target.log) {
		m.violation = fmt.Sprintf("%s was promoted with %d commits up to %v, although %d were acknowledged", target.id, len(target.log), target.position(), len(m.acked))
	}
	m.term++
	target.primary, target.term, target.paused = true, m.term, false
	for _, n := range m.nodes {
		if n != target && n.alive && n.linked && target.linked && !n.primary {
			n.log, n.paused = slices.Clone(target.log), false
		}
	}
}
