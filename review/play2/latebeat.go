package main

import (
	"fmt"
	"os"
	"time"
)

// lateBeat plays the loss of a zone while a new replica, which receives commits, is not known yet
// because its beats come late.
func lateBeat(rec *recorder, program string, trouble bool) (int, string) {
	w := newWorld(rec, program, "huvo11a")
	defer w.close()
	w.boot(configuration(7, "huvo11a"))
	s, lost := w.services[0], w.c.machines[3]
	if lead := w.c.controlPrimary(); lead != nil {
		rec.printf("control is led from %s", lead.name)
	}
	var primary *database
	for i, zone := range []string{zones[3], zones[0], zones[1]} {
		d := w.add(s, fmt.Sprint("i-", i+1), 100+i, zone, i == 0, 20*time.Millisecond, 0)
		if i == 0 {
			primary = d
		}
	}
	w.settle()
	w.startClients(func(m *machine) time.Duration {
		if m == lost {
			return 5 * time.Millisecond
		}
		return 300 * time.Millisecond
	})
	time.Sleep(3 * time.Second)
	// A further replica starts, close to the primary; its beats come late.
	w.add(s, "i-4", 103, zones[2], false, 2*time.Millisecond, duration("BEAT_MS", 5*time.Second))
	time.Sleep(700 * time.Millisecond)
	if trouble {
		rec.printf("zone %s loses power", lost.zone)
		primary.crash()
		switch os.Getenv("WITH") {
		case "nothing": // the database alone
		case "control":
			if lead := w.c.controlPrimary(); lead != nil {
				lead.kill("control")
			}
		default:
			lost.killAll()
		}
		time.Sleep(zoneLoss)
		w.giveBack(lost, primary)
	}
	return w.finish(9 * time.Second)
}

// zoneLoss is how long a zone is without power, as the site file has it.
const zoneLoss = 5500 * time.Millisecond

// giveBack starts what was struck of a zone again.
func (w *world) giveBack(lost *machine, primary *database) {
	w.rec.printf("zone %s has power again", lost.zone)
	err := primary.restart("i-1b")
	require(err == nil, "%v", err)
	if os.Getenv("WITH") == "" {
		err := lost.startAll(false)
		require(err == nil, "%v", err)
	}
}
