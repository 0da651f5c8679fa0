package pooler

import (
	"errors"

	"indigowalk/internal/connpool"
	"indigowalk/internal/dbconn"
	"indigowalk/internal/distribution"
	"indigowalk/internal/health"
	"indigowalk/internal/kernel"
	"indigowalk/internal/lineprotocol"
	"indigowalk/internal/readrouting"
)

// transaction is a client's open transaction. It takes a connection only with
// its first statement, and holds it to the end.
type transaction struct {
	s       *session
	begin   lineprotocol.Statement
	plain   bool
	conn    *dbconn.Conn
	choice  readrouting.Choice
	service string
	tenant  string
	begun   distribution.PrimarySnapshot // how things stood at the primary when it began
	b       *health.Binding
	wrote   bool
	ran     int  // statements answered inside it
	failed  bool // the database holds it as failed: state E
	over    bool // it was ended here; the client has not heard yet
}

// begin opens a transaction for the client; no database hears of it yet.
func (s *session) begin(q lineprotocol.Statement) (*transaction, *lineprotocol.Answer) {
	r, _, conf := s.d.route(s.database)
	if r == nil {
		s.trace.because(causeNoRoute)
		return nil, refusal(lineprotocol.NoDB, s.database, 'I')
	}
	if _, code := s.tenant(r, conf); code != "" {
		return nil, refusal(code, hint(kernel.Second), 'I')
	}
	return &transaction{s: s, begin: q, plain: q.Verb == lineprotocol.Begin}, &lineprotocol.Answer{Seal: "-", State: 'T'}
}

// drop ends the transaction without the client: whatever it did is rolled
// back.
func (t *transaction) drop() {
	t.over = true
	t.letGo(true)
}

// letGo gives the connection back, after a roll-back if one is due.
func (t *transaction) letGo(rollBack bool) {
	if t.conn == nil {
		return
	}
	if rollBack && t.conn.Alive() && t.conn.State() != 'I' {
		if a, err := t.conn.Ask("ABORT", dbconn.For(endWait, t.s.d.ending)); err != nil || a.State != 'I' {
			t.conn.Close()
		}
	}
	d := t.s.d
	d.health.Release(t.conn.DB.ID, t.b)
	d.pool.Return(t.conn)
	if t.choice.Primary {
		d.control.Done(t.service)
	}
	t.conn = nil
}

// inside works off a statement in an open transaction.
func (s *session) inside(q lineprotocol.Statement) *lineprotocol.Answer {
	t := s.tx
	switch {
	case t.over:
		s.tx = nil
		if q.Verb == lineprotocol.Abort {
			return &lineprotocol.Answer{Seal: "-", State: 'I'}
		}
		return s.rolledBack("the transaction was ended")
	case q.Verb == lineprotocol.Abort:
		s.tx = nil
		t.letGo(true)
		return &lineprotocol.Answer{Seal: "-", State: 'I'}
	case t.failed && q.Verb == lineprotocol.Commit:
		s.tx = nil
		t.letGo(true)
		return s.rolledBack("the transaction had failed")
	case t.failed, q.Verb == lineprotocol.Begin, q.Verb == lineprotocol.BeginFetch:
		return refusal(lineprotocol.Malformed, "inside a transaction", s.state())
	case q.Verb == lineprotocol.Option, q.Verb == lineprotocol.Parse, q.Verb == lineprotocol.Close:
		return s.local(q)
	}
	j, a := s.newJob(q)
	if a != nil {
		if t.conn != nil && (a.Code == lineprotocol.NoDB || a.Code == lineprotocol.Denied) {
			return s.abandon("the route or its key is gone")
		}
		return a
	}
	if t.conn != nil && nameOf(j.tenant) != t.tenant {
		return s.abandon("the key is another tenant's now")
	}
	return j.insideTx(t)
}

func (s *session) rolledBack(why string) *lineprotocol.Answer {
	s.d.k.Counters.Add("pooler.rolled_back", 1)
	s.trace.because(causeEnded)
	return refusal(lineprotocol.RolledBack, why, 'I')
}

