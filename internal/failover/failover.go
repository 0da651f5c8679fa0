// Package failover moves the lead of a service from one database to another:
// when the primary fails and when it is to be replaced. It works only in the
// control state's primary, under its lease, and the epoch is its fence.
package failover

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"indigowalk/internal/controlstate"
	"indigowalk/internal/dbconn"
	"indigowalk/internal/discovery"
	"indigowalk/internal/health"
	"indigowalk/internal/kernel"
	"indigowalk/internal/lineprotocol"
	"indigowalk/internal/routeconfig"
)

// Lead says which database leads a service. It is control state, and the
// durable intent of a move.
type Lead struct {
	Service string `json:"svc"`
	ID      string `json:"id"`
	Term    int64  `json:"term"`
	Turn    int64  `json:"turn"` // rises with every move
	Moving  bool   `json:"moving,omitempty"`
	Failed  bool   `json:"failed,omitempty"` // moving, and the old lead does not answer
	To      string `json:"to,omitempty"`
	Called  bool   `json:"called,omitempty"` // the platform may have been called in this turn
	Hold    int64  `json:"hold,omitempty"`   // term at which the replicas are paused
	Floor   string `json:"floor,omitempty"`  // of a turn in which a choice was made: covers every acknowledged commit
	Least   string `json:"least,omitempty"`  // whoever is promoted holds this: databases that are gone may have
	// Accepted is the last order by which an operator accepted a loss.
	Accepted Accepted `json:"accepted,omitzero"`
}

// settled is the lead once a database leads in a term and nothing moves.
func (l Lead) settled(id string, term int64) Lead {
	return Lead{Service: l.Service, ID: id, Term: term, Turn: l.Turn, Least: l.Least, Accepted: l.Accepted}
}

const keyPrefix = "lead/"

// Key is the entry that holds a service's lead.
func Key(service string) string { return keyPrefix + service }

// Holds tells whether an entry holds a lead.
func Holds(key string) bool { return strings.HasPrefix(key, keyPrefix) }

// retryPause is between two tries at the same step.
const retryPause = 100 * kernel.Millisecond

// busyPause is before a database that has no slot free is asked again.
const busyPause = 15 * kernel.Millisecond

// Decoder returns what picks the leads out of the control state.
func Decoder() *controlstate.Decoded[Lead] { return controlstate.NewDecoded[Lead](keyPrefix) }

// Decode picks the leads out of the control state, once.
func Decode(entries map[string]json.RawMessage) (map[string]Lead, error) {
	return Decoder().Of(entries)
}

// Errors of this layer.
var (
	errNotYet     = errors.New("failover: not yet")
	errNotRunning = errors.New("failover: the chosen database does not run")
)

// Config is what a failover manager is built from.
type Config struct {
	Name        string // duty holder
	Platform    string
	Leadless    bool // databases are all alike: none leads
	ReaderLease kernel.Micros
	Dialer      dbconn.Dialer
	AskWait     kernel.Micros // for one answer of a database
	BeatWait    kernel.Micros // for the beat of a promoted database, before it is asked
}

// Manager moves leads, at the control state's primary.
type Manager struct {
	k        *kernel.Kernel
	cfg      Config
	v        *controlstate.Replica
	acc      *discovery.Registry
	health   *health.Monitor
	readers  *Readers
	platform *platform

	databases *controlstate.Decoded[discovery.Database]
	leads     *controlstate.Decoded[Lead]
	poolers   *controlstate.Decoded[int64]

	mu                 sync.Mutex
	busy               map[string]bool          // services being moved by this process
	tried              map[string]kernel.Micros // when what is paced was last tried
	waits              map[string]string        // why a service's move waits
	woken              map[string]*woken        // by service
	seen               *scene                   // the control state of seenEpoch and seenSeq
	seenEpoch, seenSeq int64
	confRaw            json.RawMessage // that the scene's configuration was read from
	progress           kernel.Bell
}

