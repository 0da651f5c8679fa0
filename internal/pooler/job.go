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

// job is the processing of one client statement, or of the start of a transaction, at a database.
type job struct {
	s            *session
	statement    lineprotocol.Statement
	prepared     dbconn.Prepared // the prepared statement of a RUN
	write        bool
	received     kernel.Micros
	deadline     kernel.Micros
	waitDeadline kernel.Micros // until when it may wait for a database that can run it
	route        *routeconfig.Route
	tenant       *routeconfig.PublishedTenant // nil if there is none
	permit       *quota.Permit
	tries        int
	excluded     map[string]bool
	mayResend    bool // it may be sent a second time while the first attempt is unanswered
	// mayHaveRun is set if it is a write that a database may have executed already.
	mayHaveRun bool
}

// waitShare is the fraction of its timeout for which a statement may wait for a database that can
// run it. After that the client gets RETRY with a retry-after.
const waitShare = 0.4

// retryAfter formats a retry-after for a RETRY response, in milliseconds.
func retryAfter(m kernel.Micros) string { return strconv.FormatInt(m.Millis(), 10) }

// suspicionFactor is the multiple of the typical latency after which a missing response makes its
// database suspect, and the statement may be sent a second time.
const suspicionFactor = 4

// guaranteesNoEffect reports whether an error code guarantees that the statement had no lasting
// effect.
func guaranteesNoEffect(code string) bool {
	switch code {
	case lineprotocol.Retry, lineprotocol.RolledBack, lineprotocol.Lagging, lineprotocol.ReadOnly, lineprotocol.WrongNode, lineprotocol.MaxConn, lineprotocol.NoSuch:
		return true
	}
	return false
}

// newJob returns the job of a statement, with its route and tenant. It returns an error response
// instead if the statement can't be run.
func (s *session) newJob(statement lineprotocol.Statement) (*job, *lineprotocol.Answer) {
	j := &job{s: s, statement: statement, received: s.pooler.k.Clock.Now()}
	var conf *routeconfig.Index
	if j.route, _, conf = s.pooler.route(s.database); j.route == nil {
		s.trace.setCause(causeNoRoute)
		return nil, errorResponse(lineprotocol.NoDB, s.database, s.state())
	}
	s.trace.job = j
	var code string
	if j.tenant, code = s.authorize(j.route, conf); code != "" {
		return nil, errorResponse(code, retryAfter(kernel.Second), s.state())
	}
	if answer := j.classifyStatement(); answer != nil {
		return nil, answer
	}
	j.permit = j.newPermit()
	timeout := kernel.Micros(j.route.DeadlineMs) * kernel.Millisecond
	j.deadline = j.received + timeout
	j.waitDeadline = j.received + min(kernel.Micros(waitShare*float64(timeout)), s.pooler.maxWait())
	return j, nil
}

// classifyStatement determines whether the statement is a write, and looks up the prepared statement
// of a RUN. It returns an error response if there is no such prepared statement.
func (j *job) classifyStatement() *lineprotocol.Answer {
	switch j.statement.Verb {
	case lineprotocol.Put:
		j.write = true
	case lineprotocol.Run:
		prepared, ok := j.s.prepared[j.statement.Name]
		if !ok {
			return errorResponse(lineprotocol.NoSuch, j.statement.Name, j.s.state())
		}
		j.prepared, j.write = prepared, prepared.Kind == lineprotocol.Put
	}
	return nil
}

func (j *job) now() kernel.Micros       { return j.s.pooler.k.Clock.Now() }
func (j *job) remaining() kernel.Micros { return j.deadline - j.now() }

// timeout returns the time limit for the pooler's own statements that must run before this one.
func (j *job) timeout() dbconn.WaitLimit { return dbconn.NewLimit(j.remaining(), j.s.pooler.terminate) }

// want returns what the statement requires or prefers of a connection.
func (j *job) want() dbconn.Want { return dbconn.Want{Tenant: nameFor(j.tenant), Values: j.s.values} }

// routingRequest returns what the router needs to choose a database for the statement.
func (j *job) routingRequest(write bool) readrouting.Request {
	return readrouting.Request{
		Service: j.route.Service, RouteType: j.route.Type,
		MaxStaleness: j.route.MaxStaleness(),
		Received:     j.received, LastCommit: j.s.lastCommit, Write: write, Avoid: j.excluded,
	}
}

// exclude keeps the router from choosing the database for the next attempts.
func (j *job) exclude(id string) {
	if j.excluded == nil {
		j.excluded = map[string]bool{}
	}
	j.excluded[id] = true
}

// unavailableError reports that no database can run the statement at present, and why.
type unavailableError struct{ cause string }

