package controlstate

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"indigowalk/internal/kernel"
)

// The model plays control nodes that stand, copy, vote, write and fail, one step at a
// time and in any order, on the functions that the daemon decides with: witness,
// membership, registerFrom. What it adds is only what carries them out. It never
// lets more than f control nodes be lost at once; one that is back counts as lost
// until catchup has gone by, one that is replaced until its successor has had
// that time.
type model struct {
	rng     *rand.Rand
	now     kernel.Micros
	f       int
	nodes   []*node
	disks   int
	writes  int
	acked   uint64           // changes that were acknowledged, one bit each
	leaders map[int64]string // by epoch
	without string           // the guard that is taken out
	over    bool             // more than f are lost, since one left as another was
	broken  string           // the invariant that was broken, and how
	trace   []string
}

const (
	tick       = 400 * kernel.Millisecond // a renewal each
	modelLease = 3 * tick
	modelAway  = 3 * kernel.Second
	modelCatch = 4 * kernel.Second
)

type node struct {
	addr string
	// On disk.
	disk    string
	reg     register
	epoch   int64  // of the state
	content uint64 // changes in the state
	// In memory.
	up, far, leaving, gone bool // far: cut off, or frozen, with others that are; gone: replaced for good
	counted                bool // as lost
	backAt                 kernel.Micros
	wit                    witness
	seen                   View
	seenTill, standAt      kernel.Micros
	active                 bool
	leaseEnd               kernel.Micros
	tried                  int64
	tentative              View
	members                memberPolicy
	missed                 map[string]int
	standing               *standing
	writing                *writing
	before                 *node // whose successor this is
}

// standing is an attempt to become primary, or to form another view, under way.
type standing struct {
	known   View
	view    View
	sets    [][]string
	was     bool // primary already
	todo    []string
	phase   int // 0 promises, 1 copies, 2 acceptances
	disks   map[string]string
	answers map[string]promiseAnswer
	granted map[string]bool
	start   kernel.Micros
}

// writing is a change under way to the backups.
type writing struct {
	view View
	bit  uint64
	todo []string
}

func (w *model) holds(guard string, ok bool) bool { return ok || w.without == guard }

func (w *model) breaks(invariant, how string, args ...any) {
	if w.broken == "" {
		w.broken = invariant + ": " + fmt.Sprintf(how, args...)
	}
}

func (w *model) note(format string, args ...any) {
	if len(w.trace) < 400 {
		w.trace = append(w.trace, fmt.Sprintf("%5d ", w.now.Millis())+fmt.Sprintf(format, args...))
	}
}

// vain notes an attempt that failed, if it is among the first in a row.
func (w *model) vain(format string, args ...any) {
	if n := len(w.trace); n < 4 || !strings.Contains(w.trace[n-4], "in vain") {
		w.note(format, args...)
	}
}

func newModel(seed uint64, f, controlNodes int, without string) *model {
	w := &model{rng: rand.New(rand.NewPCG(seed, 3)), now: kernel.Second, f: f, leaders: map[int64]string{}, without: without}
	for range controlNodes {
		w.add()
	}
	var seeds []string
	for _, n := range w.nodes[:min(3, controlNodes)] {
		seeds = append(seeds, n.addr)
	}
	for _, n := range w.nodes {
		if n.start(w); slices.Contains(seeds, n.addr) {
			n.reg.Accepted.Witnesses = seeds
			n.start(w)
		}
	}
	return w
}

// boot lets the first start go by.
func (w *model) boot() *model {
	w.calm(40)
	for _, n := range w.nodes {
		n.counted = false
	}
	return w
}

// calm lets time go by without trouble.
func (w *model) calm(ticks int) {
	for range ticks {
		w.tick(true)
	}
}

func (w *model) add() *node {
	w.disks++
	n := &node{addr: string(rune('a' + len(w.nodes))), disk: fmt.Sprint("disk", w.disks), counted: true}
	w.nodes = append(w.nodes, n)
	return n
}

// start begins a life on what is on disk.
func (n *node) start(w *model) {
	n.standing, n.writing = nil, nil
	n.up, n.leaving, n.far, n.backAt = true, false, false, w.now
	n.wit = witness{lease: modelLease, reg: n.reg, quietTill: w.now + modelLease}
	if n.reg.Promised == 0 && len(n.reg.Accepted.Witnesses) == 0 {
		n.wit.abstains = w.without != "EmptyAbstains"
	}
	n.members = newMemberPolicy(Member{n.addr, n.addr, n.disk}, Config{Losses: w.f, Lease: modelLease, Away: modelAway, Catchup: modelCatch})
	n.seen = n.reg.Accepted
	n.active, n.leaseEnd, n.tried, n.standAt, n.tentative, n.missed = false, 0, 0, 0, View{}, map[string]int{}
	n.seenTill = n.members.takeover(n.seen, w.now)
}

