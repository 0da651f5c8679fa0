package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// readRecord is a read that a client was answered.
type readRecord struct {
	id, kind string
	sent     time.Time
	own      string // the session's own newest acknowledged write before it
}

// soakLedger holds what the clients of a soak were answered.
type soakLedger struct {
	mu       sync.Mutex
	acked    map[string]time.Time
	refused  map[string]string
	aborted  map[string]bool
	reads    []readRecord
	codes    map[string]int
	breaches []string
}

// breach records that a rule was broken.
func (l *soakLedger) breach(rec *recorder, format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	rec.printf("BREACH %s", text)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.breaches = append(l.breaches, text)
}

// soakClient is one session of a soak.
type soakClient struct {
	rec    *recorder
	l      *soakLedger
	addr   string
	name   string
	host   string
	kind   string // of its route
	n      int
	own    string
	colour string
	shape  string
	conn   net.Conn
	r      *bufio.Reader
}

// query sends one statement and returns the code of the answer ("ok" for success) and the first row.
func (k *soakClient) query(text string) (id, code, row string) {
	k.n++
	id = fmt.Sprintf("%s.%d", k.name, k.n)
	k.conn.SetDeadline(time.Now().Add(5 * time.Second))
	if _, err := fmt.Fprintf(k.conn, "QUERY %s %s\r\n", id, text); err != nil {
		return id, "cut", ""
	}
	for {
		line, err := k.r.ReadString('\n')
		if err != nil {
			code = "cut"
			break
		}
		word, rest, _ := strings.Cut(strings.TrimRight(line, "\r\n"), " ")
		if word == "IDLE" {
			break
		}
		switch word {
		case "ROW":
			row = rest
		case "COMPLETE":
			if code = "ok"; rest != "-" && rest != "stamp."+id {
				k.l.breach(k.rec, "MIXED: %s was answered with the stamp %s", id, rest)
			}
		case "ERROR":
			code, _, _ = strings.Cut(rest, " ")
		}
	}
	if code != "ok" {
		k.rec.printf("client %s sent %s %s, answered %s", k.addr, id, text, code)
	}
	k.l.mu.Lock()
	k.l.codes[code]++
	k.l.mu.Unlock()
	return id, code, row
}

// promises reports whether a code is a promise that nothing of the try is kept.
func promises(code string) bool {
	switch code {
	case "RETRY", "ROLLEDBACK", "LAGGING", "RDONLY", "WRONGNODE", "MAXCONN":
		return true
	}
	return false
}

// write records the answer to a write or to the COMMIT of writes.
func (k *soakClient) write(code string, ids ...string) {
	k.l.mu.Lock()
	defer k.l.mu.Unlock()
	for _, id := range ids {
		switch {
		case code == "ok":
			k.l.acked[id] = time.Now()
			k.own = id
		case promises(code):
			k.l.refused[id] = code
		}
	}
}

// run opens sessions until stop is closed.
func (k *soakClient) run(stop chan struct{}, pause time.Duration) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(50 * time.Millisecond):
		}
		c, err := net.DialTimeout("tcp4", k.addr, time.Second)
		if err != nil {
			continue
		}
		k.conn, k.r, k.own = c, bufio.NewReader(c), ""
		c.SetDeadline(time.Now().Add(3 * time.Second))
		fmt.Fprintf(c, "LOGIN %s u3f1\r\n", k.host)
		if line, err := k.r.ReadString('\n'); err == nil && strings.HasPrefix(line, "IDLE") {
			k.session(stop, pause)
		}
		c.Close()
	}
}

// session sends operations until one ends other than at I.
func (k *soakClient) session(stop chan struct{}, pause time.Duration) {
	k.colour, k.shape = fmt.Sprint(k.name, "c", k.n), fmt.Sprint(k.name, "s", k.n)
	if _, code, _ := k.query("OPTION colour " + k.colour); code != "ok" {
		return
	}
	if _, code, _ := k.query("PARSE p FETCH " + k.shape); code != "ok" {
		return
	}
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(pause/2 + rand.N(pause)):
		}
		ok := true
		switch {
		case k.kind == "bounded", i%3 == 0:
			ok = k.read(i)
		case i%5 == 1:
			ok = k.transaction(i)
		default:
			id, code, _ := k.query(fmt.Sprintf("PUT k%d %s", i%50, k.name))
			k.write(code, id)
			ok = code != "cut"
		}
		if !ok {
			return
		}
	}
}