// New returns a failover manager.
func New(k *kernel.Kernel, cfg Config, v *controlstate.Replica, acc *discovery.Registry, health *health.Monitor, readers *Readers) *Manager {
	return &Manager{
		k: k, cfg: cfg, v: v, acc: acc, health: health, readers: readers,
		platform:  newPlatform(k.Net, cfg.Platform, cfg.Name),
		databases: discovery.Decoder(), leads: Decoder(), poolers: controlstate.NewDecoded[int64](carrierPrefix),
		busy: map[string]bool{}, tried: map[string]kernel.Micros{}, waits: map[string]string{}, woken: map[string]*woken{},
	}
}

// Serve compares what is with what is wanted whenever either may have changed.
func (c *Manager) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		vc, hc, ac, pc := c.v.Changed(), c.health.Changed(), c.acc.Changed(), c.progress.Wait()
		c.reconcile()
		t := time.NewTimer((500 * kernel.Millisecond).Duration())
		select {
		case <-ctx.Done():
		case <-vc:
		case <-hc:
		case <-ac:
		case <-pc:
		case <-t.C:
		}
		t.Stop()
	}
	return nil
}

// scene is what one look at the control state shows.
type scene struct {
	databases map[string]discovery.Database
	services  map[string][]discovery.Database
	leads     map[string]Lead
	conf      *routeconfig.Configuration
	soft      map[string]discovery.Soft
	poolers   map[string]int64
}

// look decodes the control state, once for each change of it.
func (c *Manager) look() (*scene, error) {
	state, err := c.v.Durable()
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.seen == nil || c.seenSeq != state.Seq || c.seenEpoch != state.Epoch {
		s := &scene{services: map[string][]discovery.Database{}}
		entries := state.Entries
		if s.databases, err = c.databases.Of(entries); err != nil {
			return nil, err
		}
		for _, d := range s.databases {
			s.services[d.Service] = append(s.services[d.Service], d)
		}
		if s.leads, err = c.leads.Of(entries); err != nil {
			return nil, err
		}
		if s.poolers, err = c.poolers.Of(entries); err != nil {
			return nil, err
		}
		if c.seen != nil && bytes.Equal(c.confRaw, entries[routeconfig.Key]) {
			s.conf = c.seen.conf
		} else if _, s.conf, err = routeconfig.Decode(entries[routeconfig.Key]); err != nil {
			return nil, err
		}
		c.seen, c.seenSeq, c.seenEpoch, c.confRaw = s, state.Seq, state.Epoch, entries[routeconfig.Key]
	}
	s := *c.seen
	s.soft = c.acc.Soft()
	return &s, nil
}

// replicas lists the databases of a service besides one.
func (s *scene) replicas(service, besides string) []discovery.Database {
	var out []discovery.Database
	for _, d := range s.services[service] {
		if d.ID != besides {
			out = append(out, d)
		}
	}
	return out
}

func (s *scene) syncReplicas(service string) int {
	if s.conf != nil {
		for _, svc := range s.conf.Services {
			if svc.Name == service {
				return svc.SyncReplicas
			}
		}
	}
	return 1
}

func (c *Manager) reconcile() {
	term, err := c.v.Term()
	if err != nil {
		return
	}
	ctx := term.Context()
	s, err := c.look()
	if err != nil {
		if !errors.Is(err, controlstate.ErrNotPrimary) {
			c.k.Counters.Add("failover.unreadable", 1)
		}
		return
	}
	c.readers.Term(term.Began(), s.poolers, c.k.Clock.Now(), c.cfg.ReaderLease)
	if c.cfg.Leadless {
		c.dismiss(ctx, s)
		return
	}
	c.readers.Led(slices.Collect(maps.Keys(s.leads)))
	for svc := range s.services {
		lead, known := s.leads[svc]
		switch back := s.returned(lead); {
		case known && back != "" && !lead.Called:
			c.spawn(svc, func() error { return c.resume(ctx, s, lead, back) })
		case !known:
			c.spawn(svc, func() error { return c.adopt(ctx, s, svc) })
		case lead.Moving || mustMove(s.services[svc], lead.ID, c.health.Up):
			c.spawn(svc, func() error { return c.move(ctx, svc) })
		default:
			c.tidy(ctx, s, lead)
		}
	}
}

