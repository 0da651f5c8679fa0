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
	scenarios := map[string]scenario{"late-beat": lateBeat, "dropped": droppedDatabase, "deregister": deregisterAlone, "release": releaseAlone}
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
	code, text := run(play, rec, *program)
	rec.printf("result %d: %s", code, text)
	fmt.Println(code, text)
	os.Exit(code)
}

// run plays a case, and reports one that can't run as such.
func run(play scenario, rec *recorder, program string) (code int, text string) {
	defer func() {
		if r := recover(); r != nil {
			setup, ok := r.(setupError)
			if !ok {
				panic(r)
			}
			code, text = couldNot, setup.text
		}
	}()
	return play(rec, program, os.Getenv("TROUBLE") != "0")
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