// abandon ends the open transaction; nothing of it is kept.
func (s *session) abandon(why string) *lineprotocol.Answer {
	t := s.tx
	s.tx = nil
	t.letGo(true)
	return s.rolledBack(why)
}

// insideTx runs a statement of the transaction, starting the transaction at a
// database if this is its first.
func (j *job) insideTx(t *transaction) *lineprotocol.Answer {
	defer j.permit.Release()
	for {
		if a := j.settleInside(t, j.attemptInside(t)); a != nil {
			return a
		}
		j.s.d.retries.Add(1)
	}
}

// settleInside is settle for a statement of a transaction, which ends with a refusal.
func (j *job) settleInside(t *transaction, a *lineprotocol.Answer) *lineprotocol.Answer {
	if a != nil || j.left() > 0 {
		return a
	}
	if t.ran > 0 {
		j.s.trace.because(causeDeadline)
		return j.s.abandon("deadline passed")
	}
	j.s.tx = nil
	t.letGo(true)
	return j.refuse(errLate)
}

// attemptInside runs the statement once. It returns the client's answer, or nil if
// another attempt may be made in the time that is left.
func (j *job) attemptInside(t *transaction) *lineprotocol.Answer {
	if t.conn == nil {
		if a := j.start(t); a != nil || t.conn == nil {
			return a
		}
	}
	return j.step(t)
}

// start borrows a connection and begins the transaction on it. Without an answer and
// without a connection another attempt may be made.
func (j *job) start(t *transaction) *lineprotocol.Answer {
	d := j.s.d
	if a := j.admit(); a != nil {
		j.s.tx = nil
		a.State = 'I'
		return a
	}
	conn, choice, err := j.find(t.plain)
	if err != nil {
		j.s.tx = nil
		return j.refuse(err)
	}
	t.conn, t.choice, t.service, t.tenant = conn, choice, j.route.Service, nameOf(j.tenant)
	t.b = d.health.Bind(conn.DB.ID)
	if choice.Primary {
		t.begun = d.control.Begin(t.service)
	}
	own := *j
	own.q = t.begin
	var a *lineprotocol.Answer
	err = conn.Values(j.s.values, j.patience())
	if err != nil {
		err = errors.Join(errUnsent, err)
	} else {
		a, err = own.run(conn, choice, t.b, t.begin.Text, opening)
	}
	if err == nil && a.Code == "" && a.State == 'T' {
		return nil
	}
	j.s.trace.failed(conn.DB.ID, j.now(), err, a)
	if err != nil {
		j.lost(t, err)
	} else {
		switch a.Code {
		case lineprotocol.Lagging:
			d.router.MarkLagging(conn.DB.ID)
			j.shun(conn.DB.ID)
		default:
			j.tries++
		}
	}
	t.letGo(true)
	if j.tries > j.route.Tries || err == nil && !j.pauseAfter(a.Code) || j.left() <= 0 {
		j.s.tx = nil
		return j.refuse(errTries)
	}
	return nil
}

// lost reports a broken connection and closes one without an answer.
func (j *job) lost(t *transaction, err error) {
	if silent := errors.Is(err, connpool.ErrSilent); silent || errors.Is(err, connpool.ErrBroken) {
		_, gen := t.b.Bound()
		j.s.d.health.Report(t.conn.DB.ID, min(gen, t.conn.Generation), silent)
		j.shun(t.conn.DB.ID)
	}
	t.conn.Close()
	j.tries++
}