func (n *node) stop() { n.up, n.active, n.standing, n.writing = false, false, nil, nil }

func (n *node) self() Member                 { return n.members.self }
func (n *node) leads(now kernel.Micros) bool { return n.active && now < n.leaseEnd }

func (w *model) at(addr string) *node {
	if i := slices.IndexFunc(w.nodes, func(n *node) bool { return n.addr == addr }); i >= 0 {
		return w.nodes[i]
	}
	return nil
}

// reach returns the control node that a call from n is answered by.
func (w *model) reach(n *node, addr string) *node {
	if o := w.at(addr); o != nil && o.up && o.far == n.far {
		return o
	}
	return nil
}

func (w *model) alive(n *node) (out []string) {
	for _, o := range w.nodes {
		if o != n && w.reach(n, o.addr) != nil {
			out = append(out, o.addr)
		}
	}
	return out
}

func (n *node) observe(w *model, view View) {
	if view.Epoch > n.seen.Epoch || len(n.seen.Witnesses) == 0 {
		if n.active && view.Epoch > n.seen.Epoch {
			n.leaseEnd = 0
		}
		n.seen = view
		n.seenTill = max(n.seenTill, n.members.takeover(view, w.now))
	}
}

func (n *node) hear(w *model, view View) {
	n.observe(w, view)
	if view.Epoch == n.seen.Epoch && !n.active {
		n.seenTill = max(n.seenTill, n.members.takeover(view, w.now))
	}
}

func (n *node) resign(w *model) {
	n.active, n.members.since, n.standAt, n.writing = false, 0, w.now+modelLease, nil
}

func (n *node) handOver(w *model) {
	view := n.seen
	n.resign(w)
	for _, addr := range union(view.sets()...) {
		if o := w.reach(n, addr); o != nil {
			o.wit.release(view.Epoch)
		}
	}
	for _, b := range view.Backups {
		if o := w.reach(n, b.Addr); o != nil {
			if o.seen.Epoch == view.Epoch {
				o.seenTill, o.standAt = 0, 0
			}
			return
		}
	}
}

// stand begins an attempt.
func (n *node) stand(w *model) {
	epoch := max(n.wit.reg.Promised, n.seen.Epoch, n.epoch, n.tried) + 1
	s := &standing{known: n.seen, was: n.active, disks: map[string]string{}, answers: map[string]promiseAnswer{}, granted: map[string]bool{}}
	if n.tentative.Epoch > n.seen.Epoch {
		s.known = n.tentative
	}
	s.view, s.sets = n.members.proposal(s.known, n.active, epoch, w.now)
	if w.without == "BothSetsAgree" && len(s.view.Prior) > 0 {
		s.view.Prior, s.sets = nil, s.sets[1:]
	}
	s.todo = union(s.sets...)
	w.rng.Shuffle(len(s.todo), func(i, j int) { s.todo[i], s.todo[j] = s.todo[j], s.todo[i] })
	n.standing = s
}

func (n *node) fail(w *model) {
	w.vain("%s stands for %d in vain in phase %d: promised %v accepted %v", n.addr, n.standing.view.Epoch, n.standing.phase, n.standing.disks, n.standing.granted)
	n.standing = nil
	n.standAt = w.now + modelLease/24 + kernel.Micros(w.rng.IntN(int(modelLease/12)))
}

// step carries an attempt on by one call.
func (s *standing) step(w *model, n *node) {
	if s.was && !n.active {
		n.fail(w)
		return
	}
	switch s.phase {
	case 0:
		s.promise(w, n)
	case 1:
		s.copy(w, n)
	case 2:
		s.accept(w, n)
	}
}

