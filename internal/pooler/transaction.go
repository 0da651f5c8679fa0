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

// transaction is a client's open transaction. It acquires a connection only with its first statement
// and keeps it until it ends.
type transaction struct {
	s         *session
	begin     lineprotocol.Statement
	readWrite bool
	conn      *dbconn.Conn
	choice    readrouting.Choice
	service   string
	tenant    string
	snapshot  distribution.PrimarySnapshot // state of the primary when it began
	binding   *health.Binding
	wrote     bool
	executed  int  // number of statements executed in it
	failed    bool // the database reported it as failed: state E
	ended     bool // the pooler ended it; the client has not been notified yet
}

// beginTransaction opens a transaction for the client. Nothing is sent to a database yet.
func (s *session) beginTransaction(q lineprotocol.Statement) (*transaction, *lineprotocol.Answer) {
	r, _, conf := s.pooler.route(s.database)
	if r == nil {
		s.trace.setCause(causeNoRoute)
		return nil, errorResponse(lineprotocol.NoDB, s.database, 'I')
	}
	if _, code := s.authorize(r, conf); code != "" {
		return nil, errorResponse(code, retryAfter(kernel.Second), 'I')
	}
	return &transaction{s: s, begin: q, readWrite: q.Verb == lineprotocol.Begin}, &lineprotocol.Answer{Seal: "-", State: 'T'}
}

// rollBack rolls the transaction back on the pooler's initiative.
func (t *transaction) rollBack() {
	t.ended = true
	t.release(true)
}

// release returns the connection to the pool. If rollBack is set and a transaction is open on the
// connection, it is rolled back first.
func (t *transaction) release(rollBack bool) {
	if t.conn == nil {
		return
	}
	if rollBack && t.conn.Alive() && t.conn.State() != 'I' {
		if a, err := t.conn.Execute("ABORT", dbconn.NewLimit(rollbackTimeout, t.s.pooler.terminate)); err != nil || a.State != 'I' {
			t.conn.Close()
		}
	}
	d := t.s.pooler
	d.health.Release(t.conn.DB.ID, t.binding)
	d.pool.Return(t.conn)
	if t.choice.Primary {
		d.control.Done(t.service)
	}
	t.conn = nil
}

// executeInTransaction executes a statement in the open transaction.
func (s *session) executeInTransaction(q lineprotocol.Statement) *lineprotocol.Answer {
	t := s.tx
	switch {
	case t.ended:
		s.tx = nil
		if q.Verb == lineprotocol.Abort {
			return &lineprotocol.Answer{Seal: "-", State: 'I'}
		}
		return s.rolledBackResponse("the transaction was ended")
	case q.Verb == lineprotocol.Abort:
		s.tx = nil
		t.release(true)
		return &lineprotocol.Answer{Seal: "-", State: 'I'}
	case t.failed && q.Verb == lineprotocol.Commit:
		s.tx = nil
		t.release(true)
		return s.rolledBackResponse("the transaction had failed")
	case t.failed, q.Verb == lineprotocol.Begin, q.Verb == lineprotocol.BeginFetch:
		return errorResponse(lineprotocol.Malformed, "inside a transaction", s.state())
	case q.Verb == lineprotocol.Option, q.Verb == lineprotocol.Parse, q.Verb == lineprotocol.Close:
		return s.executeLocal(q)
	}
	j, a := s.newJob(q)
	if a != nil {
		if t.conn != nil && (a.Code == lineprotocol.NoDB || a.Code == lineprotocol.Denied) {
			return s.abortTransaction("the route or its key is gone")
		}
		return a
	}
	if t.conn != nil && nameFor(j.tenant) != t.tenant {
		return s.abortTransaction("the key is another tenant's now")
	}
	return j.runInTransaction(t)
}

// rolledBackResponse returns the response that reports a rollback to the client.
func (s *session) rolledBackResponse(reason string) *lineprotocol.Answer {
	s.pooler.k.Counters.Add("pooler.rolled_back", 1)
	s.trace.setCause(causeTransactionEnded)
	return errorResponse(lineprotocol.RolledBack, reason, 'I')
}

// abortTransaction rolls the open transaction back and returns the response for the client.
func (s *session) abortTransaction(reason string) *lineprotocol.Answer {
	t := s.tx
	s.tx = nil
	t.release(true)
	return s.rolledBackResponse(reason)
}