// dismiss forgets databases that are gone, where they held nothing.
func (c *Manager) dismiss(ctx context.Context, s *scene) {
	var gone []string
	for id, d := range s.databases {
		if d.Gone {
			gone = append(gone, id)
		}
	}
	if len(gone) > 0 && c.due("dismiss") {
		c.spawn("", func() error { return c.acc.Remove(ctx, gone...) })
	}
}

// spawn runs one piece of work at a time for each service.
func (c *Manager) spawn(svc string, f func() error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.busy[svc] {
		return
	}
	c.busy[svc] = true
	go func() {
		err := f()
		if err != nil {
			if !errors.Is(err, errNotYet) {
				c.k.Counters.Add("failover.setbacks", 1)
			}
			time.Sleep(retryPause.Duration())
		}
		c.mu.Lock()
		delete(c.busy, svc)
		c.mu.Unlock()
		c.progress.Ring()
	}()
}

// adopt notes who leads a service that nobody has moved yet.
func (c *Manager) adopt(ctx context.Context, s *scene, svc string) error {
	var found []string
	for _, d := range s.replicas(svc, "") {
		if s.soft[d.ID].Role == "primary" {
			found = append(found, d.ID)
		}
	}
	if len(found) != 1 {
		return errNotYet
	}
	c.k.Log.Info("lead adopted", "service", svc, "id", found[0])
	return c.save(ctx, svc, func(l *Lead) error {
		if l.ID == "" {
			l.ID = found[0]
		}
		return nil
	})
}

// returned finds the lead that crashed and is back, as the primary that it
// was: with its log, and nobody promoted meanwhile.
func (s *scene) returned(l Lead) string {
	for _, d := range s.services[l.Service] {
		if d.Had(l.ID) && s.soft[d.ID].Role == "primary" {
			return d.ID
		}
	}
	return ""
}

// old finds the database that a service is led away from, also under the id
// with which it returned.
func (s *scene) old(l Lead) (discovery.Database, bool) {
	id := l.ID
	if back := s.returned(l); back != "" {
		id = back
	}
	d, ok := s.databases[id]
	return d, ok
}

// resume gives the lead back to a database that returned under a new id.
func (c *Manager) resume(ctx context.Context, s *scene, l Lead, id string) error {
	err := c.save(ctx, l.Service, func(now *Lead) error {
		if now.Turn == l.Turn && now.ID == l.ID && !now.Called {
			*now = now.settled(id, now.Term)
		}
		return nil
	})
	if err != nil {
		return err
	}
	c.goesOn(l.Service)
	c.k.Log.Info("lead returned", "service", l.Service, "was", l.ID, "id", id)
	if l.Moving {
		c.askAll(ctx, staying(s.replicas(l.Service, id)), "CONTINUE")
	}
	return nil
}

// mustMove: of the databases of a service the lead is down, drains or is gone,
// and someone could follow. One that leaves too follows only where there is no
// lead at all.
func mustMove(dbs []discovery.Database, lead string, up func(id string) bool) bool {
	runs := false
	for _, d := range dbs {
		if d.ID != lead || d.Gone || !up(lead) {
			continue
		}
		if runs = true; !d.Draining {
			return false
		}
	}
	return slices.ContainsFunc(dbs, func(r discovery.Database) bool {
		return r.ID != lead && !r.Gone && up(r.ID) && !(runs && r.Draining)
	})
}

// save changes the lead of a service.
func (c *Manager) save(ctx context.Context, svc string, change func(*Lead) error) error {
	return c.edit(ctx, svc, func(l *Lead, _ map[string]discovery.Database) error { return change(l) })
}