func (s *standing) promise(w *model, n *node) {
	won := majorities(s.sets, has(s.disks))
	if len(s.todo) > 0 && !won {
		addr := s.todo[0]
		s.todo = s.todo[1:]
		if o := w.reach(n, addr); o != nil {
			a, err := o.wit.promise(w.now, promiseAsk{Epoch: s.view.Epoch, From: n.self()})
			if err == nil {
				if a.Granted {
					o.reg = o.wit.reg
					s.disks[addr] = o.disk
				}
				s.answers[addr] = a
				n.tried = max(n.tried, a.Promised)
			}
		}
		return
	}
	n.tried = max(n.tried, s.view.Epoch)
	if highest := highestInForce(s.view.Epoch, s.answers); highest.Epoch > s.known.Epoch && w.without != "NewerViewStops" {
		n.observe(w, highest)
		n.fail(w)
		return
	}
	if !won {
		n.fail(w)
		return
	}
	n.epoch = s.view.Epoch
	s.phase, s.todo = 1, n.members.candidates(s.known, w.alive(n), has(s.disks), w.now)
}

func (s *standing) copy(w *model, n *node) {
	if len(s.todo) > 0 && len(s.view.Backups) < n.members.copies() {
		addr := s.todo[0]
		s.todo = s.todo[1:]
		if o := w.reach(n, addr); o != nil && s.view.Epoch > o.epoch && !o.leads(w.now) && !o.leaving {
			o.epoch, o.content = s.view.Epoch, n.content
			s.view.Backups = append(slices.Clone(s.view.Backups), o.self())
			n.members.took(addr)
		} else {
			n.members.failed(addr, w.now)
		}
		return
	}
	if len(s.view.Backups) == 0 || !w.holds("EnoughBackups", n.members.enoughCopies(backupAddrs(s.view), slices.Collect(maps.Keys(s.disks)), has(s.disks), w.now)) {
		n.fail(w)
		return
	}
	n.tentative = s.view
	s.phase, s.start, s.todo = 2, w.now, slices.Sorted(maps.Keys(s.disks))
	w.rng.Shuffle(len(s.todo), func(i, j int) { s.todo[i], s.todo[j] = s.todo[j], s.todo[i] })
}

func (s *standing) accept(w *model, n *node) {
	won := majorities(s.sets, func(addr string) bool { return s.granted[addr] })
	if len(s.todo) > 0 && !won {
		addr := s.todo[0]
		s.todo = s.todo[1:]
		if o := w.reach(n, addr); o != nil && o.disk == s.disks[addr] {
			if a, _ := o.wit.accept(w.now, s.view); a.Granted {
				o.reg = o.wit.reg
				if s.granted[addr] = true; o != n {
					o.hear(w, s.view)
				}
			}
		}
		return
	}
	if !won || n.seen.Epoch > s.view.Epoch {
		n.fail(w)
		return
	}
	n.standing = nil
	if !n.active {
		n.members.since = w.now
		for addr := range s.disks {
			n.members.heard[addr] = w.now
		}
	}
	n.active, n.seen, n.leaseEnd = true, s.view, s.start+modelLease
	n.seenTill = n.leaseEnd
	clear(n.missed)
	w.note("%s leads %d with %v of %v %v", n.addr, s.view.Epoch, backupAddrs(s.view), s.view.Witnesses, s.view.Prior)
	if n.leads(w.now) && n.content&w.acked != w.acked {
		w.breaks("OldStateNeverLeads", "%s leads epoch %d with %b of %b", n.addr, s.view.Epoch, n.content, w.acked)
	}
	if other := w.leaders[s.view.Epoch]; other != "" && other != n.disk {
		w.breaks("OnePrimaryPerEpoch", "%s and %s in epoch %d", other, n.disk, s.view.Epoch)
	}
	w.leaders[s.view.Epoch] = n.disk
	if len(s.view.Prior) > 0 && w.without != "PriorLetGoAtOnce" {
		n.stand(w)
	}
}

// write begins a change, if one may be taken now.
func (n *node) write(w *model) bool {
	if n.standing != nil || n.writing != nil || !n.leads(w.now) || n.epoch != n.seen.Epoch || w.writes == 60 {
		return false
	}
	if !w.holds("EnoughBackups", n.members.enoughBackups(n.seen, w.now)) || !w.holds("LargeEnough", n.members.largeEnough(n.seen, w.now)) {
		return false
	}
	n.writing = &writing{n.seen, 1 << w.writes, backupAddrs(n.seen)}
	w.writes++
	n.content |= n.writing.bit
	return true
}

func (c *writing) step(w *model, n *node) {
	if len(c.todo) > 0 {
		addr := c.todo[0]
		c.todo = c.todo[1:]
		if o := w.reach(n, addr); o != nil && o.epoch == n.epoch && o.content|c.bit == n.content && !o.active {
			o.content |= c.bit
			return
		}
		n.writing = nil
		n.members.shun(addr, w.now)
		n.stand(w)
		return
	}
	n.writing = nil
	if n.leads(w.now) && n.seen.Epoch == c.view.Epoch {
		w.acked |= c.bit
		w.note("%s acknowledges %b", n.addr, c.bit)
	}
}

