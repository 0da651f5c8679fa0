package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"time"
)

// ledger holds what clients were answered.
type ledger struct {
	mu    sync.Mutex
	acked map[string]time.Time // writes answered with success, by id
	codes map[string]int       // number of answers by code
}

// awaitWrite waits until one more write is answered with success, for a second at most.
func (l *ledger) awaitWrite() {
	count := func() int {
		l.mu.Lock()
		defer l.mu.Unlock()
		return len(l.acked)
	}
	for before, end := count(), time.Now().Add(time.Second); count() == before && time.Now().Before(end); {
		time.Sleep(200 * time.Microsecond)
	}
}

// client is one session that sends single statements, one after the other.
type client struct {
	rec  *recorder
	l    *ledger
	addr string
	name string
	n    int
}

// run sends statements until stop is closed, each built by text from its number.
func (k *client) run(stop chan struct{}, host string, pause time.Duration, text func(n int) string) {
	for {
		select {
		case <-stop:
			return
		default:
		}
		k.session(stop, host, pause, text)
		select {
		case <-stop:
			return
		case <-time.After(200 * time.Millisecond):
		}
	}
}

// session opens one session and sends statements until it ends.
func (k *client) session(stop chan struct{}, host string, pause time.Duration, text func(n int) string) {
	c, err := net.DialTimeout("tcp4", k.addr, time.Second)
	if err != nil {
		return
	}
	defer c.Close()
	r := bufio.NewReader(c)
	c.SetDeadline(time.Now().Add(3 * time.Second))
	fmt.Fprintf(c, "LOGIN %s u3f1\r\n", host)
	if line, err := r.ReadString('\n'); err != nil || !strings.HasPrefix(line, "IDLE") {
		return
	}
	for {
		select {
		case <-stop:
			return
		case <-time.After(pause*3/4 + rand.N(pause/2)): // clients do not act in step
		}
		k.n++
		id := fmt.Sprintf("%s.%d", k.name, k.n)
		write := text(k.n)
		c.SetDeadline(time.Now().Add(4 * time.Second))
		if _, err := fmt.Fprintf(c, "QUERY %s %s\r\n", id, write); err != nil {
			return
		}
		code := "cut"
		for {
			line, err := r.ReadString('\n')
			if err != nil {
				break
			}
			word, rest, _ := strings.Cut(strings.TrimRight(line, "\r\n"), " ")
			if word == "COMPLETE" {
				code = "ok"
			} else if word == "ERROR" {
				code, _, _ = strings.Cut(rest, " ")
			} else if word == "IDLE" {
				break
			}
		}
		now := time.Now()
		k.l.mu.Lock()
		k.l.codes[code]++
		if code == "ok" && strings.HasPrefix(write, "PUT") {
			k.l.acked[id] = now
		}
		k.l.mu.Unlock()
		k.rec.printf("client at %s sent %s %s, answered %s", k.addr, id, write, code)
		if code == "cut" {
			return
		}
	}
}
