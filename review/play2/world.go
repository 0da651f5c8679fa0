package main

import (
	"fmt"
	"net/http"
	"time"
)

// zones are the zones of the deployment; each has a machine with a control node and a pooler.
var zones = []string{"burnaby-a", "burnaby-b", "surrey-c", "richmond-d"}

// setupError is the panic of a case that can't run.
type setupError struct{ text string }

// require panics with a setupError if the condition doesn't hold.
func require(ok bool, format string, args ...any) {
	if !ok {
		panic(setupError{fmt.Sprintf(format, args...)})
	}
}

// world is the system under test with everything beside it.
type world struct {
	rec      *recorder
	c        *cluster
	services []*service
	platform *http.Server
	l        *ledger
	stop     chan struct{} // closed when the clients are to end
}

// newWorld starts the system with a configuration, and the platform. The services have no databases
// yet. close has to be called also after a panic.
func newWorld(rec *recorder, program string, names ...string) *world {
	c, err := newCluster(rec, program, zones, placesSettings)
	require(err == nil, "%v", err)
	w := &world{rec: rec, c: c, l: &ledger{acked: map[string]time.Time{}, codes: map[string]int{}}, stop: make(chan struct{})}
	for _, name := range names {
		w.services = append(w.services, &service{c: c, name: name, term: 1})
	}
	return w
}

// boot starts the platform and every process, and sends the configuration.
func (w *world) boot(configuration []byte) {
	var err error
	w.platform, err = servePlatform(w.c, 600*time.Millisecond, w.services...)
	require(err == nil, "%v", err)
	for _, m := range w.c.machines {
		err := m.startAll(true)
		require(err == nil, "%v", err)
	}
	status := w.c.order(readyWait, "/Conf.Replace", map[string]string{"X-Indigowalk-Base-Version": "0"}, configuration)
	require(status == http.StatusOK, "the configuration was answered %d", status)
}

// close ends everything that was started.
func (w *world) close() {
	if w.platform != nil {
		w.platform.Close()
	}
	for _, s := range w.services {
		s.stop()
	}
	w.c.stop()
}

// add starts a database of a service at the address with that number.
func (w *world) add(s *service, id string, ip int, zone string, primary bool, lag, beatDelay time.Duration) *database {
	d, err := s.add(id, w.c.ip(ip), zone, primary, lag, beatDelay)
	require(err == nil, "%v", err)
	return d
}

// settle waits until the poolers are ready, and the leaders have been known for a while.
func (w *world) settle() {
	require(w.c.awaitReady(readyWait), "the poolers did not become ready")
	time.Sleep(3 * time.Second)
}

// startClients starts, at each pooler, a client that writes with the given pause and one that reads.
func (w *world) startClients(pause func(m *machine) time.Duration) {
	for i, m := range w.c.machines {
		k := &client{rec: w.rec, l: w.l, addr: m.clientAddr(), name: fmt.Sprint("w", i)}
		go k.run(w.stop, "lepu270", pause(m), func(n int) string { return fmt.Sprintf("PUT k%d v%d", n%50, n) })
		q := &client{rec: w.rec, l: w.l, addr: m.clientAddr(), name: fmt.Sprint("r", i)}
		go q.run(w.stop, "lepu270", 20*time.Millisecond, func(n int) string { return fmt.Sprintf("FETCH k%d", n%50) })
	}
}

// always returns the same pause for every machine.
func always(pause time.Duration) func(*machine) time.Duration {
	return func(*machine) time.Duration { return pause }
}

// finish lets the clients go on for a while, ends them, and judges the first service.
func (w *world) finish(after time.Duration) (int, string) {
	time.Sleep(after)
	close(w.stop)
	time.Sleep(300 * time.Millisecond)
	return judgeLost(w.rec, w.services[0], w.l)
}
