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
	"indigowalk/internal/lineprotocol"
)

// loginTerm returns the newest term that the databases reported at login.
func loginTerm(conns map[string]*dbconn.Conn) (term int64) {
	for _, conn := range conns {
		if pos, ok := lineprotocol.ParsePosition(conn.LoginPosition); ok {
			term = max(term, pos.Term)
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
func (c *Manager) execute(ctx context.Context, d discovery.Database, text string) (statRow, error) {
	conn, err := c.open(ctx, d)
	if err != nil {
		return statRow{}, err
	}
	defer conn.Close()
	return c.executeOn(conn, text)
}

func (c *Manager) open(ctx context.Context, d discovery.Database) (*dbconn.Conn, error) {
	return c.cfg.Dialer.Open(ctx, d, c.cfg.RequestTimeout)
}

// executeOn sends a statement on an open connection, and repeats it within the request timeout
// while the database has no free slot.
func (c *Manager) executeOn(conn *dbconn.Conn, text string) (statRow, error) {
	for end := c.k.Clock.Now() + c.cfg.RequestTimeout; ; {
		a, err := conn.Execute(text, dbconn.NewLimit(end-c.k.Clock.Now(), nil))
		if err != nil {
			return statRow{}, err
		}
		if a.Code != lineprotocol.Retry || c.k.Clock.Now()+busyRetryInterval > end {
			return parseStat(a)
		}
		time.Sleep(busyRetryInterval.Duration()) // all slots of the database are in use
	}
}

// parseStat parses "ROW role term received held lag busy connections".
func parseStat(a *lineprotocol.Answer) (statRow, error) {
	if a.Code != "" {
		return statRow{}, fmt.Errorf("failover: database responded with %s %s", a.Code, a.Text)
	}
	line, _, _ := bytes.Cut(a.Rows, []byte("\r\n"))
	f := strings.Fields(string(line))
	if len(f) < 5 || f[0] != "ROW" {
		return statRow{}, fmt.Errorf("failover: malformed STAT row %q", line)
	}
	r := statRow{primary: f[1] == "primary"}
	held, err1 := strconv.ParseInt(f[4], 10, 64)
	own, err2 := strconv.ParseInt(f[2], 10, 64)
	pos, ok := lineprotocol.ParsePosition(f[3])
	if err1 != nil || err2 != nil || !ok && f[3] != "-" {
		return statRow{}, fmt.Errorf("failover: malformed STAT row %q", line)
	}
	r.received, r.term, r.pausedTerm = pos, max(own, pos.Term), held
	return r, nil
}

// executeAll sends a statement to several databases concurrently and returns the responses of
// those that responded, by database.
func (c *Manager) executeAll(ctx context.Context, dbs []discovery.Database, text string) map[string]statRow {
	conns := c.openAll(ctx, dbs)
	defer closeAll(conns)
	return c.executeOnAll(conns, text)
}

func (c *Manager) openAll(ctx context.Context, dbs []discovery.Database) map[string]*dbconn.Conn {
	return collect(c, dbs, func(d discovery.Database) string { return d.ID },
		func(d discovery.Database) (*dbconn.Conn, error) { return c.open(ctx, d) })
}

func closeAll(conns map[string]*dbconn.Conn) {
	for _, conn := range conns {
		conn.Close()
	}
}

func (c *Manager) executeOnAll(conns map[string]*dbconn.Conn, text string) map[string]statRow {
	return collect(c, slices.Collect(maps.Values(conns)), func(conn *dbconn.Conn) string { return conn.DB.ID },
		func(conn *dbconn.Conn) (statRow, error) { return c.executeOn(conn, text) })
}

// collect applies a function to all items concurrently and returns the results of those calls
// that did not fail.
func collect[T, R any](c *Manager, all []T, key func(T) string, f func(T) (R, error)) map[string]R {
	var mu sync.Mutex
	var wg sync.WaitGroup
	out := map[string]R{}
	for _, t := range all {
		wg.Go(func() {
			r, err := f(t)
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
