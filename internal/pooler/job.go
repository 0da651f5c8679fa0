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

// job is the processing of one statement, or of the start of a transaction, at a database.
type job struct {
	s            *session
	statement    lineprotocol.Statement
	prepared     dbconn.Prepared // the prepared statement of a RUN
	write        bool
	received     kernel.Micros
	deadline     kernel.Micros
	waitDeadline kernel.Micros // for the wait for a database that can run it
	route        *routeconfig.Route
	tenant       *routeconfig.PublishedTenant // nil if there is none
	permit       *quota.Permit
	tries        int
	excluded     map[string]bool
	mayResend    bool // may be sent a second time while the first attempt is unanswered
	// mayHaveRun is set if it is a write that a database may have executed.
	mayHaveRun bool
}

// waitShare is the share of its timeout for which a statement may wait for a database that can run
// it. After that the client gets RETRY with a retry-after.
const waitShare = 0.4

// retryAfter formats a retry-after for a RETRY response, in milliseconds.
func retryAfter(m kernel.Micros) string { return strconv.FormatInt(m.Millis(), 10) }

// suspicionFactor is the multiple of the typical latency after which a response is considered lost,
// or its database unresponsive.
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
func (s *session) newJob(q lineprotocol.Statement) (*job, *lineprotocol.Answer) {
	j := &job{s: s, statement: q, received: s.pooler.k.Clock.Now()}
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
	if a := j.resolve(); a != nil {
		return nil, a
	}
	j.permit = j.newPermit()
	timeout := kernel.Micros(j.route.DeadlineMs) * kernel.Millisecond
	j.deadline = j.received + timeout
	j.waitDeadline = j.received + min(kernel.Micros(waitShare*float64(timeout)), s.pooler.maxWait())
	return j, nil
}