// edit changes the lead of a service and its databases in one step; those that
// are deleted from the map are removed, and recorded as departed.
func (c *Manager) edit(ctx context.Context, svc string, change func(*Lead, map[string]discovery.Database) error) error {
	return c.v.Update(ctx, func(entries map[string]json.RawMessage) (map[string]json.RawMessage, error) {
		all, err := c.databases.Of(entries)
		if err != nil {
			return nil, fmt.Errorf("failover: %w", err)
		}
		known := map[string]discovery.Database{}
		for id, d := range all {
			if d.Service == svc {
				known[id] = d
			}
		}
		before := maps.Clone(known)
		l := Lead{Service: svc}
		if raw := entries[keyPrefix+svc]; raw != nil {
			if err := json.Unmarshal(raw, &l); err != nil {
				return nil, fmt.Errorf("failover: %w", err)
			}
		}
		was := l
		if err := change(&l, known); err != nil {
			return nil, err
		}
		out := map[string]json.RawMessage{}
		put := func(key string, v any) {
			raw, e := json.Marshal(v)
			out[key], err = raw, errors.Join(err, e)
		}
		if l != was {
			put(keyPrefix+svc, l)
		}
		var removed []string
		for id, d := range before {
			if now, ok := known[id]; !ok {
				out[discovery.Key(id)] = nil
				removed = append(removed, id)
			} else if now != d {
				put(discovery.Key(id), now)
			}
		}
		if len(out) == 0 {
			return nil, nil
		}
		return out, errors.Join(err, c.acc.Record(entries, out, removed...))
	})
}

// move takes the next step of a move; a successor of this process takes it
// from wherever it stands.
func (c *Manager) move(ctx context.Context, svc string) error {
	s, err := c.look()
	if err != nil {
		return err
	}
	l := s.leads[svc]
	if !l.Moving {
		if !mustMove(s.services[svc], l.ID, c.health.Up) {
			return nil
		}
		old, there := s.databases[l.ID]
		failed := !there || old.Gone || !c.health.Up(l.ID)
		if !failed {
			// The lead serves on until somebody can take over at once.
			if ok, _, err := c.follows(ctx, old, staying(s.replicas(svc, l.ID))); err == nil && !ok {
				c.waitsFor(svc, behindPrimary, Situation{})
				return errNotYet
			}
		}
		err := c.save(ctx, svc, func(l *Lead) error {
			l.Moving, l.Failed, l.To, l.Floor, l.Called, l.Turn = true, failed, "", "", false, l.Turn+1
			return nil
		})
		if err != nil {
			return err
		}
		c.k.Counters.Add("failover.moves", 1)
		c.k.Log.Info("lead moves", "service", svc, "from", l.ID)
		if s, err = c.look(); err != nil {
			return err
		}
		l = s.leads[svc]
	}
	if l.To == "" {
		if err := c.choose(ctx, s, &l); err != nil {
			return err
		}
	}
	return c.promote(ctx, s, l)
}

// awaitLeft waits until no pooler can still read at the old primary.
func (c *Manager) awaitLeft(ctx context.Context, l Lead) error {
	for {
		changed := c.readers.Changed()
		ok, wait := c.readers.Left(l.Service, l.Turn, c.k.Clock.Now())
		if ok {
			return nil
		}
		t := time.NewTimer(wait.Duration())
		select {
		case <-ctx.Done():
			t.Stop()
			return ctx.Err()
		case <-changed:
		case <-t.C:
		}
		t.Stop()
	}
}