// tick lets the time of a renewal go by, with all that is done by the clock; in
// calm, each carries out the calls that are due before the next has its turn.
func (w *model) tick(calm bool) {
	w.now += tick
	for _, n := range w.nodes {
		if n.up {
			n.tick(w)
		}
		if calm {
			w.settleSteps()
		}
	}
}

func (n *node) tick(w *model) {
	if n.active && !n.leads(w.now) {
		n.resign(w)
	}
	if n.wit.abstains && w.now-n.backAt >= modelLease {
		n.recover(w)
	}
	if n.active {
		n.renew(w)
	}
	if n.leaving && n.leave(w) {
		return
	}
	at := max(n.seenTill, n.standAt)
	if n.leaving {
		at += modelLease / 2
	}
	may := w.holds("MembersStand", n.members.mayStand(n.seen, !n.wit.abstains && n.seen.Epoch == 0)) && (!n.leaving || w.without != "LeavingStands")
	switch {
	case n.standing != nil || n.writing != nil:
	case n.leads(w.now) && w.now >= n.standAt && (max(n.tried, n.epoch) > n.seen.Epoch || n.members.wantsAnother(n.seen, w.now)):
		n.stand(w)
	case !n.active && w.now >= at && may:
		n.stand(w)
	case !n.active && w.now >= at && n.seen.Epoch > 0:
		for _, addr := range union([]string{n.seen.Primary.Addr}, backupAddrs(n.seen)) {
			if o := w.reach(n, addr); o != nil {
				o.observe(w, n.seen)
			}
		}
	}
}

func (n *node) renew(w *model) {
	view, granted := n.seen, map[string]bool{}
	for _, addr := range union(union(view.sets()...), backupAddrs(view), w.alive(n)) {
		o := w.reach(n, addr)
		if addr == n.addr {
			o = n
		}
		i := slices.IndexFunc(view.Backups, func(b Member) bool { return b.Addr == addr })
		if o == nil {
			n.missed[addr]++
		} else if delete(n.missed, addr); view.Epoch >= o.seen.Epoch {
			a, _ := o.wit.renew(w.now, view)
			o.reg = o.wit.reg
			o.hear(w, view)
			if granted[addr] = a.Granted; a.Granted {
				n.members.heard[addr] = w.now
			} else if w.without != "RefusalsHeeded" {
				n.tried = max(n.tried, a.Promised)
			}
		}
		if i >= 0 && (n.missed[addr] >= missedMost || o != nil && w.without != "RenewalNamesDisk" && o.disk != view.Backups[i].Disk) {
			delete(n.missed, addr)
			n.members.shun(addr, w.now)
		}
	}
	if majorities(view.sets(), func(addr string) bool { return granted[addr] }) && n.active && n.seen.Epoch == view.Epoch {
		n.leaseEnd = max(n.leaseEnd, w.now+modelLease)
		n.seenTill = n.leaseEnd
	}
}

// recover reads the others' registers.
func (n *node) recover(w *model) {
	for view, hop := n.seen, 0; hop < 8; hop++ {
		answers := map[string]registerAnswer{}
		for _, addr := range w.alive(n) {
			o := w.at(addr)
			answers[addr] = registerAnswer{o.wit.reg, o.wit.abstains}
		}
		reg, newest, err := registerFrom(view, answers)
		if w.without == "IntactOverlap" && err != nil && len(newest.Witnesses) > 0 {
			reg, err = register{newest.Epoch, newest}, nil
		}
		if err != nil {
			return
		}
		if newest.Epoch == view.Epoch && len(view.Witnesses) > 0 {
			n.observe(w, reg.Accepted)
			n.reg, n.wit.reg, n.wit.abstains = reg, reg, false
			return
		}
		view = newest
	}
}

// leave does what Control state.Leave does at a time, and tells whether n has ended.
func (n *node) leave(w *model) bool {
	switch {
	case n.standing != nil || n.writing != nil:
	case n.active:
		n.handOver(w)
	case !n.seen.Has(n.self()) && !slices.Contains(union(n.seen.sets()...), n.addr) || w.without == "LeaveWaits":
		n.end(w)
		return true
	default:
		if p := w.reach(n, n.seen.Primary.Addr); p != nil && p != n {
			p.members.leaves(n.addr, w.now)
			if n.observe(w, p.seen); p.leads(w.now) && p.members.dispensable(p.seen, n.self(), w.now) {
				n.end(w)
				return true
			}
		}
	}
	return false
}

