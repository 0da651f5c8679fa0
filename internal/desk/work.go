package desk

import (
	"errors"
	"strconv"
	"sync"
	"time"

	"indigowalk/internal/catalogue"
	"indigowalk/internal/conservator"
	"indigowalk/internal/findingaid"
	"indigowalk/internal/folio"
	"indigowalk/internal/foundation"
	"indigowalk/internal/shelf"
	"indigowalk/internal/stacks"
	"indigowalk/internal/subscription"
)

// job is one statement, or the start of a transaction, on its way to a
// database.
type job struct {
	s        *session
	q        folio.Statement
	shape    shelf.Shape // of a RUN
	write    bool
	received foundation.Micros
	deadline foundation.Micros
	giveUp   foundation.Micros // until then a place to run is waited for
	route    *catalogue.Route
	tries    int
	avoid    map[string]bool
	twice    bool // may be sent a second time while the first is unanswered
}

// holdShare is the part of its time that a statement may wait for a place to
// run; past it the client hears RETRY, and when to come back.
const holdShare = 0.4

func hint(m foundation.Micros) string { return strconv.FormatInt(m.Millis(), 10) }

// quietTimes is how many times the usual an answer may take before it is
// taken for lost, or its database for silent.
const quietTimes = 4

// allowance bounds how many statements are sent a second time: a share of all,
// so that a database that is slow under load is not loaded with more.
type allowance struct {
	mu   sync.Mutex
	left float64
}

const (
	secondShare = 0.1
	secondMost  = 10
)

// earn counts a statement.
func (a *allowance) earn() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.left = min(a.left+secondShare, secondMost)
}

// take uses one up, if there is one.
func (a *allowance) take() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.left < 1 {
		return false
	}
	a.left--
	return true
}

// promised tells whether an error code promises that nothing is kept.
func promised(code string) bool {
	switch code {
	case folio.Retry, folio.RolledBack, folio.Lagging, folio.ReadOnly, folio.WrongNode, folio.MaxConn, folio.NoSuch:
		return true
	}
	return false
}

// newJob looks the statement's route up; an answer instead means that there
// is nothing to run.
func (s *session) newJob(q folio.Statement) (*job, *folio.Answer) {
	j := &job{s: s, q: q, received: s.d.k.Clock.Now()}
	if j.route, _, _ = s.d.route(s.database); j.route == nil {
		return nil, refusal(folio.NoDB, s.database, s.state())
	}
	if a := j.resolve(); a != nil {
		return nil, a
	}
	span := foundation.Micros(j.route.DeadlineMs) * foundation.Millisecond
	j.deadline = j.received + span
	j.giveUp = j.received + min(foundation.Micros(holdShare*float64(span)), s.d.longestHold())
	return j, nil
}

// resolve finds out what the statement is: a RUN is what its name stands for.
func (j *job) resolve() *folio.Answer {
	switch j.q.Verb {
	case folio.Put:
		j.write = true
	case folio.Run:
		shape, ok := j.s.names[j.q.Name]
		if !ok {
			return refusal(folio.NoSuch, j.q.Name, j.s.state())
		}
		j.shape, j.write = shape, shape.Kind == folio.Put
	}
	return nil
}

func (j *job) now() foundation.Micros  { return j.s.d.k.Clock.Now() }
func (j *job) left() foundation.Micros { return j.deadline - j.now() }

func (j *job) request(write bool) findingaid.Request {
	return findingaid.Request{
		Service: j.route.Service, Type: j.route.Type,
		Stale:    foundation.Micros(j.route.StaleMs) * foundation.Millisecond,
		Received: j.received, Last: j.s.last, Write: write, Avoid: j.avoid,
	}
}

func (j *job) shun(id string) {
	if j.avoid == nil {
		j.avoid = map[string]bool{}
	}
	j.avoid[id] = true
}

// errNoPlace says that no database can run the statement at present.
var errNoPlace = errors.New("desk: no database can run it now")