// choose pauses the replicas, compares what they hold and makes the choice
// durable.
func (c *Manager) choose(ctx context.Context, s *scene, l *Lead) error {
	// From then on no commit of the old primary is acknowledged to a client, even
	// if a replica is woken by a CONTINUE that comes late; what was acknowledged
	// before is held by the replicas that are asked. What the poolers have under way
	// at a primary that answers ends before they are paused.
	early := make(chan int64, 1)
	go func(l Lead) {
		if !l.Failed {
			early <- l.Hold
			return
		}
		early <- c.pauseLeaving(ctx, s, l)
	}(*l)
	err := c.awaitLeft(ctx, *l)
	l.Hold = <-early
	if err != nil {
		return err
	}
	old, there := s.old(*l)
	alive := there && !old.Gone && c.health.Up(old.ID)
	sit := Situation{Sync: s.syncReplicas(l.Service)}
	sit.Least, _ = lineprotocol.ParsePosition(l.Least)
	if floor, ok := lineprotocol.ParsePosition(l.Floor); ok {
		sit.Floor = &floor
	}
	if acked, known := c.readers.Acknowledged(l.Service, l.Turn); known {
		sit.Acked = &acked
	}
	newest, held := l.Term, int64(0)
	if alive {
		if row, err := c.ask(ctx, old, "STAT"); err == nil && row.primary {
			sit.Held, newest = &row.received, max(newest, row.term)
		}
	}
	replicas := s.replicas(l.Service, l.ID)
	replicas = slices.DeleteFunc(replicas, func(d discovery.Database) bool { return d.ID == old.ID })
	conns := c.openAll(ctx, running(replicas))
	defer closeAll(conns)
	// PAUSE takes no slot and answers what STAT does, also at a primary, which it
	// does not pause; the positions told at log-in name the terms. STAT, for which
	// an overloaded replica has no slot, is asked only of those that are not paused
	// then.
	hold := max(newest, l.Hold, loginTerm(conns)) + 1
	rows := c.sayAll(conns, "PAUSE "+strconv.FormatInt(hold, 10))
	rest := maps.Clone(conns)
	maps.DeleteFunc(rest, func(id string, _ *dbconn.Conn) bool { return rows[id].held == hold })
	if len(rest) > 0 {
		for id, row := range c.sayAll(rest, "STAT") {
			if row.primary && l.Called && row.term > l.Term {
				// It was promoted in this turn, and ended before that was known.
				return c.settleOn(ctx, s, l, id, l.Term, hold, row.received)
			}
			newest, held = max(newest, row.term), max(held, row.held)
			if row.primary && row.term < l.Term {
				// It led before, and has not heard who followed it.
				c.say(conns[id], "STEPDOWN "+strconv.FormatInt(l.Term, 10))
			}
		}
		hold = max(hold, newest, held) + 1
		rows = c.sayAll(conns, "PAUSE "+strconv.FormatInt(hold, 10))
	}
	for _, row := range rows {
		newest = max(newest, row.term)
	}
	paused := map[string]lineprotocol.Position{}
	for _, d := range replicas {
		if row, ok := rows[d.ID]; ok && row.held == hold {
			paused[d.ID] = row.received
		}
	}
	sit.Copies, sit.Absent = compare(replicas, paused)
	l.Hold = hold
	to, refusal := Choose(sit)
	accepted := to == "" && l.Accepted.Turn == l.Turn && acceptable(refusal)
	if accepted {
		to = Furthest(sit.Copies)
		c.k.Log.Warn("chosen though acknowledged commits may be lost", "service", l.Service, "to", to, "why", refusal, "accepted by", l.Accepted.By)
	}
	epoch, _ := c.v.Lease()
	c.k.Recorder.Add(ChoiceKind, Choice{l.Service, epoch, sit, to, accepted})
	if accepted {
		l.Least = "" // it is accepted that this may be lost
	}
	if to != "" {
		return c.settleOn(ctx, s, l, to, newest, hold, paused[to])
	}
	c.k.Counters.Add("failover.choice_refused", 1)
	if refusal == someoneGone && (!there || old.Gone) {
		refusal = lost
	}
	c.waitsFor(l.Service, refusal, sit)
	// Whoever leaves while nobody leads need not be heard afterwards.
	if err := c.edit(ctx, l.Service, func(now *Lead, known map[string]discovery.Database) error {
		if now.Turn == l.Turn && now.Moving && now.To == "" {
			confine(known, paused)
		}
		return nil
	}); err != nil {
		return err
	}
	if sit.Held != nil && l.Called {
		// Whoever was chosen is lost, and the old primary is back: it alone holds
		// everything, and is made the primary as any other would be.
		return c.settleOn(ctx, s, l, old.ID, newest, hold, *sit.Held)
	}
	if sit.Held != nil || alive && !old.Draining { // let them catch up
		c.askAll(ctx, staying(replicas), "CONTINUE")
		if !l.Called {
			if err := c.callOff(ctx, l, refusal); err != nil {
				return err
			}
		}
	}
	return fmt.Errorf("%w: %s", errNotYet, refusal)
}

