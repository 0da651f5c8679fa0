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

// loginTerm is the newest term that the databases told at the log-in.
func loginTerm(conns map[string]*dbconn.Conn) (term int64) {
	for _, conn := range conns {
		if pos, ok := lineprotocol.ParsePosition(conn.Login); ok {
			term = max(term, pos.Term)
		}
	}
	return term
}

type statRow struct {
	primary  bool
	received lineprotocol.Position
	term     int64 // newest it knows of
	pausedTerm     int64 // at which it is paused; 0 if it is not
}

// execute has one database carry out STAT, PAUSE, CONTINUE or STEPDOWN.
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

func (c *Manager) executeOn(conn *dbconn.Conn, text string) (statRow, error) {
	for end := c.k.Clock.Now() + c.cfg.RequestTimeout; ; {
		a, err := conn.Ask(text, dbconn.For(end-c.k.Clock.Now(), nil))
		if err != nil {
			return statRow{}, err
		}
		if a.Code != lineprotocol.Retry || c.k.Clock.Now()+busyRetryInterval > end {
			return parseStat(a)
		}
		time.Sleep(busyRetryInterval.Duration()) // all its slots are taken
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
	r.received, r.term, r.pausedTerm = pos, max(own, pos.Term), held
	return r, nil
}

// executeAll asks several databases at once and returns the answers there were.
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

// collect does something with all at once and keeps the results of those that
// did not fail.
func collect[T, R any](c *Manager, all []T, key func(T) string, do func(T) (R, error)) map[string]R {
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