// find waits for a database that can run the job and borrows a connection.
func (j *job) find(write bool) (*shelf.Conn, findingaid.Choice, error) {
	d := j.s.d
	for {
		if d.over() {
			return nil, findingaid.Choice{}, errNoPlace
		}
		changed, health := d.card.Changed(), d.health.Changed()
		c, ok := d.place(j.request(write))
		until := j.giveUp
		what := outage{j.route.Service, write || j.route.Type == catalogue.Primary}
		if ok {
			d.outages.over(what)
			conn, err := d.shelf.Borrow(c.Database.ID, j.route.Prio, j.s.values, min(j.giveUp, j.deadline)-j.now())
			if err == nil {
				return conn, c, nil
			}
			if errors.Is(err, stacks.ErrFull) || errors.Is(err, stacks.ErrDeadline) {
				return nil, c, errNoPlace
			}
			j.shun(c.Database.ID)
		}
		if !ok {
			until = min(until, d.outages.holdUntil(what, j.now(), j.received))
		}
		wait := min(until-j.now(), 200*foundation.Millisecond)
		if wait <= 0 {
			return nil, c, errNoPlace
		}
		if ok && !c.Primary {
			continue // another replica, or the primary
		}
		clear(j.avoid)
		t := time.NewTimer(wait.Duration())
		select {
		case <-changed:
		case <-health:
		case <-d.ending:
		case <-t.C:
		}
		t.Stop()
	}
}

// text is what the database is sent: the client's own, but for the prepared
// name.
func (j *job) text(c *shelf.Conn) (string, error) {
	if j.q.Verb != folio.Run {
		return j.q.Text, nil
	}
	name, err := c.Name(j.shape, j.left())
	if err != nil {
		return "", err
	}
	return "RUN " + name + " " + j.q.Rest, nil
}

// errUnsent marks a failure before the statement was sent in full.
var errUnsent = errors.New("desk: not sent")

// phase is where a statement stands in a transaction.
type phase int

const (
	opening phase = iota // outside, or a BEGIN: it needs what the choice rests on
	first                // the first statement after BEGIN
	later
)

// run sends the text on a borrowed connection and waits for the answer. At a
// primary it is sent only under the read lease, unless it goes on with a
// transaction that was begun under it; a database that leaves is sent nothing
// that begins there once its time is over.
func (j *job) run(conn *shelf.Conn, choice findingaid.Choice, b *conservator.Binding, text string, at phase) (*folio.Answer, error) {
	d := j.s.d
	if !choice.Primary && at == opening && choice.After != (folio.Position{}) {
		text = "WAITPOS " + choice.After.String() + " " + text
	}
	msg := folio.AppendMessage(nil, "QUERY", j.q.ID, text)
	sent := j.now()
	gated := choice.Primary && at == opening
	gate := func(write func() error) (err error) {
		if gated {
			sent, err = d.card.Send(j.route.Service, choice.Database.ID, write)
			return err
		}
		if err = d.card.MaySend(choice.Database.ID); err != nil {
			return err
		}
		return write()
	}
	if at == later {
		gate = nil
	}
	if err := conn.Send(msg, j.left(), gate); err != nil {
		return nil, errors.Join(errUnsent, err)
	}
	watch := shelf.Watch{Ending: d.ending, Quiet: max(d.cfg.Quiet, quietTimes*d.aid.Usual(j.route.Host)), Doubt: func() bool {
		_, gen := b.Bound()
		d.health.Report(choice.Database.ID, min(gen, conn.Generation), false)
		return !j.twice || !d.second.take()
	}}
	if !j.write && j.q.Verb != folio.Commit {
		// A read goes elsewhere as soon as the database is held as down; what
		// a write did is only known by waiting.
		watch.Unbound = b.Unbound()
	}
	a, err := conn.Receive(j.left(), watch)
	if err != nil {
		return nil, err
	}
	if a.Code == "" && !j.write && (j.q.Verb == folio.Fetch || j.q.Verb == folio.Run) {
		d.aid.Took(j.route.Host, choice.Database.ID, j.now()-sent)
	}
	if gated && a.Code == "" {
		if pos, ok := folio.ParsePosition(a.Pos); ok {
			d.aid.Observe(j.route.Service, sent, pos)
			d.card.Observe(j.route.Service, sent, pos)
		}
	}
	return a, nil
}

// single runs a statement outside a transaction.
func (s *session) single(q folio.Statement) *folio.Answer {
	j, a := s.newJob(q)
	if a != nil {
		return a
	}
	for {
		conn, choice, err := j.find(j.write)
		if err != nil {
			return j.refuse()
		}
		a, again := j.attempt(conn, choice)
		if !again {
			return a
		}
		s.d.retries.Add(1)
	}
}

