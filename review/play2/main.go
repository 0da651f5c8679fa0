// Command play2 plays the scripted cases of the second review: the project's own processes on
// loopback addresses beside stand-ins of databases, the platform, the operator and clients.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"sort"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	held      = 0
	broken    = 1
	couldNot  = 2
	readyWait = 20 * time.Second
)

// placesSettings are the settings of the deployment ccrc-intake-places that all processes share.
var placesSettings = []string{
	"limits.cpu_quota=0.384", "limits.cores=1", "limits.mem_mb=184", "limits.max_fds=4300", "limits.net_mbps=100.0", "limits.disk_mb=64",
	"discovery=registry", "entry=vip", "heartbeat_ms=1200", "policies=base,drain,config,cost,recover,health,pool,places,sql",
	"tolerate.hosts=2", "tolerate.zones=1", "tolerate.regions=0",
	"bounds.seed_delay_s=3", "bounds.addr_reuse_s=2", "bounds.contact_ms=5000", "bounds.ack_ms=6000", "bounds.catchup_s=6",
	"bounds.drain_ms=7000", "bounds.grace_s=6", "bounds.loss_slack_ms=200", "bounds.apply_ms=4000", "bounds.revert_slack_ms=250",
	"bounds.skew_max_ms=15000", "bounds.warmup_excess=1.5", "bounds.warmup_slack=5", "bounds.evacuate_ms=5000", "bounds.recovery_s=15",
	"bounds.fencing=false", "bounds.unfreeze_ms=300", "platform.rate_per_s=50.0", "platform.duties=failover", "platform.duties_per_s=50.0",
}

// scenario is one case; trouble is false for the run without the disruption.
type scenario func(rec *recorder, program string, trouble bool) (int, string)

func main() {
	record := flag.String("record", "record.txt", "file for the record of the run")
	program := flag.String("program", "target/indigowalk", "the program under test")
	flag.Parse()
	scenarios := map[string]scenario{"late-beat": lateBeat, "dropped": droppedDatabase, "deregister": deregisterAlone}
	play := scenarios[flag.Arg(0)]
	if play == nil {
		fmt.Fprintln(os.Stderr, "unknown case")
		os.Exit(couldNot)
	}
	rec, err := newRecorder(*record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(couldNot)
	}
	go stopOnSignal(rec)
	code, text := play(rec, *program, os.Getenv("TROUBLE") != "0")
	rec.printf("result %d: %s", code, text)
	fmt.Println(code, text)
	os.Exit(code)
}

// stopOnSignal ends all processes that were started when the run is ended from outside.
func stopOnSignal(rec *recorder) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	<-signals
	rec.printf("result %d: ended by a signal", couldNot)
	stopClusters()
	os.Exit(couldNot)
}

// duration returns a duration in milliseconds from the environment, or the given one.
func duration(name string, def time.Duration) time.Duration {
	if ms, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return time.Duration(ms) * time.Millisecond
	}
	return def
}

// lateBeat plays the loss of a zone while a new replica, which receives commits, is not known yet
// because its beats come late.
func lateBeat(rec *recorder, program string, trouble bool) (int, string) {
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
	lost := c.machines[3]
	if lead := c.controlPrimary(); lead != nil {
		rec.printf("control is led from %s", lead.name)
	}
	var dbs []*database
	for i, zone := range []string{zones[3], zones[0], zones[1]} {
		d, err := s.add(fmt.Sprint("i-", i+1), c.ip(100+i), zone, i == 0, 20*time.Millisecond, 0)
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
	put := func(n int) string { return fmt.Sprintf("PUT k%d v%d", n%50, n) }
	for i, m := range c.machines {
		pause := 300 * time.Millisecond
		if m == lost {
			pause = 5 * time.Millisecond
		}
		k := &client{rec: rec, l: l, addr: m.clientAddr(), name: fmt.Sprint("w", i)}
		go k.run(stop, "lepu270", pause, put)
		q := &client{rec: rec, l: l, addr: m.clientAddr(), name: fmt.Sprint("r", i)}
		go q.run(stop, "lepu270", 20*time.Millisecond, func(n int) string { return fmt.Sprintf("FETCH k%d", n%50) })
	}
	time.Sleep(3 * time.Second)
	// A further replica starts, close to the primary; its beats come late.
	if _, err := s.add("i-4", c.ip(103), zones[2], false, 2*time.Millisecond, duration("BEAT_MS", 5*time.Second)); err != nil {
		return couldNot, err.Error()
	}
	time.Sleep(700 * time.Millisecond)
	if trouble {
		rec.printf("zone %s loses power", lost.zone)
		dbs[0].crash()
		switch os.Getenv("WITH") {
		case "nothing": // the database alone
		case "control":
			if lead := c.controlPrimary(); lead != nil {
				lead.kill("control")
			}
		default:
			lost.killAll()
		}
	}
	time.Sleep(14 * time.Second)
	close(stop)
	time.Sleep(300 * time.Millisecond)
	return judgeLost(rec, s, l)
}

// judgeLost checks that each promoted database held what had been acknowledged before it took the
// lead.
func judgeLost(rec *recorder, s *service, l *ledger) (int, string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l.mu.Lock()
	defer l.mu.Unlock()
	rec.printf("%d writes acknowledged, answers %v, %d promotions", len(l.acked), l.codes, len(s.promoted))
	if len(l.acked) < 100 {
		return couldNot, "too few writes were acknowledged"
	}
	for _, p := range s.promoted {
		heldIDs := map[string]bool{}
		for _, e := range p.log {
			for _, id := range e.ids {
				heldIDs[id] = true
			}
		}
		var missing []string
		for id, at := range l.acked {
			if at.Before(p.at) && !heldIDs[id] {
				missing = append(missing, id)
			}
		}
		if len(missing) > 0 {
			sort.Strings(missing)
			return broken, fmt.Sprintf("LOST: %s leads term %d without %d acknowledged commits: %s", p.id, p.term, len(missing), strings.Join(missing, " "))
		}
	}
	return held, fmt.Sprintf("each of %d promoted databases held every acknowledged commit", len(s.promoted))
}