// settleOn makes the choice durable, unless a database has joined since the look
// that it rests on. The promotion lets every replica receive
// again, so no limit holds any longer but that of the databases that are gone.
func (c *Manager) settleOn(ctx context.Context, s *scene, l *Lead, to string, newest, hold int64, floor lineprotocol.Position) error {
	err := c.edit(ctx, l.Service, func(now *Lead, known map[string]discovery.Database) error {
		if !now.Moving || now.Turn != l.Turn {
			return errNotYet
		}
		for id := range known {
			if _, seen := s.databases[id]; !seen {
				return fmt.Errorf("%w: %s has joined", errNotYet, id)
			}
		}
		now.To, now.Called, now.Term, now.Hold, now.Floor = to, true, newest, hold, floor.String()
		if now.Accepted.Turn == now.Turn && l.Least == "" {
			now.Least = ""
		}
		forget(now, known, floor)
		free(known)
		*l = *now
		return nil
	})
	if err == nil {
		c.goesOn(l.Service)
		c.k.Log.Info("next lead chosen", "service", l.Service, "to", to, "superseding", newest)
	}
	return err
}

// loginTerm is the newest term that the databases told at the log-in.
func loginTerm(conns map[string]*dbconn.Conn) (term int64) {
	for _, conn := range conns {
		if pos, ok := lineprotocol.ParsePosition(conn.Login); ok {
			term = max(term, pos.Term)
		}
	}
	return term
}

// waitsFor notes why a move waits, and logs it once for each reason.
func (c *Manager) waitsFor(svc, reason string, sit Situation) {
	text, best := reason, sit.furthest()
	for _, a := range sit.ahead(best) {
		text += "; " + a.ID
		if a.Gone {
			text += ", gone"
		}
	}
	if best.Less(sit.Least) {
		text += fmt.Sprintf("; %s was held, %s is left", sit.Least, best)
	}
	c.mu.Lock()
	said := c.waits[svc] == text
	c.waits[svc] = text
	c.mu.Unlock()
	if !said {
		c.k.Log.Info("move waits", "service", svc, "why", reason, "answered", sit.Copies, "absent", sit.Absent, "least", sit.Least.String(), "acked", sit.ackedText())
	}
}

// goesOn notes that a service's move waits no longer.
func (c *Manager) goesOn(svc string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.waits, svc)
}

// Waits tells, by service, why a move of its lead waits.
func (c *Manager) Waits() map[string]string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.waits)
}

// callOff ends a move, before anyone was promoted, whose old primary serves.
func (c *Manager) callOff(ctx context.Context, l *Lead, why string) error {
	c.goesOn(l.Service)
	c.k.Log.Info("move called off", "service", l.Service, "why", why)
	return c.save(ctx, l.Service, func(now *Lead) error {
		if now.Turn == l.Turn && !now.Called {
			now.Moving, now.Failed = false, false
		}
		return nil
	})
}