func (e *unavailableError) Error() string { return "pooler: no database can run it now: " + e.cause }

// unavailable returns the error for a statement that no database can run, for the given cause or, if
// that is empty, for the cause that the router determines.
func (j *job) unavailable(cause string, write bool) error {
	if cause == "" {
		cause = j.s.pooler.router.Explain(j.routingRequest(write), j.s.pooler.candidates(j.route.Service, j.want()))
	}
	return &unavailableError{cause}
}

// acquireConnection waits for a database that can run the job and borrows a connection to it.
func (j *job) acquireConnection(write bool) (*dbconn.Conn, readrouting.Choice, error) {
	p := j.s.pooler
	for {
		if p.terminating() {
			return nil, readrouting.Choice{}, j.unavailable(causeShutdown, write)
		}
		changed, healthChanged := p.control.Changed(), p.health.Changed()
		choice, ok := p.pickDatabase(j.routingRequest(write), j.want())
		until := j.waitDeadline
		key := outageKey{j.route.Service, write || j.route.Type == routeconfig.Primary}
		if ok {
			p.outages.clear(key)
			conn, err := p.pool.Borrow(choice.Database.ID, priority(j.tenant, j.route), j.want(), min(j.waitDeadline, j.deadline)-j.now())
			if err == nil {
				return conn, choice, nil
			}
			j.s.trace.addAttempt(choice.Database.ID, j.now(), errors.Join(errNotSent, err), nil)
			switch {
			case errors.Is(err, connpool.ErrPoolExhausted):
				return nil, choice, j.unavailable(causeQueueFull, write)
			case errors.Is(err, connpool.ErrDeadline):
				return nil, choice, j.unavailable(causeNoConnection, write)
			}
			j.exclude(choice.Database.ID)
		}
		if !ok {
			until = min(until, p.outages.waitDeadline(key, j.now(), j.received))
		}
		wait := min(until-j.now(), 200*kernel.Millisecond)
		if wait <= 0 {
			return nil, choice, j.unavailable("", write)
		}
		if ok && !choice.Primary {
			continue // try another replica, or the primary
		}
		clear(j.excluded)
		t := time.NewTimer(wait.Duration())
		select {
		case <-changed:
		case <-healthChanged:
		case <-p.terminate:
		case <-t.C:
		}
		t.Stop()
	}
}

// statementText returns the text to send to the database: the client's text, with the prepared name
// replaced by that on the server connection.
func (j *job) statementText(c *dbconn.Conn) (string, error) {
	if j.statement.Verb != lineprotocol.Run {
		return j.statement.Text, nil
	}
	name, err := c.Prepare(j.prepared, j.timeout())
	if err != nil {
		return "", err
	}
	return "RUN " + name + " " + j.statement.Rest, nil
}

// errNotSent marks a failure that occurred before the statement was sent completely.
var errNotSent = errors.New("pooler: not sent")

// statementPhase is the position of a statement in a transaction.
type statementPhase int

const (
	phaseBegin statementPhase = iota // a statement outside a transaction, or BEGIN: the conditions of the database choice must hold
	phaseFirst                       // the first statement after BEGIN
	phaseLater
)

// roundTrip sends the text on a borrowed connection and waits for the response. A statement to a
// primary is sent only under the read lease, unless it continues a transaction that began under the
// lease. Once the drain period of a draining database is over, only transactions that have already
// run a statement there are continued.
func (j *job) roundTrip(conn *dbconn.Conn, choice readrouting.Choice, binding *health.Binding, text string, phase statementPhase) (*lineprotocol.Answer, error) {
	p := j.s.pooler
	if !choice.Primary && phase == phaseBegin && choice.MinPosition != (lineprotocol.Position{}) {
		text = "WAITPOS " + choice.MinPosition.String() + " " + text
	}
	msg := lineprotocol.AppendMessage(nil, "QUERY", j.statement.ID, text)
	sent := j.now()
	needsLease := choice.Primary && phase == phaseBegin
	gate := func(write func() error) (err error) {
		writeWithinQuota := func() error {
			if err := j.permit.Check(); err != nil {
				return err
			}
			j.permit.Spend()
			return write()
		}
		if needsLease {
			sent, err = p.control.Send(j.route.Service, choice.Database.ID, writeWithinQuota)
			return err
		}
		if err = p.control.MaySend(choice.Database.ID); err != nil {
			return err
		}
		return writeWithinQuota()
	}
	if phase == phaseLater {
		gate = nil
	}
	if err := conn.Send(msg, j.remaining(), gate); err != nil {
		return nil, errors.Join(errNotSent, err)
	}
	watch := dbconn.Watch{ShuttingDown: p.terminate, DelayThreshold: max(p.cfg.SuspicionTimeout, suspicionFactor*p.router.TypicalLatency(j.route.Host)), OnDelay: func() bool {
		_, generation := binding.Bound()
		p.health.Report(choice.Database.ID, min(generation, conn.Generation), false)
		return !j.mayResend || !p.resends.withdraw()
	}}
	if !j.write && j.statement.Verb != lineprotocol.Commit {
		// A read is retried at another database as soon as this one is marked down. The outcome of
		// a write is known only from its response, so it keeps waiting.
		watch.MarkedDown = binding.Unbound()
	}
	answer, err := conn.Receive(j.remaining(), watch)
	if err != nil {
		return nil, err
	}
	if answer.Code == "" && !j.write && (j.statement.Verb == lineprotocol.Fetch || j.statement.Verb == lineprotocol.Run) {
		p.router.RecordLatency(j.route.Host, choice.Database.ID, j.now()-sent)
	}
	if needsLease && answer.Code == "" {
		if pos, ok := lineprotocol.ParsePosition(answer.Pos); ok {
			p.router.Observe(j.route.Service, sent, pos)
			p.control.Observe(j.route.Service, sent, pos)
		}
	}
	return answer, nil
}