func (n *node) end(w *model) {
	w.note("%s ends", n.addr)
	n.stop()
	n.counted = true
}

// busy lists the control nodes that have a call to make.
func (w *model) busy() (out []*node) {
	for _, n := range w.nodes {
		if n.up && (n.standing != nil || n.writing != nil) {
			out = append(out, n)
		}
	}
	return out
}

func (n *node) step(w *model) {
	if n.standing != nil {
		n.standing.step(w, n)
	} else if n.writing != nil {
		n.writing.step(w, n)
	}
}

// settleSteps carries out all calls that are due.
func (w *model) settleSteps() {
	for range 500 {
		busy := w.busy()
		if len(busy) == 0 {
			return
		}
		busy[w.rng.IntN(len(busy))].step(w)
	}
}

func (w *model) lost() (n int) {
	for _, o := range w.nodes {
		if o.counted && !o.gone {
			n++
		}
	}
	return n
}

// leaving counts those that are about to end, and not lost yet.
func (w *model) leaving() (n int) {
	for _, o := range w.nodes {
		if o.up && o.leaving && !o.counted {
			n++
		}
	}
	return n
}

// fault has the environment do something that it may do now.
func (w *model) fault() {
	n := w.nodes[w.rng.IntN(len(w.nodes))]
	if m := w.members(); len(m) > 0 && w.rng.IntN(2) == 0 {
		n = m[w.rng.IntN(len(m))]
	}
	if kinds := []trouble{wiped, killed, cut, left, replaced, back, back, back}; !n.gone {
		w.do(n, kinds[w.rng.IntN(len(kinds))])
	}
}

// trouble is what the environment may do to a control node.
type trouble int

const (
	wiped trouble = iota // lost with its disk
	killed
	cut
	left // told to end
	replaced
	back
)

// do has the environment do something, if it may now; it tells whether it did.
func (w *model) do(n *node, what trouble) bool {
	if n.gone || w.succeeded(n) {
		return false
	}
	lost, leaving := w.lost(), w.leaving()
	w.over = w.over || lost > w.f // one left while another was lost: no more, till they are back
	mayLose := (lost+max(0, leaving-1) < w.f || n.counted && lost == w.f) && !w.over
	switch {
	case what <= killed && n.up && mayLose:
		n.counted = true
		if n.stop(); what == wiped {
			n.wipe(w)
		}
		w.note("%s lost, wiped %v", n.addr, what == wiped)
	case what == cut && n.up && !n.far && mayLose:
		w.note("%s cut off", n.addr)
		n.counted, n.far = true, true
	case what == left && n.up && !n.leaving && !n.far && lost+leaving < w.f && !w.over:
		w.note("%s leaves", n.addr)
		n.leaving = true
	case what == replaced && !n.up && mayLose && len(w.nodes) < 12:
		w.note("%s replaced by %c", n.addr, rune('a'+len(w.nodes)))
		n.counted, n.epoch, n.content, n.reg = true, 0, 0, register{}
		s := w.add()
		s.before = n
		s.counted = false // its predecessor is, until it has caught up
		s.start(w)
	case what == back && n.far:
		w.note("%s joined again", n.addr)
		n.far, n.backAt = false, w.now
	case what == back && !n.up:
		w.note("%s back", n.addr)
		n.start(w)
	default:
		return false
	}
	return true
}

func (w *model) succeeded(n *node) bool {
	return slices.ContainsFunc(w.nodes, func(o *node) bool { return o.before == n })
}

// wipe empties the disk.
func (n *node) wipe(w *model) {
	w.disks++
	n.disk, n.reg, n.epoch, n.content = fmt.Sprint("disk", w.disks), register{}, 0, 0
}

// count has those that are back for catchup count no more, if what the primary
// wants to repair is repaired: that it is by then, the simulations show.
func (w *model) count() {
	if w.over = w.over && w.lost() > 0; !slices.ContainsFunc(w.nodes, w.repaired) {
		return
	}
	for _, n := range w.nodes {
		if n.up && !n.far && !n.leaving && w.now-n.backAt >= modelCatch {
			if n.counted = false; n.before != nil {
				n.before.gone, n.before = true, nil
			}
		}
	}
}

