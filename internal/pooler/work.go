package pooler

import (
	"errors"
	"strconv"
	"time"

	"indigowalk/internal/connpool"
	"indigowalk/internal/dbconn"
	"indigowalk/internal/distribution"
	"indigowalk/internal/health"
	"indigowalk/internal/kernel"
	"indigowalk/internal/lineprotocol"
	"indigowalk/internal/quota"
	"indigowalk/internal/readrouting"
	"indigowalk/internal/routeconfig"
)

// job is one statement, or the start of a transaction, on its way to a
// database.
type job struct {
	s        *session
	q        lineprotocol.Statement
	shape    dbconn.Prepared // of a RUN
	write    bool
	received kernel.Micros
	deadline kernel.Micros
	giveUp   kernel.Micros // until then a place to run is waited for
	route    *routeconfig.Route
	tenant   *routeconfig.PublishedTenant // nil if there is none
	permit   *quota.Permit
	tries    int
	avoid    map[string]bool
	twice    bool // may be sent a second time while the first is unanswered
	// mayHaveRun says that it is a write that a database may have run.
	mayHaveRun bool
}

// holdShare is the part of its time that a statement may wait for a place to
// run; past it the client hears RETRY, and when to come back.
const holdShare = 0.4

func hint(m kernel.Micros) string { return strconv.FormatInt(m.Millis(), 10) }

// quietTimes is how many times the usual an answer may take before it is
// taken for lost, or its database for silent.
const quietTimes = 4

// promised tells whether an error code promises that nothing is kept.
func promised(code string) bool {
	switch code {
	case lineprotocol.Retry, lineprotocol.RolledBack, lineprotocol.Lagging, lineprotocol.ReadOnly, lineprotocol.WrongNode, lineprotocol.MaxConn, lineprotocol.NoSuch:
		return true
	}
	return false
}

// newJob looks the statement's route up; an answer instead means that there
// is nothing to run.
func (s *session) newJob(q lineprotocol.Statement) (*job, *lineprotocol.Answer) {
	j := &job{s: s, q: q, received: s.d.k.Clock.Now()}
	var conf *routeconfig.Index
	if j.route, _, conf = s.d.route(s.database); j.route == nil {
		s.trace.because(causeNoRoute)
		return nil, refusal(lineprotocol.NoDB, s.database, s.state())
	}
	s.trace.job = j
	var code string
	if j.tenant, code = s.tenant(j.route, conf); code != "" {
		return nil, refusal(code, hint(kernel.Second), s.state())
	}
	if a := j.resolve(); a != nil {
		return nil, a
	}
	j.permit = j.newPermit()
	span := kernel.Micros(j.route.DeadlineMs) * kernel.Millisecond
	j.deadline = j.received + span
	j.giveUp = j.received + min(kernel.Micros(holdShare*float64(span)), s.d.longestHold())
	return j, nil
}

// resolve finds out what the statement is: a RUN is what its name stands for.
func (j *job) resolve() *lineprotocol.Answer {
	switch j.q.Verb {
	case lineprotocol.Put:
		j.write = true
	case lineprotocol.Run:
		shape, ok := j.s.names[j.q.Name]
		if !ok {
			return refusal(lineprotocol.NoSuch, j.q.Name, j.s.state())
		}
		j.shape, j.write = shape, shape.Kind == lineprotocol.Put
	}
	return nil
}

func (j *job) now() kernel.Micros  { return j.s.d.k.Clock.Now() }
func (j *job) left() kernel.Micros { return j.deadline - j.now() }

// patience is that for statements of the pooler's own which this one needs before it.
func (j *job) patience() dbconn.Patience { return dbconn.For(j.left(), j.s.d.ending) }

// want is what the statement wishes of a connection.
func (j *job) want() dbconn.Want { return dbconn.Want{Tenant: nameOf(j.tenant), Values: j.s.values} }

func (j *job) request(write bool) readrouting.Request {
	return readrouting.Request{
		Service: j.route.Service, Type: j.route.Type,
		MaxStaleness: j.route.MaxStaleness(),
		Received:     j.received, LastCommit: j.s.last, Write: write, Avoid: j.avoid,
	}
}