// executeSingle executes a statement outside a transaction, with retries.
func (s *session) executeSingle(statement lineprotocol.Statement) *lineprotocol.Answer {
	j, answer := s.newJob(statement)
	if answer != nil {
		return answer
	}
	defer j.permit.Release()
	for {
		if answer := j.acquireQuota(); answer != nil {
			return answer
		}
		conn, choice, err := j.acquireConnection(j.write)
		if err != nil {
			return j.refuse(err)
		}
		if answer := j.checkDeadline(j.attempt(conn, choice)); answer != nil {
			return answer
		}
		s.pooler.retries.Add(1)
	}
}

// checkDeadline returns the response for the client after an attempt: that of the attempt or, if
// there is none and no time is left for another attempt, a refusal. It is called after every attempt
// because the process may have stalled since the time was last checked.
func (j *job) checkDeadline(answer *lineprotocol.Answer) *lineprotocol.Answer {
	if answer == nil && j.remaining() <= 0 {
		return j.refuse(errDeadlinePassed)
	}
	return answer
}

// attempt runs the statement once on conn and releases conn. It returns the response for the client,
// or nil if another attempt may be made in the remaining time.
func (j *job) attempt(conn *dbconn.Conn, choice readrouting.Choice) (answer *lineprotocol.Answer) {
	p, id := j.s.pooler, choice.Database.ID
	j.checkSentOnce(id)
	binding := p.health.Bind(id)
	var snapshot distribution.PrimarySnapshot
	if choice.Primary {
		snapshot = p.control.Begin(j.route.Service)
	}
	release := func() {
		p.pool.Return(conn)
		p.health.Release(id, binding)
		if choice.Primary {
			p.control.Done(j.route.Service)
		}
	}
	// A read whose response is considered lost is sent once more, to another database if possible,
	// and the first attempt is left to time out.
	j.mayResend = !j.write && j.tries == 0
	err := conn.SetValues(j.s.values, j.timeout())
	var text string
	if err == nil {
		text, err = j.statementText(conn)
	}
	if err != nil {
		err = errors.Join(errNotSent, err)
	} else {
		answer, err = j.roundTrip(conn, choice, binding, text, phaseBegin)
	}
	j.mayHaveRun = j.write && (err == nil && !guaranteesNoEffect(answer.Code) || err != nil && !errors.Is(err, errNotSent))
	if err != nil || answer.Code != "" {
		j.s.trace.addAttempt(id, j.now(), err, answer)
	}
	if errors.Is(err, dbconn.ErrNoAnswerYet) {
		j.abandonAttempt(conn, choice, release)
		return nil
	}
	defer release()
	if err != nil {
		return j.handleAttemptError(conn, binding, err)
	}
	if j.write && answer.Code == "" && !p.control.Acknowledge(j.route.Service, id, snapshot, answer.Pos) {
		return j.s.leaderChangedResponse(id)
	}
	return j.handleResponse(conn, choice, answer)
}

// abandonAttempt waits in the background for a response that is considered lost, and then releases
// the connection.
func (j *job) abandonAttempt(conn *dbconn.Conn, choice readrouting.Choice, release func()) {
	j.s.pooler.k.Counters.Add("pooler.sent_twice", 1)
	j.tries++
	if !choice.Primary {
		j.exclude(choice.Database.ID)
	}
	wait := j.remaining()
	go func() {
		if _, err := conn.Receive(wait, dbconn.Watch{}); err != nil {
			conn.Close()
		}
		release()
	}()
}

