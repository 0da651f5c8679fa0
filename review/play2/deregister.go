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
	return playLeaving(rec, program, trouble, leavingPlay{lag: 20 * time.Millisecond, pause: 100 * time.Millisecond})
}

// releaseAlone plays two databases of a service that are replaced one after the other, a replica and
// then the primary, both of which leave by Deregister alone and serve on. Nothing crashes.
func releaseAlone(rec *recorder, program string, trouble bool) (int, string) {
	return playLeaving(rec, program, trouble, leavingPlay{lag: 60 * time.Millisecond, pause: 120 * time.Millisecond, primaryLeaves: true})
}

// leavingPlay is what differs between the plays of leaving databases.
type leavingPlay struct {
	lag           time.Duration // how far the replicas that stay are behind
	pause         time.Duration // of a client that writes
	primaryLeaves bool          // the primary leaves in order, and does not crash
}

// serveOn is how long a database serves on after its deregistering was acknowledged.
const serveOn = 15 * time.Second

// playLeaving plays a replica that leaves by Deregister alone, and the crash or the leaving of the
// primary meanwhile.
func playLeaving(rec *recorder, program string, trouble bool, play leavingPlay) (int, string) {
	w := newWorld(rec, program, "huvo11a")
	defer w.close()
	w.boot(configuration(7, "huvo11a"))
	s := w.services[0]
	var dbs []*database
	for i, lag := range []time.Duration{0, play.lag, 2 * time.Millisecond} {
		dbs = append(dbs, w.add(s, fmt.Sprint("i-", i+1), 100+i, zones[i], i == 0, lag, 0))
	}
	w.settle()
	w.startClients(always(play.pause))
	time.Sleep(2 * time.Second)
	// Who is replaced leaves after the new one has started.
	w.add(s, "i-4", 103, zones[2], false, play.lag, 0)
	if play.primaryLeaves {
		w.add(s, "i-5", 104, zones[0], false, play.lag, 0)
	}
	time.Sleep(2 * time.Second)
	require(dbs[2].deregisterFirst(serveOn), "the deregistering was not acknowledged")
	time.Sleep(3 * time.Second)
	if trouble {
		w.l.awaitWrite()
		if play.primaryLeaves {
			require(dbs[0].deregisterFirst(serveOn), "the deregistering of the primary was not acknowledged")
		} else {
			dbs[0].crash()
		}
	}
	return w.finish(17 * time.Second)
}