// resolve determines whether the statement is a write, looking up the prepared statement of a RUN.
func (j *job) resolve() *lineprotocol.Answer {
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

// timeout returns the time limit for the pooler's own statements that must precede this one.
func (j *job) timeout() dbconn.WaitLimit { return dbconn.NewLimit(j.remaining(), j.s.pooler.terminate) }

// want returns which connection the statement prefers.
func (j *job) want() dbconn.Want { return dbconn.Want{Tenant: nameFor(j.tenant), Values: j.s.values} }

func (j *job) routingRequest(write bool) readrouting.Request {
	return readrouting.Request{
		Service: j.route.Service, Type: j.route.Type,
		MaxStaleness: j.route.MaxStaleness(),
		Received:     j.received, LastCommit: j.s.lastCommit, Write: write, Avoid: j.excluded,
	}
}

// exclude excludes a database from the choice for the next attempts.
func (j *job) exclude(id string) {
	if j.excluded == nil {
		j.excluded = map[string]bool{}
	}
	j.excluded[id] = true
}

// unavailableError reports that no database can run the statement at present, and why.
type unavailableError struct{ cause string }

func (e *unavailableError) Error() string { return "pooler: no database can run it now: " + e.cause }

// unavailable returns the error for a statement that no database can run for the given cause; if
// that is empty, the router determines the cause.
func (j *job) unavailable(cause string, write bool) error {
	if cause == "" {
		cause = j.s.pooler.router.Explain(j.routingRequest(write), j.s.pooler.candidates(j.route.Service, j.want()))
	}
	return &unavailableError{cause}
}

// acquireConnection waits for a database that can run the job and borrows a connection to it.
func (j *job) acquireConnection(write bool) (*dbconn.Conn, readrouting.Choice, error) {
	d := j.s.pooler
	for {
		if d.terminating() {
			return nil, readrouting.Choice{}, j.unavailable(causeShutdown, write)
		}
		changed, healthChanged := d.control.Changed(), d.health.Changed()
		choice, ok := d.pickDatabase(j.routingRequest(write), j.want())
		until := j.waitDeadline
		key := outageKey{j.route.Service, write || j.route.Type == routeconfig.Primary}
		if ok {
			d.outages.clear(key)
			conn, err := d.pool.Borrow(choice.Database.ID, priority(j.tenant, j.route), j.want(), min(j.waitDeadline, j.deadline)-j.now())
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
			until = min(until, d.outages.waitDeadline(key, j.now(), j.received))
		}
		wait := min(until-j.now(), 200*kernel.Millisecond)
		if wait <= 0 {
			return nil, choice, j.unavailable("", write)
		}
		if ok && !choice.Primary {
			continue // another replica, or the primary
		}
		clear(j.excluded)
		t := time.NewTimer(wait.Duration())
		select {
		case <-changed:
		case <-healthChanged:
		case <-d.terminate:
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

// phase is the position of a statement in a transaction.
type phase int

const (
	phaseBegin phase = iota // outside a transaction, or BEGIN: the conditions of the choice must hold
	phaseFirst              // the first statement after BEGIN
	phaseLater
)

// roundTrip sends the text on a borrowed connection and waits for the response. To a primary it
// sends only under the read lease, unless the statement continues a transaction that was begun under
// it. To a draining database it sends nothing that starts there after the drain period.
func (j *job) roundTrip(conn *dbconn.Conn, choice readrouting.Choice, b *health.Binding, text string, stage phase) (*lineprotocol.Answer, error) {
	d := j.s.pooler
	if !choice.Primary && stage == phaseBegin && choice.MinPosition != (lineprotocol.Position{}) {
		text = "WAITPOS " + choice.MinPosition.String() + " " + text
	}
	msg := lineprotocol.AppendMessage(nil, "QUERY", j.statement.ID, text)
	sent := j.now()
	gated := choice.Primary && stage == phaseBegin
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
	if stage == phaseLater {
		gate = nil
	}
	if err := conn.Send(msg, j.remaining(), gate); err != nil {
		return nil, errors.Join(errNotSent, err)
	}
	watch := dbconn.Watch{ShuttingDown: d.terminate, DelayThreshold: max(d.cfg.SuspicionTimeout, suspicionFactor*d.router.TypicalLatency(j.route.Host)), OnDelay: func() bool {
		_, gen := b.Bound()
		d.health.Report(choice.Database.ID, min(gen, conn.Generation), false)
		return !j.mayResend || !d.resends.withdraw()
	}}
	if !j.write && j.statement.Verb != lineprotocol.Commit {
		// A read is retried elsewhere as soon as the database is considered down; the outcome of
		// a write is known only from its response.
		watch.MarkedDown = b.Unbound()
	}
	a, err := conn.Receive(j.remaining(), watch)
	if err != nil {
		return nil, err
	}
	if a.Code == "" && !j.write && (j.statement.Verb == lineprotocol.Fetch || j.statement.Verb == lineprotocol.Run) {
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

// executeSingle executes a statement outside a transaction, with retries.
func (s *session) executeSingle(q lineprotocol.Statement) *lineprotocol.Answer {
	j, a := s.newJob(q)
	if a != nil {
		return a
	}
	defer j.permit.Release()
	for {
		if a := j.acquireQuota(); a != nil {
			return a
		}
		conn, choice, err := j.acquireConnection(j.write)
		if err != nil {
			return j.refuse(err)
		}
		if a := j.checkDeadline(j.attempt(conn, choice)); a != nil {
			return a
		}
		s.pooler.retries.Add(1)
	}
}

// checkDeadline returns the response for the client after an attempt: that of the attempt or, if it
// has none and no time is left for another attempt, a refusal. It is called after every attempt,
// because the process may have stalled between any two checks of the time.
func (j *job) checkDeadline(a *lineprotocol.Answer) *lineprotocol.Answer {
	if a == nil && j.remaining() <= 0 {
		return j.refuse(errDeadlinePassed)
	}
	return a
}

// attempt runs the statement once on conn and releases conn. It returns the response for the client,
// or nil if another attempt may be made in the remaining time.
func (j *job) attempt(conn *dbconn.Conn, choice readrouting.Choice) (a *lineprotocol.Answer) {
	d, id := j.s.pooler, choice.Database.ID
	j.checkSentOnce(id)
	b := d.health.Bind(id)
	var snapshot distribution.PrimarySnapshot
	if choice.Primary {
		snapshot = d.control.Begin(j.route.Service)
	}
	release := func() {
		d.pool.Return(conn)
		d.health.Release(id, b)
		if choice.Primary {
			d.control.Done(j.route.Service)
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
		a, err = j.roundTrip(conn, choice, b, text, phaseBegin)
	}
	j.mayHaveRun = j.write && (err == nil && !guaranteesNoEffect(a.Code) || err != nil && !errors.Is(err, errNotSent))
	if err != nil || a.Code != "" {
		j.s.trace.addAttempt(id, j.now(), err, a)
	}
	if errors.Is(err, dbconn.ErrNoAnswerYet) {
		j.abandonAttempt(conn, choice, release)
		return nil
	}
	defer release()
	if err != nil {
		return j.handleAttemptError(conn, b, err)
	}
	if j.write && a.Code == "" && !d.control.Acknowledge(j.route.Service, id, snapshot, a.Pos) {
		return j.s.leaderChangedResponse(id)
	}
	return j.handleResponse(conn, choice, a)
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

// leaderChangedResponse returns the response to a write that its database acknowledged after this
// pooler had released that primary: whether the write persists is unknown.
func (s *session) leaderChangedResponse(id string) *lineprotocol.Answer {
	s.pooler.k.Counters.Add("pooler.left_meanwhile", 1)
	s.trace.setCause(causeLeaderChanged)
	return errorResponse(lineprotocol.Unknown, "the lead moved from "+id, 'I')
}

// handleAttemptError handles an attempt that got no response; it returns nil if another attempt may
// be made.
func (j *job) handleAttemptError(conn *dbconn.Conn, b *health.Binding, err error) *lineprotocol.Answer {
	d, id := j.s.pooler, conn.DB.ID
	if silent := errors.Is(err, connpool.ErrUnresponsive); silent || errors.Is(err, connpool.ErrBroken) {
		_, gen := b.Bound()
		d.health.Report(id, min(gen, conn.Generation), silent)
	}
	if !blockedLocally(err) {
		conn.Close()
	}
	notSent := errors.Is(err, errNotSent)
	switch {
	case j.write && !notSent:
		d.k.Counters.Add("pooler.unknown", 1)
		j.s.trace.setCause(causeNoResponse)
		return errorResponse(lineprotocol.Unknown, "no answer from "+id, 'I')
	case j.remaining() <= 0:
		if notSent {
			return j.refuse(err)
		}
		d.k.Counters.Add("pooler.expired", 1)
		j.s.trace.setCause(causeDeadline)
		return errorResponse(lineprotocol.Expired, "deadline passed", 'I')
	}
	if !blockedLocally(err) {
		j.exclude(id)
	}
	return nil
}

// blockedLocally reports whether a statement was not sent for a reason that is not the database's
// fault: no lease, or no quota.
func blockedLocally(err error) bool {
	return errors.Is(err, distribution.ErrNoLease) || errors.Is(err, quota.ErrAdmissionEnded)
}

// handleResponse handles a database's response outside a transaction; it returns nil if another
// attempt may be made.
func (j *job) handleResponse(conn *dbconn.Conn, choice readrouting.Choice, a *lineprotocol.Answer) *lineprotocol.Answer {
	d, id := j.s.pooler, choice.Database.ID
	switch a.Code {
	case "":
		if j.write {
			if pos, ok := lineprotocol.ParsePosition(a.Pos); ok && j.s.lastCommit.Less(pos) {
				j.s.lastCommit = pos
			}
		}
		return a
	case lineprotocol.Lagging:
		d.router.MarkLagging(id)
		j.exclude(id)
		return nil
	case lineprotocol.NoSuch:
		conn.ForgetPrepared(j.prepared)
	case lineprotocol.Retry:
		if !choice.Primary {
			j.exclude(id)
		}
	}
	if guaranteesNoEffect(a.Code) || a.Code == lineprotocol.Failed && !j.write {
		j.tries++
		if j.tries <= j.route.Tries && j.backOff(a.Code) {
			return nil
		}
		if a.Code != lineprotocol.Failed {
			return j.refuse(errTriesExhausted)
		}
	}
	return a
}

// backOff waits briefly after errors that an immediate retry would meet again. It reports whether
// there is time for another attempt.
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
var errTriesExhausted = errors.New("pooler: sent as often as the route allows")

// errDeadlinePassed reports that no time is left for another attempt.
var errDeadlinePassed = errors.New("pooler: no time is left")

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