// repaired tells whether n is the primary, and wants nothing more.
func (w *model) repaired(n *node) bool {
	if !n.up || n.far || n.leaving || !n.leads(w.now) || max(n.tried, n.epoch) > n.seen.Epoch || n.members.wantsAnother(n.seen, w.now) || w.now-n.members.since < 2*tick {
		return false
	}
	for _, o := range w.nodes {
		if o != n && o.up && !o.far && !o.leaving && !n.members.fresh(o.addr, w.now) {
			return false
		}
	}
	return true
}

// check looks at what must hold at every moment.
func (w *model) check() {
	held := slices.ContainsFunc(w.nodes, func(n *node) bool { return n.content&w.acked == w.acked })
	if !held {
		w.breaks("AcknowledgedSurvives", "%b is on no disk", w.acked)
	}
	leads := ""
	for _, n := range w.nodes {
		if n.up && n.leads(w.now) {
			leads += n.addr
		}
	}
	if len(leads) > 1 {
		w.breaks("OneLease", "%s hold one", leads)
	}
}

// remains checks that the control nodes go on by themselves: those that run now, if
// they are more than half, or all after those that are lost are back.
func (w *model) remains(back bool) {
	if (w.over || w.lost()+w.leaving() > w.f) && !back || w.broken != "" {
		return
	}
	c := w.clone()
	up, successors, all := 0, 0, 0
	for _, n := range c.nodes {
		if n.gone || c.succeeded(n) {
			continue
		}
		if all++; back && n.far {
			n.far = false
		}
		if back && !n.up {
			n.start(c)
		}
		if n.leaving = false; n.up && !n.far {
			if up++; n.before != nil {
				successors++
			}
		}
	}
	if all <= 2*w.f {
		up -= successors // they can't be taken in while f of 2f are away
	}
	if 2*up <= all {
		return
	}
	for range 60 {
		c.tick(true)
		for _, n := range c.nodes {
			if before := c.acked; n.up && n.write(c) {
				for n.writing != nil {
					n.writing.step(c, n)
				}
				if c.acked != before {
					w.broken = c.broken
					return
				}
			}
		}
	}
	w.trace = c.trace
	w.breaks("MajorityRemains", "%d of %d run, and no change is taken", up, all)
}

func (w *model) clone() *model {
	c := *w
	c.rng = rand.New(rand.NewPCG(w.rng.Uint64(), 1))
	c.leaders, c.trace, c.nodes = maps.Clone(w.leaders), slices.Clone(w.trace), nil
	for _, n := range w.nodes {
		o := *n
		o.missed, o.members.heard, o.members.shunned, o.members.leaving = maps.Clone(n.missed), maps.Clone(n.members.heard), maps.Clone(n.members.shunned), maps.Clone(n.members.leaving)
		o.members.failing = maps.Clone(n.members.failing)
		if n.standing != nil {
			s := *n.standing
			s.disks, s.answers, s.granted = maps.Clone(s.disks), maps.Clone(s.answers), maps.Clone(s.granted)
			o.standing = &s
		}
		if n.writing != nil {
			wr := *n.writing
			o.writing = &wr
		}
		c.nodes = append(c.nodes, &o)
	}
	for _, o := range c.nodes {
		if o.before != nil {
			o.before = c.at(o.before.addr)
		}
	}
	return &c
}

// walk plays one random history and returns the model.
func walk(seed uint64, f, controlNodes int, without string) *model {
	w := newModel(seed, f, controlNodes, without).boot()
	for range 160 {
		busy := w.busy()
		switch r := w.rng.IntN(100); {
		case r < 12:
			w.fault()
			for w.rng.IntN(2) == 0 { // troubles come together
				w.fault()
			}
		case r == 12 && w.rng.IntN(4) == 0:
			w.power()
		case len(busy) > 0 && r < 98:
			busy[w.rng.IntN(len(busy))].step(w)
		case r < 30:
			for _, n := range w.nodes {
				if n.up && n.write(w) {
					break
				}
			}
		default:
			w.tick(false)
		}
		if len(w.busy()) == 0 {
			w.count()
		}
		w.check()
		if w.broken != "" {
			return w
		}
		if w.rng.IntN(40) == 0 {
			w.remains(w.rng.IntN(2) == 0)
		}
	}
	w.remains(false)
	w.close()
	if w.rng.IntN(2) == 0 {
		w.power()
	}
	w.check()
	w.remains(true)
	return w
}