// read sends one read and checks its row.
func (k *soakClient) read(i int) bool {
	own, sent := k.own, time.Now()
	text, shape := fmt.Sprintf("FETCH k%d", i%50), "-"
	if i%2 == 0 {
		text, shape = fmt.Sprintf("RUN p k%d", i%50), k.shape
	}
	id, code, row := k.query(text)
	if code == "ok" {
		if row != fmt.Sprintf("%s %s %s", id, k.colour, shape) {
			k.l.breach(k.rec, "MIXED or PINNED: %s (%s %s) was answered %q", id, k.colour, shape, row)
		}
		k.l.mu.Lock()
		k.l.reads = append(k.l.reads, readRecord{id, k.kind, sent, own})
		k.l.mu.Unlock()
	}
	return code != "cut"
}

// transaction plays one transaction; some end with ABORT.
func (k *soakClient) transaction(i int) bool {
	if _, code, _ := k.query("BEGIN"); code != "ok" {
		return code != "cut"
	}
	var ids []string
	for j := range 3 {
		time.Sleep(rand.N(20 * time.Millisecond))
		id, code, _ := k.query(fmt.Sprintf("PUT k%d %s", (i+j)%50, k.name))
		if code != "ok" {
			if promises(code) {
				k.write(code, append(ids, id)...)
			}
			k.query("ABORT")
			return false
		}
		ids = append(ids, id)
	}
	if i%4 == 0 {
		_, code, _ := k.query("ABORT")
		k.l.mu.Lock()
		defer k.l.mu.Unlock()
		for _, id := range ids {
			k.l.aborted[id] = true
		}
		return code != "cut"
	}
	_, code, _ := k.query("COMMIT")
	k.write(code, ids...)
	return code != "cut"
}

// soak plays random events, one at a time, beside clients whose answers are checked.
func soak(rec *recorder, program string, trouble bool) (int, string) {
	seed, _ := strconv.ParseUint(os.Getenv("SEED"), 10, 64)
	r := rand.New(rand.NewPCG(seed, 7))
	zones := []string{"burnaby-a", "burnaby-b", "surrey-c", "richmond-d"}
	c, err := newCluster(rec, program, zones, placesSettings)
	if err != nil {
		return couldNot, err.Error()
	}
	defer c.stop()
	s := &service{c: c, name: "huvo11a", term: 1, reads: map[string]read{}, commits: map[string]position{}}
	defer s.stop()
	platform, err := servePlatform(c, 600*time.Millisecond, s)
	if err != nil {
		return couldNot, err.Error()
	}
	defer platform.Close()
	for _, m := range c.machines {
		if err := m.startAll(true); err != nil {
			return couldNot, err.Error()
		}
	}
	if status := c.order(readyWait, "/Conf.Replace", map[string]string{"X-Indigowalk-Base-Version": "0"}, configuration(7, s.name)); status != 200 {
		return couldNot, fmt.Sprint("the configuration was answered ", status)
	}
	var created atomic.Int64
	nextID := func() string { return fmt.Sprint("i-", created.Add(1)) }
	for i := range 3 {
		if _, err := s.add(nextID(), c.ip(100+i), zones[i], i == 0, time.Duration(1+r.IntN(40))*time.Millisecond, 0); err != nil {
			return couldNot, err.Error()
		}
	}
	if !c.awaitReady(readyWait) {
		return couldNot, "the poolers did not become ready"
	}
	time.Sleep(2 * time.Second)
	l := &soakLedger{acked: map[string]time.Time{}, refused: map[string]string{}, aborted: map[string]bool{}, codes: map[string]int{}}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for i, m := range c.machines {
		for j, route := range [][2]string{{"lepu270", "primary"}, {"lepu270", "primary"}, {"xapu221", "bounded"}, {"fiti832", "nearest"}, {"fiti832", "nearest"}} {
			k := &soakClient{rec: rec, l: l, addr: m.clientAddr(), name: fmt.Sprintf("c%d%d", i, j), host: route[0], kind: route[1]}
			clients.Go(func() { k.run(stop, 15*time.Millisecond) })
		}
	}
	length := duration("LENGTH_MS", 70*time.Second)
	ip := 110
	for end := time.Now().Add(length); trouble && time.Now().Before(end); {
		time.Sleep(time.Duration(1500+r.IntN(2500)) * time.Millisecond)
		event := s.event(r, c, nextID, &ip)
		if r.IntN(2) == 0 {
			event += " and " + s.event(r, c, nextID, &ip)
		}
		rec.printf("event: %s", event)
	}
	time.Sleep(9 * time.Second)
	close(stop)
	clients.Wait()
	return judgeSoak(rec, s, l)
}