func (j *job) shun(id string) {
	if j.avoid == nil {
		j.avoid = map[string]bool{}
	}
	j.avoid[id] = true
}

// noPlaceError says that no database can run the statement at present, and why.
type noPlaceError struct{ cause string }

func (e *noPlaceError) Error() string { return "pooler: no database can run it now: " + e.cause }

// noPlace is the error of a statement that finds no database for that reason; if none
// is given, the router tells it.
func (j *job) noPlace(cause string, write bool) error {
	if cause == "" {
		cause = j.s.d.router.Explain(j.request(write), j.s.d.candidates(j.route.Service, j.want()))
	}
	return &noPlaceError{cause}
}

// find waits for a database that can run the job and borrows a connection.
func (j *job) find(write bool) (*dbconn.Conn, readrouting.Choice, error) {
	d := j.s.d
	for {
		if d.over() {
			return nil, readrouting.Choice{}, j.noPlace(causeEnding, write)
		}
		changed, health := d.control.Changed(), d.health.Changed()
		c, ok := d.place(j.request(write), j.want())
		until := j.giveUp
		what := outage{j.route.Service, write || j.route.Type == routeconfig.Primary}
		if ok {
			d.outages.over(what)
			conn, err := d.pool.Borrow(c.Database.ID, rank(j.tenant, j.route), j.want(), min(j.giveUp, j.deadline)-j.now())
			if err == nil {
				return conn, c, nil
			}
			j.s.trace.failed(c.Database.ID, j.now(), errors.Join(errUnsent, err), nil)
			switch {
			case errors.Is(err, connpool.ErrFull):
				return nil, c, j.noPlace(causeQueueFull, write)
			case errors.Is(err, connpool.ErrDeadline):
				return nil, c, j.noPlace(causeNoConnection, write)
			}
			j.shun(c.Database.ID)
		}
		if !ok {
			until = min(until, d.outages.holdUntil(what, j.now(), j.received))
		}
		wait := min(until-j.now(), 200*kernel.Millisecond)
		if wait <= 0 {
			return nil, c, j.noPlace("", write)
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
func (j *job) text(c *dbconn.Conn) (string, error) {
	if j.q.Verb != lineprotocol.Run {
		return j.q.Text, nil
	}
	name, err := c.Name(j.shape, j.patience())
	if err != nil {
		return "", err
	}
	return "RUN " + name + " " + j.q.Rest, nil
}

// errUnsent marks a failure before the statement was sent in full.
var errUnsent = errors.New("pooler: not sent")

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
func (j *job) run(conn *dbconn.Conn, choice readrouting.Choice, b *health.Binding, text string, at phase) (*lineprotocol.Answer, error) {
	d := j.s.d
	if !choice.Primary && at == opening && choice.MinPosition != (lineprotocol.Position{}) {
		text = "WAITPOS " + choice.MinPosition.String() + " " + text
	}
	msg := lineprotocol.AppendMessage(nil, "QUERY", j.q.ID, text)
	sent := j.now()
	gated := choice.Primary && at == opening
	gate := func(write func() error) (err error) {
		counted := func() error {
			if err := j.permit.Check(); err != nil {
				return err
			}
			j.permit.Spend()
			return write()
		}
		if gated {
			sent, err = d.control.Send(j.route.Service, choice.Database.ID, counted)
			return err
		}
		if err = d.control.MaySend(choice.Database.ID); err != nil {
			return err
		}
		return counted()
	}
	if at == later {
		gate = nil
	}
	if err := conn.Send(msg, j.left(), gate); err != nil {
		return nil, errors.Join(errUnsent, err)
	}
	watch := dbconn.Watch{Ending: d.ending, Quiet: max(d.cfg.Quiet, quietTimes*d.router.TypicalLatency(j.route.Host)), Doubt: func() bool {
		_, gen := b.Bound()
		d.health.Report(choice.Database.ID, min(gen, conn.Generation), false)
		return !j.twice || !d.second.take()
	}}
	if !j.write && j.q.Verb != lineprotocol.Commit {
		// A read goes elsewhere as soon as the database is held as down; what
		// a write did is only known by waiting.
		watch.Unbound = b.Unbound()
	}
	a, err := conn.Receive(j.left(), watch)
	if err != nil {
		return nil, err
	}
	if a.Code == "" && !j.write && (j.q.Verb == lineprotocol.Fetch || j.q.Verb == lineprotocol.Run) {
		d.router.RecordLatency(j.route.Host, choice.Database.ID, j.now()-sent)
	}
	if gated && a.Code == "" {
		if pos, ok := lineprotocol.ParsePosition(a.Pos); ok {
			d.router.Observe(j.route.Service, sent, pos)
			d.control.Observe(j.route.Service, sent, pos)
		}
	}
	return a, nil
}

// single runs a statement outside a transaction.
func (s *session) single(q lineprotocol.Statement) *lineprotocol.Answer {
	j, a := s.newJob(q)
	if a != nil {
		return a
	}
	defer j.permit.Release()
	for {
		if a := j.admit(); a != nil {
			return a
		}
		conn, choice, err := j.find(j.write)
		if err != nil {
			return j.refuse(err)
		}
		if a := j.settle(j.attempt(conn, choice)); a != nil {
			return a
		}
		s.d.retries.Add(1)
	}
}

// settle returns what the client hears after an attempt: what the attempt says, or a
// refusal if it says nothing and no time is left for another. A process may have stood
// still between any two looks at the time, so this is asked after every attempt.
func (j *job) settle(a *lineprotocol.Answer) *lineprotocol.Answer {
	if a == nil && j.left() <= 0 {
		return j.refuse(errLate)
	}
	return a
}

// attempt runs the statement once on conn and gives conn back. It returns the
// client's answer, or nil if another attempt may be made in the time that is left.
func (j *job) attempt(conn *dbconn.Conn, choice readrouting.Choice) (a *lineprotocol.Answer) {
	d, id := j.s.d, choice.Database.ID
	j.watchSend(id)
	b := d.health.Bind(id)
	var begun distribution.PrimarySnapshot
	if choice.Primary {
		begun = d.control.Begin(j.route.Service)
	}
	release := func() {
		d.pool.Return(conn)
		d.health.Release(id, b)
		if choice.Primary {
			d.control.Done(j.route.Service)
		}
	}
	// A lost answer does not end a read: it is sent once more, elsewhere if it
	// can be, and the first is left to run out.
	j.twice = !j.write && j.tries == 0
	err := conn.Values(j.s.values, j.patience())
	var text string
	if err == nil {
		text, err = j.text(conn)
	}
	if err != nil {
		err = errors.Join(errUnsent, err)
	} else {
		a, err = j.run(conn, choice, b, text, opening)
	}
	j.mayHaveRun = j.write && (err == nil && !promised(a.Code) || err != nil && !errors.Is(err, errUnsent))
	if err != nil || a.Code != "" {
		j.s.trace.failed(id, j.now(), err, a)
	}
	if errors.Is(err, dbconn.ErrQuiet) {
		j.leaveBehind(conn, choice, release)
		return nil
	}
	defer release()
	if err != nil {
		return j.failed(conn, b, err)
	}
	if j.write && a.Code == "" && !d.control.Acknowledge(j.route.Service, id, begun, a.Pos) {
		return j.s.leftMeanwhile(id)
	}
	return j.judge(conn, choice, a)
}

// leaveBehind waits aside for an answer that is taken for lost.
func (j *job) leaveBehind(conn *dbconn.Conn, choice readrouting.Choice, release func()) {
	j.s.d.k.Counters.Add("pooler.sent_twice", 1)
	j.tries++
	if !choice.Primary {
		j.shun(choice.Database.ID)
	}
	wait := j.left()
	go func() {
		if _, err := conn.Receive(wait, dbconn.Watch{}); err != nil {
			conn.Close()
		}
		release()
	}()
}

// leftMeanwhile is the answer to a write whose database has acknowledged it after
// this pooler had left it: whether it is kept is not known.
func (s *session) leftMeanwhile(id string) *lineprotocol.Answer {
	s.d.k.Counters.Add("pooler.left_meanwhile", 1)
	s.trace.because(causeLeft)
	return refusal(lineprotocol.Unknown, "the lead moved from "+id, 'I')
}

// failed deals with an attempt that got no answer; nil has another one made.
func (j *job) failed(conn *dbconn.Conn, b *health.Binding, err error) *lineprotocol.Answer {
	d, id := j.s.d, conn.DB.ID
	if silent := errors.Is(err, connpool.ErrSilent); silent || errors.Is(err, connpool.ErrBroken) {
		_, gen := b.Bound()
		d.health.Report(id, min(gen, conn.Generation), silent)
	}
	if !withheld(err) {
		conn.Close()
	}
	unsent := errors.Is(err, errUnsent)
	switch {
	case j.write && !unsent:
		d.k.Counters.Add("pooler.unknown", 1)
		j.s.trace.because(causeUnanswered)
		return refusal(lineprotocol.Unknown, "no answer from "+id, 'I')
	case j.left() <= 0:
		if unsent {
			return j.refuse(err)
		}
		d.k.Counters.Add("pooler.expired", 1)
		j.s.trace.because(causeDeadline)
		return refusal(lineprotocol.Expired, "deadline passed", 'I')
	}
	if !withheld(err) {
		j.shun(id)
	}
	return nil
}

// withheld tells whether a statement was not sent for a reason that is not the
// database's.
func withheld(err error) bool {
	return errors.Is(err, distribution.ErrNoLease) || errors.Is(err, quota.ErrAdmissionEnded)
}

// judge decides what becomes of a database's answer outside a transaction; nil has
// another attempt made.
func (j *job) judge(conn *dbconn.Conn, choice readrouting.Choice, a *lineprotocol.Answer) *lineprotocol.Answer {
	d, id := j.s.d, choice.Database.ID
	switch a.Code {
	case "":
		if j.write {
			if pos, ok := lineprotocol.ParsePosition(a.Pos); ok && j.s.last.Less(pos) {
				j.s.last = pos
			}
		}
		return a
	case lineprotocol.Lagging:
		d.router.MarkLagging(id)
		j.shun(id)
		return nil
	case lineprotocol.NoSuch:
		conn.Lost(j.shape)
	case lineprotocol.Retry:
		if !choice.Primary {
			j.shun(id)
		}
	}
	if promised(a.Code) || a.Code == lineprotocol.Failed && !j.write {
		j.tries++
		if j.tries <= j.route.Tries && j.pauseAfter(a.Code) {
			return nil
		}
		if a.Code != lineprotocol.Failed {
			return j.refuse(errTries)
		}
	}
	return a
}

// pauseAfter waits a little where trying again at once would meet the same
// answer; it reports whether there is time for another try.
func (j *job) pauseAfter(code string) bool {
	var wait kernel.Micros
	switch code {
	case lineprotocol.ReadOnly:
		wait = 60 * kernel.Millisecond
	case lineprotocol.Retry:
		wait = kernel.Micros(10*j.tries) * kernel.Millisecond
	}
	if j.left() < 2*wait {
		return false
	}
	time.Sleep(wait.Duration())
	return true
}

// errTries says that a statement was sent as often as its route allows.
var errTries = errors.New("pooler: sent as often as the route allows")

// errLate says that no time is left for another attempt.
var errLate = errors.New("pooler: no time is left")

// refuse gives the statement up, unrun, and says when to come back.
func (j *job) refuse(why error) *lineprotocol.Answer {
	j.s.d.k.Counters.Add("pooler.refused", 1)
	noPlace := new(noPlaceError)
	switch {
	case errors.As(why, &noPlace):
		j.s.trace.because(noPlace.cause)
	case errors.Is(why, errTries):
		j.s.trace.because(causeTries)
	default:
		j.s.trace.because(causeDeadline)
	}
	return refusal(lineprotocol.Retry, hint(200*kernel.Millisecond), j.s.state())
}