// power has all that run begin another life at once, with what is on disk. All
// count as lost then.
func (w *model) power() {
	w.note("power")
	for _, n := range w.nodes {
		if n.up {
			n.stop()
			n.start(w)
			n.counted, w.over = true, true
		}
	}
}

// close has as many lose their disks as still may be lost, those first that
// keep the newest view's state.
func (w *model) close() {
	for _, n := range w.members() {
		if n.up && (n.counted || w.lost()+max(0, w.leaving()-1) < w.f) && !w.over {
			w.note("%s lost at the end", n.addr)
			n.counted = true
			n.stop()
			n.wipe(w)
		}
	}
}

// members are those that keep the state in the newest view that any knows.
func (w *model) members() (out []*node) {
	var view View
	for _, n := range w.nodes {
		if n.up && n.seen.Epoch > view.Epoch {
			view = n.seen
		}
	}
	for _, addr := range append([]string{view.Primary.Addr}, backupAddrs(view)...) {
		if n := w.at(addr); n != nil {
			out = append(out, n)
		}
	}
	return out
}

// sizes are the deployments that are played: with fewer than 2f control nodes no
// majority outlasts the losses.
var sizes = []struct{ f, controlNodes int }{{1, 3}, {1, 4}, {1, 5}, {1, 7}, {2, 4}, {2, 5}, {2, 6}, {2, 7}}

func TestMembershipModel(t *testing.T) {
	for _, c := range sizes {
		for seed := range uint64(200) {
			if w := walk(seed, c.f, c.controlNodes, ""); w.broken != "" {
				t.Errorf("f %d, %d control nodes, seed %d: %s\n%s", c.f, c.controlNodes, seed, w.broken, strings.Join(w.trace, "\n"))
				break
			}
		}
	}
}

// explore tries each row of troubles that may come, with up to 40 steps between
// and after them, and at the end the losses and the restart that may come then.
func explore(w *model, troubles, every int) (found *model, histories int) {
	if troubles == 0 {
		w.close()
		w.power()
		w.check()
		w.remains(true)
		if w.broken != "" {
			return w, 1
		}
		return nil, 1
	}
	for i := range w.nodes {
		for what := wiped; what <= back; what++ {
			c := w.clone()
			if !c.do(c.nodes[i], what) {
				continue
			}
			for step := range 40 {
				if step%every == 0 {
					next, n := explore(c.clone(), troubles-1, every)
					if histories += n; next != nil {
						return next, histories
					}
				}
				if c.advance(); c.broken != "" {
					return c, histories
				}
			}
		}
	}
	return nil, histories
}

// advance goes on by one call, or a tick when none is due, after a change.
func (w *model) advance() {
	if busy := w.busy(); len(busy) > 0 {
		busy[0].step(w)
	} else {
		w.tick(false)
		w.count()
		if n := w.leader(); n != nil {
			n.write(w)
		}
	}
	w.check()
}

func TestMembershipModelOfAllTwoTroubles(t *testing.T) {
	for _, c := range []struct{ f, controlNodes, every int }{{1, 3, 2}, {1, 4, 2}, {2, 5, 8}} {
		w := newModel(1, c.f, c.controlNodes, "").boot()
		w.write()
		broken, n := explore(w, 2, c.every)
		if t.Logf("f %d, %d control nodes: %d histories", c.f, c.controlNodes, n); broken != nil {
			t.Errorf("%s\n%s", broken.broken, strings.Join(broken.trace, "\n"))
		}
	}
}

// leader is the primary, if there is one.
func (w *model) leader() *node {
	for _, n := range w.nodes {
		if n.up && n.leads(w.now) {
			return n
		}
	}
	return nil
}

// write has the primary write, and tells whether it acknowledged.
func (w *model) write() bool {
	before, n := w.acked, w.leader()
	if n != nil && n.write(w) {
		w.settleSteps()
	}
	return w.acked != before
}

func (w *model) lose(n *node, wipe bool) {
	n.counted = true
	if n.stop(); wipe {
		n.wipe(w)
	}
}

// unheard has the primary form a view of which some control nodes hear nothing, and
// acknowledge a change in it.
func (w *model) unheard(p *node, deaf ...*node) {
	for _, n := range deaf {
		n.far = true
	}
	p.stand(w)
	w.settleSteps()
	w.write()
	for _, n := range deaf {
		n.far = false
	}
}