// runInTransaction runs a statement of the transaction, with retries. The first statement starts the
// transaction at a database.
func (j *job) runInTransaction(t *transaction) *lineprotocol.Answer {
	defer j.permit.Release()
	for {
		if a := j.checkTransactionDeadline(t, j.attemptInTransaction(t)); a != nil {
			return a
		}
		j.s.pooler.retries.Add(1)
	}
}

// checkTransactionDeadline is checkDeadline for a statement of a transaction. If it refuses the
// statement, the transaction ends.
func (j *job) checkTransactionDeadline(t *transaction, a *lineprotocol.Answer) *lineprotocol.Answer {
	if a != nil || j.remaining() > 0 {
		return a
	}
	if t.executed > 0 {
		j.s.trace.setCause(causeDeadline)
		return j.s.abortTransaction("deadline passed")
	}
	j.s.tx = nil
	t.release(true)
	return j.refuse(errDeadlinePassed)
}

// attemptInTransaction runs the statement once. It returns the response for the client, or nil if
// another attempt may be made in the remaining time.
func (j *job) attemptInTransaction(t *transaction) *lineprotocol.Answer {
	if t.conn == nil {
		if a := j.startTransaction(t); a != nil || t.conn == nil {
			return a
		}
	}
	return j.executeStatement(t)
}

// startTransaction borrows a connection and begins the transaction on it. If it returns nil and the
// transaction has no connection, another attempt may be made.
func (j *job) startTransaction(t *transaction) *lineprotocol.Answer {
	d := j.s.pooler
	if a := j.acquireQuota(); a != nil {
		j.s.tx = nil
		a.State = 'I'
		return a
	}
	conn, choice, err := j.acquireConnection(t.readWrite)
	if err != nil {
		j.s.tx = nil
		return j.refuse(err)
	}
	t.conn, t.choice, t.service, t.tenant = conn, choice, j.route.Service, nameFor(j.tenant)
	t.binding = d.health.Bind(conn.DB.ID)
	if choice.Primary {
		t.snapshot = d.control.Begin(t.service)
	}
	begin := *j
	begin.statement = t.begin
	var a *lineprotocol.Answer
	err = conn.SetValues(j.s.values, j.timeout())
	if err != nil {
		err = errors.Join(errNotSent, err)
	} else {
		a, err = begin.roundTrip(conn, choice, t.binding, t.begin.Text, phaseBegin)
	}
	if err == nil && a.Code == "" && a.State == 'T' {
		return nil
	}
	j.s.trace.addAttempt(conn.DB.ID, j.now(), err, a)
	if err != nil {
		j.handleConnectionError(t, err)
	} else {
		switch a.Code {
		case lineprotocol.Lagging:
			d.router.MarkLagging(conn.DB.ID)
			j.exclude(conn.DB.ID)
		default:
			j.tries++
		}
	}
	t.release(true)
	if j.tries > j.route.Tries || err == nil && !j.backOff(a.Code) || j.remaining() <= 0 {
		j.s.tx = nil
		return j.refuse(errTriesExhausted)
	}
	return nil
}

// handleConnectionError closes the connection after an error and, if it was broken or silent,
// reports the database to the health monitor and excludes it from further attempts.
func (j *job) handleConnectionError(t *transaction, err error) {
	if silent := errors.Is(err, connpool.ErrUnresponsive); silent || errors.Is(err, connpool.ErrBroken) {
		_, gen := t.binding.Bound()
		j.s.pooler.health.Report(t.conn.DB.ID, min(gen, t.conn.Generation), silent)
		j.exclude(t.conn.DB.ID)
	}
	t.conn.Close()
	j.tries++
}