// promote has the platform make the chosen database the primary, waits until
// it leads, and makes that known.
func (c *Manager) promote(ctx context.Context, s *scene, l Lead) error {
	if err := c.awaitLeft(ctx, l); err != nil {
		return err
	}
	to, there := s.databases[l.To]
	err := errNotRunning
	was := c.acc.Soft()[l.To]
	if there {
		err = c.call(ctx, l)
	}
	if errors.Is(err, errNotRunning) {
		return c.save(ctx, l.Service, func(now *Lead) error {
			if now.Turn == l.Turn && now.To == l.To {
				now.To = ""
			}
			return nil
		})
	}
	if err != nil {
		return err
	}
	over := l.Term
	if to.ID == l.ID || to.Had(l.ID) {
		over-- // the primary of before needs no new term to lead again
	}
	if l.Term, err = c.awaitPromotion(ctx, to, was, over); err != nil {
		return err
	}
	old := l.ID
	err = c.save(ctx, l.Service, func(now *Lead) error {
		if now.Turn == l.Turn && now.To == l.To {
			*now = now.settled(l.To, l.Term)
		}
		return nil
	})
	if err != nil {
		return err
	}
	c.k.Log.Info("lead moved", "service", l.Service, "from", old, "to", l.To, "term", l.Term)
	c.again("tend " + l.Service)
	others := s.replicas(l.Service, l.To)
	for _, d := range others {
		if d.ID == old {
			go c.ask(ctx, d, "STEPDOWN "+strconv.FormatInt(l.Term, 10))
		}
	}
	for _, d := range staying(others) {
		if d.ID != old {
			go c.ask(ctx, d, "CONTINUE")
		}
	}
	return nil
}

// awaitPromotion waits until the database leads a newer term. Its own beat,
// which a change of role sends at once, tells; if none comes it is asked.
func (c *Manager) awaitPromotion(ctx context.Context, to discovery.Database, was discovery.Soft, over int64) (int64, error) {
	end := c.k.Clock.Now() + 3*kernel.Second
	for c.k.Clock.Now() < end && ctx.Err() == nil {
		changed := c.acc.Changed()
		if now := c.acc.Soft()[to.ID]; now.Role == "primary" && was.Role == "replica" {
			return over + 1, nil
		}
		t := time.NewTimer(c.cfg.BeatWait.Duration())
		select {
		case <-changed:
			t.Stop()
			continue
		case <-t.C:
		}
		if row, err := c.ask(ctx, to, "STAT"); err != nil {
			return 0, err
		} else if row.primary && row.term > over {
			return row.term, nil
		}
	}
	return 0, errNotYet
}

// tidy makes a replica of every database that leads without being the lead,
// and looks after those that leave.
func (c *Manager) tidy(ctx context.Context, s *scene, l Lead) {
	c.wake(ctx, s, l)
	ending := false
	for _, d := range s.replicas(l.Service, l.ID) {
		ending = ending || d.Gone || d.Draining
		if s.soft[d.ID].Role == "primary" && l.Term != 0 && !d.Gone && c.due("demote "+d.ID) {
			go c.ask(ctx, d, "STEPDOWN "+strconv.FormatInt(l.Term, 10))
		}
	}
	if ending && c.due("tend "+l.Service) {
		c.spawn(l.Service, func() error { return c.tend(ctx, s, l) })
	}
}

// due paces what is repeated until it has worked.
func (c *Manager) due(what string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.k.Clock.Now()
	if now-c.tried[what] < kernel.Second && c.tried[what] != 0 {
		return false
	}
	c.tried[what] = now
	return true
}

// again has what is paced done once more without waiting.
func (c *Manager) again(what string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.tried, what)
}

// since tells how long ago it was asked that first.
func (c *Manager) since(what string) kernel.Micros {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.k.Clock.Now()
	if c.tried[what] == 0 {
		c.tried[what] = now
	}
	return now - c.tried[what]
}

// call asks the platform, as the holder of the duty, only in the term in which
// the move was looked at, and well within the lease.
func (c *Manager) call(ctx context.Context, l Lead) error {
	epoch, left := controlstate.TermOf(ctx).Lease()
	wait := min(left-100*kernel.Millisecond, kernel.Second)
	if wait < 100*kernel.Millisecond {
		return errNotYet
	}
	ctx, cancel := context.WithTimeout(ctx, wait.Duration())
	defer cancel()
	c.k.Counters.Add("failover.platform_calls", 1)
	return c.platform.failover(ctx, epoch, l.Service, l.To)
}