// step runs the statement on the transaction's connection; nil has another attempt made. Nothing of an
// unfinished transaction is kept once its connection is closed, so every
// failure but that of COMMIT can be promised.
func (j *job) step(t *transaction) *lineprotocol.Answer {
	if db, _ := t.b.Bound(); db == "" && t.ran > 0 {
		t.conn.Close()
		return j.s.abandon("the database failed")
	}
	commit := j.q.Verb == lineprotocol.Commit
	// The first statement may start the transaction anew: the one left behind
	// is rolled back when its connection closes.
	j.twice = t.ran == 0 && !commit && j.tries == 0
	a, err := j.runInside(t)
	if err != nil || a.Code != "" {
		j.s.trace.failed(t.conn.DB.ID, j.now(), err, a)
	}
	switch {
	case errors.Is(err, dbconn.ErrQuiet):
		left := *t
		t.conn = nil
		j.leaveBehind(left.conn, left.choice, func() {
			left.conn.Close()
			left.letGo(false)
		})
		return nil
	case err != nil:
		return j.unanswered(t, commit, err)
	case a.Code != "":
		return j.refusedInside(t, a)
	}
	t.ran++
	t.wrote = t.wrote || j.write
	if a.State != 'T' {
		a = j.ended(t, commit, a)
	}
	return a
}

// runInside has the transaction's database run the statement.
func (j *job) runInside(t *transaction) (*lineprotocol.Answer, error) {
	if err := t.conn.Values(j.s.values, j.patience()); err != nil {
		return nil, errors.Join(errUnsent, err)
	}
	text, err := j.text(t.conn)
	if err != nil {
		return nil, errors.Join(errUnsent, err)
	}
	at := later
	if t.ran == 0 {
		at = first
	}
	return j.run(t.conn, t.choice, t.b, text, at)
}

// unanswered deals with a statement of the transaction that got no answer; nil has
// another attempt made.
func (j *job) unanswered(t *transaction, commit bool, err error) *lineprotocol.Answer {
	s := j.s
	unsent := errors.Is(err, errUnsent)
	j.lost(t, err)
	t.letGo(false)
	if commit && t.wrote && !unsent {
		s.tx = nil
		s.d.k.Counters.Add("pooler.unknown", 1)
		s.trace.because(causeUnanswered)
		return refusal(lineprotocol.Unknown, "no answer to COMMIT", 'I')
	}
	if t.ran == 0 && j.tries <= j.route.Tries && j.left() > 0 {
		return nil
	}
	s.tx = nil
	return s.rolledBack("no answer")
}

// ended deals with the answer by which the transaction ended, and returns what the
// client hears.
func (j *job) ended(t *transaction, commit bool, a *lineprotocol.Answer) *lineprotocol.Answer {
	s := j.s
	s.tx = nil
	if commit && t.wrote && !s.d.control.Acknowledge(t.service, t.conn.DB.ID, t.begun, a.Pos) {
		a = s.leftMeanwhile(t.conn.DB.ID)
	} else if commit && t.wrote {
		if pos, ok := lineprotocol.ParsePosition(a.Pos); ok && s.last.Less(pos) {
			s.last = pos
		}
	}
	t.letGo(false)
	return a
}

// refusedInside deals with an error that the database answered inside the
// transaction; nil has another attempt made.
func (j *job) refusedInside(t *transaction, a *lineprotocol.Answer) *lineprotocol.Answer {
	s := j.s
	j.tries++
	more := j.tries <= j.route.Tries && j.left() > 0
	switch {
	case a.Code == lineprotocol.NoSuch:
		t.conn.Lost(j.shape)
		if a.State == 'T' && more {
			return nil
		}
	case a.Code == lineprotocol.Retry && a.State == 'T':
		if more && j.pauseAfter(a.Code) {
			return nil
		}
	}
	if t.ran == 0 && promised(a.Code) && more {
		if a.Code == lineprotocol.Lagging {
			s.d.router.MarkLagging(t.conn.DB.ID)
			j.shun(t.conn.DB.ID)
		}
		t.letGo(true)
		j.pauseAfter(a.Code)
		return nil
	}
	if promised(a.Code) {
		return s.abandon(a.Code)
	}
	if a.State == 'I' {
		s.tx = nil
		t.letGo(false)
	} else {
		t.failed = a.State == 'E'
	}
	return a
}
