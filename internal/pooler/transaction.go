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
	s              *session
	beginStatement lineprotocol.Statement
	readWrite      bool
	conn           *dbconn.Conn
	choice         readrouting.Choice
	service        string
	tenant         string
	snapshot       distribution.PrimarySnapshot // state of the primary when it began
	binding        *health.Binding
	wrote          bool
	executed       int  // number of statements executed in it
	failed         bool // the database reported it as failed: state E
	ended          bool // the pooler ended it; the client has not been notified yet
}

// beginTransaction opens a transaction for the client. Nothing is sent to a database yet.
func (s *session) beginTransaction(statement lineprotocol.Statement) (*transaction, *lineprotocol.Answer) {
	route, _, conf := s.pooler.route(s.database)
	if route == nil {
		s.trace.setCause(causeNoRoute)
		return nil, errorResponse(lineprotocol.NoDB, s.database, 'I')
	}
	if _, code := s.authorize(route, conf); code != "" {
		return nil, errorResponse(code, retryAfter(kernel.Second), 'I')
	}
	return &transaction{s: s, beginStatement: statement, readWrite: statement.Verb == lineprotocol.Begin}, &lineprotocol.Answer{Seal: "-", State: 'T'}
}

// rollBack rolls the transaction back on the pooler's initiative.
func (t *transaction) rollBack() {
	t.ended = true
	t.release(true)
}

// release returns the connection to the pool, if the transaction has one. With rollBack set, a
// transaction that is open on the connection is rolled back first.
func (t *transaction) release(rollBack bool) {
	if t.conn == nil {
		return
	}
	if rollBack && t.conn.Alive() && t.conn.State() != 'I' {
		if answer, err := t.conn.Execute("ABORT", dbconn.NewLimit(rollbackTimeout, t.s.pooler.terminate)); err != nil || answer.State != 'I' {
			t.conn.Close()
		}
	}
	p := t.s.pooler
	p.health.Release(t.conn.DB.ID, t.binding)
	p.pool.Return(t.conn)
	if t.choice.Primary {
		p.control.Done(t.service)
	}
	t.conn = nil
}

// executeInTransaction executes a statement in the open transaction.
func (s *session) executeInTransaction(statement lineprotocol.Statement) *lineprotocol.Answer {
	t := s.tx
	switch {
	case t.ended:
		s.tx = nil
		if statement.Verb == lineprotocol.Abort {
			return &lineprotocol.Answer{Seal: "-", State: 'I'}
		}
		return s.rolledBackResponse("the transaction was ended")
	case statement.Verb == lineprotocol.Abort:
		s.tx = nil
		t.release(true)
		return &lineprotocol.Answer{Seal: "-", State: 'I'}
	case t.failed && statement.Verb == lineprotocol.Commit:
		s.tx = nil
		t.release(true)
		return s.rolledBackResponse("the transaction had failed")
	case t.failed, statement.Verb == lineprotocol.Begin, statement.Verb == lineprotocol.BeginFetch:
		return errorResponse(lineprotocol.Malformed, "inside a transaction", s.state())
	case statement.Verb == lineprotocol.Option, statement.Verb == lineprotocol.Parse, statement.Verb == lineprotocol.Close:
		return s.executeLocal(statement)
	}
	j, answer := s.newJob(statement)
	if answer != nil {
		if t.conn != nil && (answer.Code == lineprotocol.NoDB || answer.Code == lineprotocol.Denied) {
			return s.abortTransaction("the route or its key is gone")
		}
		return answer
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
		if answer := j.checkTransactionDeadline(t, j.attemptInTransaction(t)); answer != nil {
			return answer
		}
		j.s.pooler.retries.Add(1)
	}
}

// checkTransactionDeadline is like checkDeadline, for a statement of a transaction. The transaction
// ends if no time is left.
func (j *job) checkTransactionDeadline(t *transaction, answer *lineprotocol.Answer) *lineprotocol.Answer {
	if answer != nil || j.remaining() > 0 {
		return answer
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
		if answer := j.startTransaction(t); answer != nil || t.conn == nil {
			return answer
		}
	}
	return j.executeStatement(t)
}