// leaderChangedResponse returns the response to a write that its database acknowledged when it was no
// longer the primary that this pooler held a lease on: whether the write persists is unknown.
func (s *session) leaderChangedResponse(id string) *lineprotocol.Answer {
	s.pooler.k.Counters.Add("pooler.left_meanwhile", 1)
	s.trace.setCause(causeLeaderChanged)
	return errorResponse(lineprotocol.Unknown, "the lead moved from "+id, 'I')
}

// handleAttemptError handles an attempt that got no response; it returns nil if another attempt may
// be made.
func (j *job) handleAttemptError(conn *dbconn.Conn, binding *health.Binding, err error) *lineprotocol.Answer {
	p, id := j.s.pooler, conn.DB.ID
	if unresponsive := errors.Is(err, connpool.ErrUnresponsive); unresponsive || errors.Is(err, connpool.ErrBroken) {
		_, generation := binding.Bound()
		p.health.Report(id, min(generation, conn.Generation), unresponsive)
	}
	if !blockedLocally(err) {
		conn.Close()
	}
	notSent := errors.Is(err, errNotSent)
	switch {
	case j.write && !notSent:
		p.k.Counters.Add("pooler.unknown", 1)
		j.s.trace.setCause(causeNoResponse)
		return errorResponse(lineprotocol.Unknown, "no answer from "+id, 'I')
	case j.remaining() <= 0:
		if notSent {
			return j.refuse(err)
		}
		p.k.Counters.Add("pooler.expired", 1)
		j.s.trace.setCause(causeDeadline)
		return errorResponse(lineprotocol.Expired, "deadline passed", 'I')
	}
	if !blockedLocally(err) {
		j.exclude(id)
	}
	return nil
}

// blockedLocally reports whether the pooler itself held the statement back, for lack of a lease or of
// quota, so that the database is not at fault.
func blockedLocally(err error) bool {
	return errors.Is(err, distribution.ErrNoLease) || errors.Is(err, quota.ErrAdmissionEnded)
}

// handleResponse handles a database's response outside a transaction; it returns nil if another
// attempt may be made.
func (j *job) handleResponse(conn *dbconn.Conn, choice readrouting.Choice, answer *lineprotocol.Answer) *lineprotocol.Answer {
	p, id := j.s.pooler, choice.Database.ID
	switch answer.Code {
	case "":
		if j.write {
			if pos, ok := lineprotocol.ParsePosition(answer.Pos); ok && j.s.lastCommit.Less(pos) {
				j.s.lastCommit = pos
			}
		}
		return answer
	case lineprotocol.Lagging:
		p.router.MarkLagging(id)
		j.exclude(id)
		return nil
	case lineprotocol.NoSuch:
		conn.ForgetPrepared(j.prepared)
	case lineprotocol.Retry:
		if !choice.Primary {
			j.exclude(id)
		}
	}
	if guaranteesNoEffect(answer.Code) || answer.Code == lineprotocol.Failed && !j.write {
		j.tries++
		if j.tries <= j.route.Tries && j.backOff(answer.Code) {
			return nil
		}
		if answer.Code != lineprotocol.Failed {
			return j.refuse(errTriesExhausted)
		}
	}
	return answer
}

// backOff waits briefly after an error that an immediate retry would probably get again. It reports
// whether there is time for another attempt.
func (j *job) backOff(code string) bool {
	var wait kernel.Micros
	switch code {
	case lineprotocol.ReadOnly:
		wait = 60 * kernel.Millisecond
	case lineprotocol.Retry:
		wait = kernel.Micros(10*j.tries) * kernel.Millisecond
	}
	if j.remaining() < 2*wait {
		return false
	}
	time.Sleep(wait.Duration())
	return true
}

// errTriesExhausted reports that a statement was sent as often as its route allows.
var errTriesExhausted = errors.New("pooler: all tries that the route allows are used up")

// errDeadlinePassed reports that no time is left for another attempt.
var errDeadlinePassed = errors.New("pooler: deadline passed")

// refuse returns a RETRY response with a retry-after for a statement that was not run, and records
// the cause.
func (j *job) refuse(cause error) *lineprotocol.Answer {
	j.s.pooler.k.Counters.Add("pooler.refused", 1)
	unavailable := new(unavailableError)
	switch {
	case errors.As(cause, &unavailable):
		j.s.trace.setCause(unavailable.cause)
	case errors.Is(cause, errTriesExhausted):
		j.s.trace.setCause(causeTriesExhausted)
	default:
		j.s.trace.setCause(causeDeadline)
	}
	return errorResponse(lineprotocol.Retry, retryAfter(200*kernel.Millisecond), j.s.state())
}
