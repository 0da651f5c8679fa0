package main

import (
	"encoding/json"
	"net"
	"net/http"
	"time"
)

// promote makes a database lead the next term with what it has received, and returns the platform's
// answer.
func (s *service) promote(id string, after time.Duration) int {
	s.mu.Lock()
	var target *database
	for _, d := range s.dbs {
		if d.id == id && d.alive {
			target = d
		}
	}
	lead := s.lead()
	s.mu.Unlock()
	switch {
	case target == nil:
		return http.StatusConflict
	case target == lead:
		return http.StatusOK
	}
	time.AfterFunc(after, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if !target.alive || target.primary {
			return
		}
		s.term++
		target.primary, target.term, target.paused = true, s.term, 0
		s.promoted = append(s.promoted, promotion{id, s.term, append([]entry(nil), target.log...), time.Now()})
		s.c.rec.printf("platform: %s leads term %d with a log up to %s", id, s.term, target.last())
		for _, d := range s.dbs {
			if d != target && d.alive && d.primary {
				time.AfterFunc(time.Second, func() {
					s.mu.Lock()
					defer s.mu.Unlock()
					if d.alive && d.primary && d.term < s.term {
						d.primary = false
						d.catchUp()
						d.received.Broadcast()
					}
				})
			}
			if d != target && d.alive && !d.primary {
				if target.last().less(d.last()) {
					s.c.rec.printf("platform: %s held %s and is cut back", d.id, d.last())
				}
				d.paused, d.term = 0, target.term
				d.log = append([]entry(nil), target.log...)
			}
		}
		go target.sendBeat()
	})
	return http.StatusOK
}

// servePlatform serves the platform's API.
func servePlatform(c *cluster, promoteTime time.Duration, services ...*service) (*http.Server, error) {
	ln, err := net.Listen("tcp4", c.platformAddr())
	if err != nil {
		return nil, err
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		var body struct{ Svc, ID string }
		if q.URL.Path != "/failover" || json.NewDecoder(q.Body).Decode(&body) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		status := http.StatusConflict
		for _, s := range services {
			if s.name == body.Svc {
				status = s.promote(body.ID, promoteTime)
			}
		}
		c.rec.printf("platform: POST /failover %s %s by %s with fence %s: %d", body.Svc, body.ID, q.Header.Get("X-Indigowalk-Duty-Holder"), q.Header.Get("X-Indigowalk-Fence"), status)
		w.WriteHeader(status)
	})}
	go server.Serve(ln)
	return server, nil
}