// startTransaction borrows a connection and begins the transaction on it. It returns an error
// response, or nil: then the transaction has a connection, or else another attempt may be made.
func (j *job) startTransaction(t *transaction) *lineprotocol.Answer {
	p := j.s.pooler
	if answer := j.acquireQuota(); answer != nil {
		j.s.tx = nil
		answer.State = 'I'
		return answer
	}
	conn, choice, err := j.acquireConnection(t.readWrite)
	if err != nil {
		j.s.tx = nil
		return j.refuse(err)
	}
	t.conn, t.choice, t.service, t.tenant = conn, choice, j.route.Service, nameFor(j.tenant)
	t.binding = p.health.Bind(conn.DB.ID)
	if choice.Primary {
		t.snapshot = p.control.Begin(t.service)
	}
	beginJob := *j
	beginJob.statement = t.beginStatement
	var answer *lineprotocol.Answer
	err = conn.SetValues(j.s.values, j.timeout())
	if err != nil {
		err = errors.Join(errNotSent, err)
	} else {
		answer, err = beginJob.roundTrip(conn, choice, t.binding, t.beginStatement.Text, phaseBegin)
	}
	if err == nil && answer.Code == "" && answer.State == 'T' {
		return nil
	}
	j.s.trace.addAttempt(conn.DB.ID, j.now(), err, answer)
	if err != nil {
		j.handleConnectionError(t, err)
	} else {
		switch answer.Code {
		case lineprotocol.Lagging:
			p.router.MarkLagging(conn.DB.ID)
			j.exclude(conn.DB.ID)
		default:
			j.tries++
		}
	}
	t.release(true)
	if j.tries > j.route.Tries || err == nil && !j.backOff(answer.Code) || j.remaining() <= 0 {
		j.s.tx = nil
		return j.refuse(errTriesExhausted)
	}
	return nil
}

// handleConnectionError closes the connection after an error. If the connection was broken or the
// database unresponsive, it also reports the database to the health monitor and excludes it from
// further attempts.
func (j *job) handleConnectionError(t *transaction, err error) {
	if silent := errors.Is(err, connpool.ErrUnresponsive); silent || errors.Is(err, connpool.ErrBroken) {
		_, generation := t.binding.Bound()
		j.s.pooler.health.Report(t.conn.DB.ID, min(generation, t.conn.Generation), silent)
		j.exclude(t.conn.DB.ID)
	}
	t.conn.Close()
	j.tries++
}

// executeStatement runs the statement on the transaction's connection; it returns nil if another
// attempt may be made. The database rolls an open transaction back when its connection closes, so
// after any failure other than that of COMMIT the client can be told that nothing was committed.
func (j *job) executeStatement(t *transaction) *lineprotocol.Answer {
	if db, _ := t.binding.Bound(); db == "" && t.executed > 0 {
		t.conn.Close()
		return j.s.abortTransaction("the database failed")
	}
	commit := j.statement.Verb == lineprotocol.Commit
	// The first statement may restart the transaction on another connection: the abandoned one is
	// rolled back when its connection closes.
	j.mayResend = t.executed == 0 && !commit && j.tries == 0
	answer, err := j.sendInTransaction(t)
	if err != nil || answer.Code != "" {
		j.s.trace.addAttempt(t.conn.DB.ID, j.now(), err, answer)
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
	case answer.Code != "":
		return j.handleTransactionError(t, answer)
	}
	t.executed++
	t.wrote = t.wrote || j.write
	if answer.State != 'T' {
		answer = j.finishTransaction(t, commit, answer)
	}
	return answer
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
func (j *job) finishTransaction(t *transaction, commit bool, answer *lineprotocol.Answer) *lineprotocol.Answer {
	s := j.s
	s.tx = nil
	if commit && t.wrote && !s.pooler.control.Acknowledge(t.service, t.conn.DB.ID, t.snapshot, answer.Pos) {
		answer = s.leaderChangedResponse(t.conn.DB.ID)
	} else if commit && t.wrote {
		if pos, ok := lineprotocol.ParsePosition(answer.Pos); ok && s.lastCommit.Less(pos) {
			s.lastCommit = pos
		}
	}
	t.release(false)
	return answer
}

// handleTransactionError handles a database's error response in the transaction; it returns nil if
// another attempt may be made.
func (j *job) handleTransactionError(t *transaction, answer *lineprotocol.Answer) *lineprotocol.Answer {
	s := j.s
	j.tries++
	mayRetry := j.tries <= j.route.Tries && j.remaining() > 0
	switch {
	case answer.Code == lineprotocol.NoSuch:
		t.conn.ForgetPrepared(j.prepared)
		if answer.State == 'T' && mayRetry {
			return nil
		}
	case answer.Code == lineprotocol.Retry && answer.State == 'T':
		if mayRetry && j.backOff(answer.Code) {
			return nil
		}
	}
	if t.executed == 0 && guaranteesNoEffect(answer.Code) && mayRetry {
		if answer.Code == lineprotocol.Lagging {
			s.pooler.router.MarkLagging(t.conn.DB.ID)
			j.exclude(t.conn.DB.ID)
		}
		t.release(true)
		j.backOff(answer.Code)
		return nil
	}
	if guaranteesNoEffect(answer.Code) {
		return s.abortTransaction(answer.Code)
	}
	if answer.State == 'I' {
		s.tx = nil
		t.release(false)
	} else {
		t.failed = answer.State == 'E'
	}
	return answer
}