// attempt runs the statement once on conn and gives conn back. It returns the
// client's answer, or says that another attempt may be made.
func (j *job) attempt(conn *shelf.Conn, choice findingaid.Choice) (a *folio.Answer, again bool) {
	d, id := j.s.d, choice.Database.ID
	b := d.health.Bind(id)
	var term int64
	if choice.Primary {
		term = d.card.Begin(j.route.Service)
	}
	release := func() {
		d.shelf.Return(conn)
		d.health.Release(id, b)
		if choice.Primary {
			d.card.Done(j.route.Service)
		}
	}
	// A lost answer does not end a read: it is sent once more, elsewhere if it
	// can be, and the first is left to run out.
	j.twice = !j.write && j.tries == 0
	err := conn.Values(j.s.values, j.left())
	var text string
	if err == nil {
		text, err = j.text(conn)
	}
	if err != nil {
		err = errors.Join(errUnsent, err)
	} else {
		a, err = j.run(conn, choice, b, text, opening)
	}
	if errors.Is(err, shelf.ErrQuiet) {
		j.leaveBehind(conn, choice, release)
		return nil, true
	}
	defer release()
	if err != nil {
		return j.failed(conn, b, err)
	}
	if j.write && a.Code == "" && !d.card.Acknowledge(j.route.Service, id, term, a.Pos) {
		return d.leftMeanwhile(id), false
	}
	return j.judge(conn, choice, a)
}

// leaveBehind waits aside for an answer that is taken for lost.
func (j *job) leaveBehind(conn *shelf.Conn, choice findingaid.Choice, release func()) {
	j.s.d.k.Counters.Add("desk.sent_twice", 1)
	j.tries++
	if !choice.Primary {
		j.shun(choice.Database.ID)
	}
	wait := j.left()
	go func() {
		if _, err := conn.Receive(wait, shelf.Watch{}); err != nil {
			conn.Close()
		}
		release()
	}()
}

// leftMeanwhile is the answer to a write whose database has acknowledged it after
// this desk had left it: whether it is kept is not known.
func (d *Desk) leftMeanwhile(id string) *folio.Answer {
	d.k.Counters.Add("desk.left_meanwhile", 1)
	return refusal(folio.Unknown, "the lead moved from "+id, 'I')
}

// failed deals with an attempt that got no answer.
func (j *job) failed(conn *shelf.Conn, b *conservator.Binding, err error) (*folio.Answer, bool) {
	d, id := j.s.d, conn.DB.ID
	if silent := errors.Is(err, stacks.ErrSilent); silent || errors.Is(err, stacks.ErrBroken) {
		_, gen := b.Bound()
		d.health.Report(id, min(gen, conn.Generation), silent)
	}
	if !errors.Is(err, subscription.ErrNoLease) {
		conn.Close()
	}
	unsent := errors.Is(err, errUnsent)
	switch {
	case j.write && !unsent:
		d.k.Counters.Add("desk.unknown", 1)
		return refusal(folio.Unknown, "no answer from "+id, 'I'), false
	case j.left() <= 0:
		if unsent {
			return j.refuse(), false
		}
		d.k.Counters.Add("desk.expired", 1)
		return refusal(folio.Expired, "deadline passed", 'I'), false
	}
	if !errors.Is(err, subscription.ErrNoLease) {
		j.shun(id)
	}
	return nil, true
}

// judge decides what becomes of a database's answer outside a transaction.
func (j *job) judge(conn *shelf.Conn, choice findingaid.Choice, a *folio.Answer) (*folio.Answer, bool) {
	d, id := j.s.d, choice.Database.ID
	switch a.Code {
	case "":
		if j.write {
			if pos, ok := folio.ParsePosition(a.Pos); ok && j.s.last.Less(pos) {
				j.s.last = pos
			}
		}
		return a, false
	case folio.Lagging:
		d.aid.Lagging(id)
		j.shun(id)
		return nil, j.left() > 0
	case folio.NoSuch:
		conn.Lost(j.shape)
	case folio.Retry:
		if !choice.Primary {
			j.shun(id)
		}
	}
	if promised(a.Code) || a.Code == folio.Failed && !j.write {
		j.tries++
		if j.tries <= j.route.Tries && j.pauseAfter(a.Code) {
			return nil, true
		}
		if a.Code != folio.Failed {
			return j.refuse(), false
		}
	}
	return a, false
}

// pauseAfter waits a little where trying again at once would meet the same
// answer; it reports whether there is time for another try.
func (j *job) pauseAfter(code string) bool {
	var wait foundation.Micros
	switch code {
	case folio.ReadOnly:
		wait = 60 * foundation.Millisecond
	case folio.Retry:
		wait = foundation.Micros(10*j.tries) * foundation.Millisecond
	}
	if j.left() < 2*wait {
		return false
	}
	time.Sleep(wait.Duration())
	return true
}

// refuse gives the statement up, unrun, and says when to come back.
func (j *job) refuse() *folio.Answer {
	j.s.d.k.Counters.Add("desk.refused", 1)
	return refusal(folio.Retry, hint(200*foundation.Millisecond), j.s.state())
}
