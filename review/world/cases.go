package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"time"
)

// cases are the plays, by name.
var cases = map[string]func(ctx context.Context, w *world, trouble bool) (int, error){
	"deregister-first": deregisterFirst,
	"late-first-beat":  lateFirstBeat,
	"two-disks":        twoDisks,
	"third-disk":       thirdDisk,
}

// claims is the service of the cases.
const claims = "claims"

// ledger starts the machines, the platform, three databases of one service and clients
// that write to it, and waits until writes are acknowledged.
func (w *world) ledger(ctx context.Context) (g *group, p, r, d *database, err error) {
	if err = w.start(4); err != nil {
		return
	}
	g = newGroup(w, claims)
	go http.ListenAndServe(fmt.Sprintf("%s200:%d", w.prefix, platformPort), http.HandlerFunc(g.servePlatform))
	if err = w.configure(ctx, claims); err != nil {
		return
	}
	p, err1 := g.add("i-p", w.at(1), "hall-1", leads, 0, 0)
	r, err2 := g.add("i-r", w.at(2), "hall-2", follows, time.Millisecond, 0)
	d, err3 := g.add("i-d", w.at(3), "hall-3", follows, time.Millisecond, 0)
	return g, p, r, d, errors.Join(err1, err2, err3)
}

// at is the address of a database.
func (w *world) at(n int) string { return fmt.Sprintf("%s%d:%d", w.prefix, 100+n, databasePort) }

// written waits until so many writes have been acknowledged.
func (g *group) written(ctx context.Context, n int) error {
	for ctx.Err() == nil {
		g.mu.Lock()
		acked := len(g.acked)
		g.mu.Unlock()
		if acked >= n {
			return nil
		}
		pause(ctx, 50*time.Millisecond)
	}
	return errors.New("too few writes were acknowledged")
}

func (g *group) counts() (acked, lost int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.acked), len(g.lost)
}

// deregisterFirst has a replica leave by Deregister, without having said that it drains,
// and serve on for drain_ms and a little longer. Meanwhile the other replica receives
// nothing for a while and the primary crashes; it is back, with its log, later. With
// LEAVE=said the replica says that it drains, as most do, and deregisters at its end.
func deregisterFirst(ctx context.Context, w *world, trouble bool) (int, error) {
	g, p, r, d, err := w.ledger(ctx)
	if err != nil {
		return noRun, err
	}
	traffic, stop := context.WithCancel(ctx)
	defer stop()
	clients := w.writers(traffic, g, 8)
	if err := g.written(ctx, 50); err != nil {
		return noRun, err
	}
	pause(ctx, 2*time.Second)
	if os.Getenv("LEAVE") == "said" {
		g.drain(d)
		if !d.beat() {
			return noRun, errors.New("the leaving was not acknowledged")
		}
		w.record("database", "it is acknowledged that %s drains; it serves on for 10 s", d.id)
	} else {
		if !d.deregister(5 * time.Second) {
			return noRun, errors.New("the leaving was not acknowledged")
		}
		w.record("database", "the Deregister of %s is acknowledged; it serves on for 10 s", d.id)
	}
	leaves := time.AfterFunc(10*time.Second, func() {
		d.deregister(time.Second)
		w.record("database", "%s ends", d.id)
		d.crash()
	})
	defer leaves.Stop()
	pause(ctx, 3500*time.Millisecond)
	if trouble {
		w.record("trouble", "%s receives nothing from now on, for 6 s", r.id)
		g.hear(r, false)
		pause(ctx, 2*time.Second)
		w.record("trouble", "the primary %s crashes, for 7 s", p.id)
		p.crash()
		pause(ctx, 4*time.Second)
		g.hear(r, true)
		w.record("trouble", "%s receives again", r.id)
		pause(ctx, 3*time.Second)
		if err := p.comeBack("i-p2"); err != nil {
			return noRun, err
		}
		w.record("trouble", "the database that crashed is back as i-p2 with its log")
	}
	pause(ctx, 8*time.Second)
	stop()
	clients.Wait()
	return w.judgeLost(g), nil
}

// drain has a database say from now on that it drains.
func (g *group) drain(d *database) {
	g.mu.Lock()
	defer g.mu.Unlock()
	d.draining = true
}

// hear has a replica receive, or nothing.
func (g *group) hear(d *database, hears bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	d.deaf = !hears
}

// lateFirstBeat has a replica be released: the new one starts first, and its beats come
// 3 s late; the old one says that it drains. Meanwhile the other replica receives nothing
// for a while and the primary crashes; it is back, with its log, later.
func lateFirstBeat(ctx context.Context, w *world, trouble bool) (int, error) {
	g, p, r, d, err := w.ledger(ctx)
	if err != nil {
		return noRun, err
	}
	traffic, stop := context.WithCancel(ctx)
	defer stop()
	clients := w.writers(traffic, g, 8)
	if err := g.written(ctx, 50); err != nil {
		return noRun, err
	}
	pause(ctx, 2*time.Second)
	late := 3 * time.Second
	n, err := g.add("i-n", w.at(4), "hall-4", follows, time.Millisecond, late)
	if err != nil {
		return noRun, err
	}
	w.record("database", "%s starts; its beats come %v late", n.id, late)
	pause(ctx, 300*time.Millisecond)
	g.drain(d)
	if !d.beat() {
		return noRun, errors.New("the leaving was not acknowledged")
	}
	w.record("database", "it is acknowledged that %s drains; it serves on for 10 s", d.id)
	leaves := time.AfterFunc(10*time.Second, func() {
		d.deregister(time.Second)
		w.record("database", "%s ends", d.id)
		d.crash()
	})
	defer leaves.Stop()
	pause(ctx, 1200*time.Millisecond)
	if trouble {
		w.record("trouble", "%s receives nothing from now on, for 6 s", r.id)
		g.hear(r, false)
		pause(ctx, 600*time.Millisecond)
		w.record("trouble", "the primary %s crashes, for 7 s", p.id)
		p.crash()
		pause(ctx, 5400*time.Millisecond)
		g.hear(r, true)
		w.record("trouble", "%s receives again", r.id)
		pause(ctx, 1600*time.Millisecond)
		if err := p.comeBack("i-p2"); err != nil {
			return noRun, err
		}
		w.record("trouble", "the database that crashed is back as i-p2 with its log")
	}
	pause(ctx, 8*time.Second)
	stop()
	clients.Wait()
	return w.judgeLost(g), nil
}

// judgeLost tells whether an acknowledged write was lost.
func (w *world) judgeLost(g *group) int {
	acked, lost := g.counts()
	w.record("end", "%d writes acknowledged, %d of them not in the log of a promoted database", acked, lost)
	if lost > 0 {
		return broken
	}
	return held
}
