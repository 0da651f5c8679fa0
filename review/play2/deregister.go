package main

import (
	"fmt"
	"net/http"
	"time"
)

// deregisterFirst deregisters the database without saying that it is draining, serves on for the
// given time, and ends. It reports whether a control node acknowledged that.
func (d *database) deregisterFirst(serveFor time.Duration) bool {
	for _, addr := range d.s.c.controls() {
		if status, _ := call(http.MethodPost, addr, "/Servers.Deregister/"+d.id, nil, nil); status/100 == 2 {
			d.s.c.rec.printf("deregistering of %s acknowledged by %s", d.id, addr)
			time.AfterFunc(serveFor, func() {
				d.s.mu.Lock()
				alive := d.alive
				d.s.mu.Unlock()
				if alive {
					d.crash()
				}
			})
			return true
		}
	}
	return false
}

// deregisterAlone plays a replica that leaves by Deregister alone and serves on, and the crash of
// the primary meanwhile.
func deregisterAlone(rec *recorder, program string, trouble bool) (int, string) {
	zones := []string{"burnaby-a", "burnaby-b", "surrey-c", "richmond-d"}
	c, err := newCluster(rec, program, zones, placesSettings)
	if err != nil {
		return couldNot, err.Error()
	}
	defer c.stop()
	s := &service{c: c, name: "huvo11a", term: 1}
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
	var dbs []*database
	for i, lag := range []time.Duration{0, 20 * time.Millisecond, 2 * time.Millisecond} {
		d, err := s.add(fmt.Sprint("i-", i+1), c.ip(100+i), zones[i], i == 0, lag, 0)
		if err != nil {
			return couldNot, err.Error()
		}
		dbs = append(dbs, d)
	}
	if !c.awaitReady(readyWait) {
		return couldNot, "the poolers did not become ready"
	}
	time.Sleep(3 * time.Second)
	l := &ledger{acked: map[string]time.Time{}, codes: map[string]int{}}
	stop := make(chan struct{})
	for i, m := range c.machines {
		k := &client{rec: rec, l: l, addr: m.clientAddr(), name: fmt.Sprint("w", i)}
		go k.run(stop, "lepu270", 100*time.Millisecond, func(n int) string { return fmt.Sprintf("PUT k%d v%d", n%50, n) })
		q := &client{rec: rec, l: l, addr: m.clientAddr(), name: fmt.Sprint("r", i)}
		go q.run(stop, "lepu270", 20*time.Millisecond, func(n int) string { return fmt.Sprintf("FETCH k%d", n%50) })
	}
	time.Sleep(2 * time.Second)
	// i-3 is replaced: the new one starts first.
	if _, err := s.add("i-4", c.ip(103), zones[2], false, 20*time.Millisecond, 0); err != nil {
		return couldNot, err.Error()
	}
	time.Sleep(2 * time.Second)
	if !dbs[2].deregisterFirst(duration("SERVE_MS", 15*time.Second)) {
		return couldNot, "the deregistering was not acknowledged"
	}
	time.Sleep(duration("CRASH_MS", 3*time.Second))
	if trouble {
		l.awaitWrite()
		dbs[0].crash()
	}
	time.Sleep(17 * time.Second)
	close(stop)
	time.Sleep(300 * time.Millisecond)
	return judgeLost(rec, s, l)
}