// Each guard is taken out of a short history, which then breaks an invariant
// that it does not break with the guard in.
func TestMembershipModelFindsFaults(t *testing.T) {
	for guard, c := range map[string]struct {
		f, controlNodes int
		breaks          string
		play            func(w *model)
	}{
		// A backup comes back with an empty disk before it is missed.
		"RenewalNamesDisk": {1, 4, "AcknowledgedSurvives", func(w *model) {
			w.write()
			b := w.members()[1]
			w.lose(b, true)
			b.start(w)
			w.calm(11)
			w.lose(w.leader(), true)
		}},
		// The primary is lost while its backup leaves for good.
		"LeaveWaits":    {1, 4, "AcknowledgedSurvives", lastHolderLeaves},
		"LeavingStands": {1, 4, "AcknowledgedSurvives", lastHolderLeaves},
		// A member of the view before the last wins the vote of an empty disk.
		"EmptyAbstains": {1, 3, "OldStateNeverLeads", func(w *model) {
			m := w.members()
			m[0].members.shun(m[1].addr, w.now)
			w.unheard(m[0], m[1])
			m[0].wipe(w)
			w.power()
			w.calm(20)
		}},
		// The same, where the empty one can read one register only.
		"IntactOverlap": {1, 3, "OldStateNeverLeads", func(w *model) {
			m := w.members()
			w.unheard(m[0], m[1])
			other := w.leader().seen.Backups[0].Addr
			m[0].wipe(w)
			w.power()
			w.at(other).stop()
			w.calm(20)
		}},
		// The set is changed without the old one's majority, and that is what
		// comes back first.
		"BothSetsAgree": {1, 4, "OldStateNeverLeads", func(w *model) {
			m := w.members()
			p, b, c := m[0], m[1], w.at("c")
			if p == c || b == c {
				return
			}
			w.lose(c, false)
			for range 20 {
				p.members.heard[c.addr] = w.now - 10*kernel.Second
			}
			w.unheard(p, b)
			c.start(w)
			w.power()
			for _, n := range w.nodes {
				if n != b && n != c {
					n.stop()
				}
			}
			w.calm(20)
		}},
		// Three control nodes are silent as the view is formed, and there again.
		"EnoughBackups": {2, 5, "AcknowledgedSurvives", func(w *model) {
			m := w.members()
			p := m[0]
			p.stand(w)
			for p.standing != nil && len(p.standing.view.Backups) == 0 {
				p.step(w)
			}
			b := p.standing.view.Backups[0].Addr
			for _, n := range w.nodes {
				n.far = n != p && n.addr != b && p.standing.phase == 1
			}
			for p.standing != nil && p.standing.phase == 1 {
				p.step(w)
			}
			for _, n := range w.nodes {
				n.far = false
			}
			w.settleSteps()
			w.write()
			w.lose(w.at(b), true)
			w.lose(p, true)
		}},
		// Two of the first three witnesses are lost, though five are there.
		"LargeEnough": {2, 5, "MajorityRemains", func(w *model) {
			if w.calm(4); !w.write() {
				return // none was acknowledged
			}
			m := w.members()
			w.lose(m[0], true)
			w.lose(m[1], true)
			for _, n := range w.nodes {
				n.counted = !n.up
			}
		}},
		"NewerViewStops": {2, 7, "OldStateNeverLeads", nil},
		"MembersStand":   {1, 3, "OldStateNeverLeads", nil},
		"RefusalsHeeded": {2, 5, "MajorityRemains", nil},
	} {
		broke := func(without string) map[string]string {
			out := map[string]string{}
			for seed := range uint64(40) {
				w := newModel(seed, c.f, c.controlNodes, without)
				if c.play == nil {
					w = walk(seed, c.f, c.controlNodes, without)
				} else {
					if guard != "LargeEnough" {
						w.boot()
					}
					c.play(w)
					w.check()
					w.remains(true)
				}
				if invariant, _, found := strings.Cut(w.broken, ":"); found {
					out[invariant] = fmt.Sprintf("%s (seed %d)\n%s", w.broken, seed, strings.Join(w.trace, "\n"))
				}
			}
			return out
		}
		for _, how := range broke("") {
			t.Errorf("with %s: %s", guard, how)
		}
		if out := broke(guard); out[c.breaks] == "" {
			t.Errorf("without %s breaks %v, not %s", guard, out, c.breaks)
		}
	}
}

func lastHolderLeaves(w *model) {
	w.write()
	m := w.members()
	m[1].leaving = true
	w.lose(m[0], true)
	w.calm(14) // the grace
	if m[1].up {
		m[1].end(w)
	}
	m[1].wipe(w)
}
