package failover

import (
	"bytes"
	"context"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"indigowalk/internal/dbconn"
	"indigowalk/internal/discovery"
	"indigowalk/internal/kernel"
	"indigowalk/internal/lineprotocol"
)

// loginTerm returns the newest term among the positions that the databases reported at login.
func loginTerm(conns map[string]*dbconn.Conn) (term int64) {
	for _, conn := range conns {
		if position, ok := lineprotocol.ParsePosition(conn.LoginPosition); ok {
			term = max(term, position.Term)
		}
	}
	return term
}

// statRow is a parsed response to STAT, PAUSE, CONTINUE or STEPDOWN.
type statRow struct {
	primary    bool
	received   lineprotocol.Position
	term       int64 // newest term that the database knows
	pausedTerm int64 // term at which it is paused; 0 if it is not
}

// execute sends a database STAT, PAUSE, CONTINUE or STEPDOWN on a connection of its own.
func (m *Manager) execute(ctx context.Context, d discovery.Database, text string) (statRow, error) {
	conn, err := m.open(ctx, d)
	if err != nil {
		return statRow{}, err
	}
	defer conn.Close()
	return m.executeOn(conn, text)
}

func (m *Manager) open(ctx context.Context, d discovery.Database) (*dbconn.Conn, error) {
	return m.cfg.Dialer.Open(ctx, d, m.cfg.RequestTimeout)
}

// addressCheckTimeout leaves time to acknowledge a heartbeat within a second.
const addressCheckTimeout = 500 * kernel.Millisecond

// respondsAtAddress reports whether the database with that ID accepts a log-in at its address.
func (m *Manager) respondsAtAddress(ctx context.Context, d discovery.Database) bool {
	conn, err := m.cfg.Dialer.Open(ctx, d, addressCheckTimeout)
	if err != nil {
		return false
	}
	conn.Close()
	return true
}

// executeOn sends a statement on an open connection. While the database has no free slot, it
// repeats the statement within the request timeout.
func (m *Manager) executeOn(conn *dbconn.Conn, text string) (statRow, error) {
	for deadline := m.k.Clock.Now() + m.cfg.RequestTimeout; ; {
		answer, err := conn.Execute(text, dbconn.NewLimit(deadline-m.k.Clock.Now(), nil))
		if err != nil {
			return statRow{}, err
		}
		if answer.Code != lineprotocol.Retry || m.k.Clock.Now()+busyRetryInterval > deadline {
			return parseStat(answer)
		}
		time.Sleep(busyRetryInterval.Duration()) // all slots of the database are in use
	}
}

// parseStat parses "ROW role term received held lag busy connections".
func parseStat(answer *lineprotocol.Answer) (statRow, error) {
	if answer.Code != "" {
		return statRow{}, fmt.Errorf("failover: database responded with %s %s", answer.Code, answer.Text)
	}
	line, _, _ := bytes.Cut(answer.Rows, []byte("\r\n"))
	fields := strings.Fields(string(line))
	if len(fields) < 5 || fields[0] != "ROW" {
		return statRow{}, fmt.Errorf("failover: malformed STAT row %q", line)
	}
	row := statRow{primary: fields[1] == "primary"}
	pausedTerm, pausedErr := strconv.ParseInt(fields[4], 10, 64)
	term, termErr := strconv.ParseInt(fields[2], 10, 64)
	received, ok := lineprotocol.ParsePosition(fields[3])
	if pausedErr != nil || termErr != nil || !ok && fields[3] != "-" {
		return statRow{}, fmt.Errorf("failover: malformed STAT row %q", line)
	}
	row.received, row.term, row.pausedTerm = received, max(term, received.Term), pausedTerm
	return row, nil
}

// executeAll sends a statement to several databases concurrently and returns their responses by
// ID, without those that failed to respond.
func (m *Manager) executeAll(ctx context.Context, dbs []discovery.Database, text string) map[string]statRow {
	conns := m.openAll(ctx, dbs)
	defer closeAll(conns)
	return m.executeOnAll(conns, text)
}

func (m *Manager) openAll(ctx context.Context, dbs []discovery.Database) map[string]*dbconn.Conn {
	return collect(m, dbs, func(d discovery.Database) string { return d.ID },
		func(d discovery.Database) (*dbconn.Conn, error) { return m.open(ctx, d) })
}

func closeAll(conns map[string]*dbconn.Conn) {
	for _, conn := range conns {
		conn.Close()
	}
}

func (m *Manager) executeOnAll(conns map[string]*dbconn.Conn, text string) map[string]statRow {
	return collect(m, slices.Collect(maps.Values(conns)), func(conn *dbconn.Conn) string { return conn.DB.ID },
		func(conn *dbconn.Conn) (statRow, error) { return m.executeOn(conn, text) })
}

// collect calls a function for all items concurrently and returns the results by key, without
// those of calls that failed.
func collect[T, R any](m *Manager, items []T, key func(T) string, call func(T) (R, error)) map[string]R {
	var mu sync.Mutex
	var wg sync.WaitGroup
	results := map[string]R{}
	for _, item := range items {
		wg.Go(func() {
			result, err := call(item)
			if err != nil {
				m.k.Counters.Add("failover.unanswered", 1)
				return
			}
			mu.Lock()
			defer mu.Unlock()
			results[key(item)] = result
		})
	}
	wg.Wait()
	return results
}