// event starts one random event and returns its name.
func (s *service) event(r *rand.Rand, c *cluster, nextID func() string, ip *int) string {
	s.mu.Lock()
	lead := s.lead()
	var running, leaving []*database
	for _, d := range s.dbs {
		if d.alive && !d.draining && d != lead {
			running = append(running, d)
		}
		if d.draining && d.alive {
			leaving = append(leaving, d)
		}
	}
	s.mu.Unlock()
	m := c.machines[r.IntN(len(c.machines))]
	for_ := time.Duration(1000+r.IntN(3000)) * time.Millisecond
	allowed := os.Getenv("EVENTS")
	for {
		name := []string{"crash-primary", "crash-replica", "kill-pooler", "kill-control", "release", "stop-pooler", "stop-control", "deaf", "term-pooler", "release-primary", "zone", "flap"}[r.IntN(12)]
		if allowed != "" && !strings.Contains(","+allowed+",", ","+name+",") {
			continue
		}
		switch name {
		case "crash-primary":
			if lead == nil || len(running) < 2 {
				return "none"
			}
			lead.crash()
			time.AfterFunc(for_+2*time.Second, func() { lead.restart(nextID()) })
		case "crash-replica":
			if len(running) < 2 {
				return "none"
			}
			d := running[r.IntN(len(running))]
			d.crash()
			time.AfterFunc(for_, func() { d.restart(nextID()) })
		case "flap":
			if len(running) < 2 {
				return "none"
			}
			d := running[r.IntN(len(running))]
			go func() {
				for range 3 {
					d.crash()
					time.Sleep(300 * time.Millisecond)
					d.setBeatDelay(time.Duration(rand.IntN(3)) * 1200 * time.Millisecond)
					d.restart(nextID())
					time.Sleep(time.Duration(300+rand.IntN(900)) * time.Millisecond)
				}
				d.setBeatDelay(0)
			}()
		case "kill-pooler":
			m.kill("pooler")
			time.AfterFunc(500*time.Millisecond, func() { m.start("pooler", false) })
		case "kill-control":
			if lead := c.controlPrimary(); lead != nil {
				m = lead
			}
			m.kill("control")
			time.AfterFunc(500*time.Millisecond, func() { m.start("control", false) })
		case "release", "release-primary":
			if len(leaving) > 0 || len(running) < 2 || lead == nil {
				return "none"
			}
			old := running[r.IntN(len(running))]
			if name == "release-primary" {
				old = lead
			}
			*ip++
			delay := []time.Duration{0, 0, 2 * time.Second}[r.IntN(3)]
			s.add(nextID(), c.ip(*ip), old.zone, false, time.Duration(1+r.IntN(40))*time.Millisecond, delay)
			time.AfterFunc(500*time.Millisecond, old.leave)
		case "stop-pooler":
			m.signal("pooler", syscall.SIGSTOP)
			time.AfterFunc(for_, func() { m.signal("pooler", syscall.SIGCONT) })
		case "stop-control":
			if lead := c.controlPrimary(); lead != nil {
				m = lead
			}
			m.signal("control", syscall.SIGSTOP)
			time.AfterFunc(for_, func() { m.signal("control", syscall.SIGCONT) })
		case "deaf":
			if len(running) < 2 {
				return "none"
			}
			d := running[r.IntN(len(running))]
			d.setDeaf(true)
			time.AfterFunc(for_, func() { d.setDeaf(false) })
		case "term-pooler":
			m.signal("pooler", syscall.SIGTERM)
			time.AfterFunc(7*time.Second, func() { m.kill("pooler"); m.start("pooler", false) })
		case "zone":
			if lead == nil || len(running) < 2 {
				return "none"
			}
			for _, other := range c.machines {
				if other.zone == lead.zone {
					m = other
				}
			}
			lead.crash()
			m.killAll()
			time.AfterFunc(for_+time.Second, func() { m.startAll(false); lead.restart(nextID()) })
		}
		return name
	}
}