// executeStatement runs the statement on the transaction's connection; it returns nil if another
// attempt may be made. An unfinished transaction has no effect once its connection is closed, so
// after any failure but that of COMMIT the client can be assured that nothing was committed.
func (j *job) executeStatement(t *transaction) *lineprotocol.Answer {
	if db, _ := t.binding.Bound(); db == "" && t.executed > 0 {
		t.conn.Close()
		return j.s.abortTransaction("the database failed")
	}
	commit := j.statement.Verb == lineprotocol.Commit
	// The first statement may restart the transaction on another connection: the abandoned one is
	// rolled back when its connection closes.
	j.mayResend = t.executed == 0 && !commit && j.tries == 0
	a, err := j.sendInTransaction(t)
	if err != nil || a.Code != "" {
		j.s.trace.addAttempt(t.conn.DB.ID, j.now(), err, a)
	}
	switch {
	case errors.Is(err, dbconn.ErrNoAnswerYet):
		abandoned := *t
		t.conn = nil
		j.abandonAttempt(abandoned.conn, abandoned.choice, func() {
			abandoned.conn.Close()
			abandoned.release(false)
		})
		return nil
	case err != nil:
		return j.handleNoResponse(t, commit, err)
	case a.Code != "":
		return j.handleTransactionError(t, a)
	}
	t.executed++
	t.wrote = t.wrote || j.write
	if a.State != 'T' {
		a = j.finishTransaction(t, commit, a)
	}
	return a
}

// sendInTransaction sends the statement to the transaction's database and returns the response.
func (j *job) sendInTransaction(t *transaction) (*lineprotocol.Answer, error) {
	if err := t.conn.SetValues(j.s.values, j.timeout()); err != nil {
		return nil, errors.Join(errNotSent, err)
	}
	text, err := j.statementText(t.conn)
	if err != nil {
		return nil, errors.Join(errNotSent, err)
	}
	stage := phaseLater
	if t.executed == 0 {
		stage = phaseFirst
	}
	return j.roundTrip(t.conn, t.choice, t.binding, text, stage)
}

// handleNoResponse handles a statement of the transaction that got no response; it returns nil if
// another attempt may be made.
func (j *job) handleNoResponse(t *transaction, commit bool, err error) *lineprotocol.Answer {
	s := j.s
	notSent := errors.Is(err, errNotSent)
	j.handleConnectionError(t, err)
	t.release(false)
	if commit && t.wrote && !notSent {
		s.tx = nil
		s.pooler.k.Counters.Add("pooler.unknown", 1)
		s.trace.setCause(causeNoResponse)
		return errorResponse(lineprotocol.Unknown, "no answer to COMMIT", 'I')
	}
	if t.executed == 0 && j.tries <= j.route.Tries && j.remaining() > 0 {
		return nil
	}
	s.tx = nil
	return s.rolledBackResponse("no answer")
}

// finishTransaction handles a response that ended the transaction, and returns the response for the
// client.
func (j *job) finishTransaction(t *transaction, commit bool, a *lineprotocol.Answer) *lineprotocol.Answer {
	s := j.s
	s.tx = nil
	if commit && t.wrote && !s.pooler.control.Acknowledge(t.service, t.conn.DB.ID, t.snapshot, a.Pos) {
		a = s.leaderChangedResponse(t.conn.DB.ID)
	} else if commit && t.wrote {
		if pos, ok := lineprotocol.ParsePosition(a.Pos); ok && s.lastCommit.Less(pos) {
			s.lastCommit = pos
		}
	}
	t.release(false)
	return a
}

// handleTransactionError handles a database's error response in the transaction; it returns nil if
// another attempt may be made.
func (j *job) handleTransactionError(t *transaction, a *lineprotocol.Answer) *lineprotocol.Answer {
	s := j.s
	j.tries++
	mayRetry := j.tries <= j.route.Tries && j.remaining() > 0
	switch {
	case a.Code == lineprotocol.NoSuch:
		t.conn.ForgetPrepared(j.prepared)
		if a.State == 'T' && mayRetry {
			return nil
		}
	case a.Code == lineprotocol.Retry && a.State == 'T':
		if mayRetry && j.backOff(a.Code) {
			return nil
		}
	}
	if t.executed == 0 && guaranteesNoEffect(a.Code) && mayRetry {
		if a.Code == lineprotocol.Lagging {
			s.pooler.router.MarkLagging(t.conn.DB.ID)
			j.exclude(t.conn.DB.ID)
		}
		t.release(true)
		j.backOff(a.Code)
		return nil
	}
	if guaranteesNoEffect(a.Code) {
		return s.abortTransaction(a.Code)
	}
	if a.State == 'I' {
		s.tx = nil
		t.release(false)
	} else {
		t.failed = a.State == 'E'
	}
	return a
}