type statRow struct {
	primary  bool
	received lineprotocol.Position
	term     int64 // newest it knows of
	held     int64 // at which it is paused; 0 if it is not
}

// ask has one database carry out STAT, PAUSE, CONTINUE or STEPDOWN.
func (c *Manager) ask(ctx context.Context, d discovery.Database, text string) (statRow, error) {
	conn, err := c.open(ctx, d)
	if err != nil {
		return statRow{}, err
	}
	defer conn.Close()
	return c.say(conn, text)
}

func (c *Manager) open(ctx context.Context, d discovery.Database) (*dbconn.Conn, error) {
	return c.cfg.Dialer.Open(ctx, d, c.cfg.AskWait)
}

func (c *Manager) say(conn *dbconn.Conn, text string) (statRow, error) {
	for end := c.k.Clock.Now() + c.cfg.AskWait; ; {
		a, err := conn.Ask(text, end-c.k.Clock.Now())
		if err != nil {
			return statRow{}, err
		}
		if a.Code != lineprotocol.Retry || c.k.Clock.Now()+busyPause > end {
			return parseStat(a)
		}
		time.Sleep(busyPause.Duration()) // all its slots are taken
	}
}

// parseStat reads "ROW role term received held lag busy connections".
func parseStat(a *lineprotocol.Answer) (statRow, error) {
	if a.Code != "" {
		return statRow{}, fmt.Errorf("failover: database answers %s %s", a.Code, a.Text)
	}
	line, _, _ := bytes.Cut(a.Rows, []byte("\r\n"))
	f := strings.Fields(string(line))
	if len(f) < 5 || f[0] != "ROW" {
		return statRow{}, fmt.Errorf("failover: odd STAT row %q", line)
	}
	r := statRow{primary: f[1] == "primary"}
	held, err1 := strconv.ParseInt(f[4], 10, 64)
	own, err2 := strconv.ParseInt(f[2], 10, 64)
	pos, ok := lineprotocol.ParsePosition(f[3])
	if err1 != nil || err2 != nil || !ok && f[3] != "-" {
		return statRow{}, fmt.Errorf("failover: odd STAT row %q", line)
	}
	r.received, r.term, r.held = pos, max(own, pos.Term), held
	return r, nil
}

// askAll asks several databases at once and returns the answers there were.
func (c *Manager) askAll(ctx context.Context, dbs []discovery.Database, text string) map[string]statRow {
	conns := c.openAll(ctx, dbs)
	defer closeAll(conns)
	return c.sayAll(conns, text)
}

func (c *Manager) openAll(ctx context.Context, dbs []discovery.Database) map[string]*dbconn.Conn {
	return gather(c, dbs, func(d discovery.Database) string { return d.ID },
		func(d discovery.Database) (*dbconn.Conn, error) { return c.open(ctx, d) })
}

func closeAll(conns map[string]*dbconn.Conn) {
	for _, conn := range conns {
		conn.Close()
	}
}

func (c *Manager) sayAll(conns map[string]*dbconn.Conn, text string) map[string]statRow {
	return gather(c, slices.Collect(maps.Values(conns)), func(conn *dbconn.Conn) string { return conn.DB.ID },
		func(conn *dbconn.Conn) (statRow, error) { return c.say(conn, text) })
}

// gather does something with all at once and keeps the results of those that
// did not fail.
func gather[T, R any](c *Manager, all []T, key func(T) string, do func(T) (R, error)) map[string]R {
	var mu sync.Mutex
	var wg sync.WaitGroup
	out := map[string]R{}
	for _, t := range all {
		wg.Go(func() {
			r, err := do(t)
			if err != nil {
				c.k.Counters.Add("failover.unanswered", 1)
				return
			}
			mu.Lock()
			defer mu.Unlock()
			out[key(t)] = r
		})
	}
	wg.Wait()
	return out
}