// judgeSoak checks what clients were answered against the logs.
func judgeSoak(rec *recorder, s *service, l *soakLedger) (int, string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	rec.printf("%d writes acknowledged, %d reads, answers %v, %d promotions", len(l.acked), len(l.reads), l.codes, len(s.promoted))
	logged := func(log []entry) map[string]bool {
		ids := map[string]bool{}
		for _, e := range log {
			for _, id := range e.ids {
				ids[id] = true
			}
		}
		return ids
	}
	cut := map[string]bool{}
	check := func(what string, log []entry, at time.Time) {
		ids := logged(log)
		for id, acked := range l.acked {
			if acked.Before(at) && !ids[id] && !cut[id] {
				cut[id] = true
				l.breaches = append(l.breaches, fmt.Sprintf("LOST: %s lacks the acknowledged %s", what, id))
			}
		}
		for id, code := range l.refused {
			if ids[id] {
				l.breaches = append(l.breaches, fmt.Sprintf("REFUSED: %s was answered %s and is in the log of %s", id, code, what))
			}
		}
		for id := range l.aborted {
			if ids[id] {
				l.breaches = append(l.breaches, fmt.Sprintf("UNASKED: %s was rolled back and is in the log of %s", id, what))
			}
		}
	}
	for _, p := range s.promoted {
		check(fmt.Sprintf("%s in term %d", p.id, p.term), p.log, p.at)
	}
	if lead := s.lead(); lead != nil {
		check("the last primary "+lead.id, lead.log, time.Now())
	} else {
		l.breaches = append(l.breaches, "HANG: no primary runs at the end")
	}
	for _, id := range s.twice {
		l.breaches = append(l.breaches, "TWICE: "+id)
	}
	type commit struct {
		acked time.Time
		pos   position
		id    string
	}
	var commits []commit
	for id, acked := range l.acked {
		if !cut[id] {
			commits = append(commits, commit{acked, s.commits[id], id})
		}
	}
	slices.SortFunc(commits, func(a, b commit) int { return a.acked.Compare(b.acked) })
	newest := make([]commit, len(commits)) // of the commits up to each, the one with the newest position
	for i, e := range commits {
		if newest[i] = e; i > 0 && e.pos.less(newest[i-1].pos) {
			newest[i] = newest[i-1]
		}
	}
	for _, q := range l.reads {
		at, limit := s.reads[q.id], q.sent
		switch q.kind {
		case "bounded":
			limit = limit.Add(-1500 * time.Millisecond)
		case "nearest":
			limit = limit.Add(-2500 * time.Millisecond)
		}
		n := sort.Search(len(commits), func(i int) bool { return !commits[i].acked.Before(limit) })
		if n > 0 && at.last.less(newest[n-1].pos) {
			l.breaches = append(l.breaches, fmt.Sprintf("STALE: %s read %s at %s, which had %s, without %s at %s", q.kind, q.id, at.id, at.last, newest[n-1].id, newest[n-1].pos))
		}
		if q.kind == "nearest" && q.own != "" && !cut[q.own] && at.last.less(s.commits[q.own]) {
			l.breaches = append(l.breaches, fmt.Sprintf("STALE: nearest read %s at %s, which had %s, without its own %s at %s", q.id, at.id, at.last, q.own, s.commits[q.own]))
		}
	}
	for i, b := range l.breaches {
		if i < 12 {
			rec.printf("%s", b)
		}
	}
	if len(l.acked) < 500 {
		return couldNot, fmt.Sprintf("only %d writes were acknowledged; %v", len(l.acked), l.breaches)
	}
	if len(l.breaches) > 0 {
		return broken, fmt.Sprintf("%d breaches, the first: %s", len(l.breaches), l.breaches[0])
	}
	return held, fmt.Sprintf("%d writes, %d reads, %d promotions, answers %v", len(l.acked), len(l.reads), len(s.promoted), l.codes)
}
