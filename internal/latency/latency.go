// Package latency keeps how long answers usually take, by route. It must not
// remember a route for longer than it is used: configurations add and remove
// routes all the time.
package latency

import (
	"maps"

	"indigowalk/internal/kernel"
)

// weight is how much one answer counts.
const weight = 0.02

type average struct {
	span float64 // in microseconds
	at   kernel.Micros
}

// Usual holds a moving average of the times of answers by route. It is not safe
// for concurrent use.
type Usual struct {
	of    map[string]average
	sweep kernel.Sweep
}

// Add takes in the time of an answer and returns the usual one, in microseconds.
func (u *Usual) Add(route string, span, now kernel.Micros) float64 {
	if u.of == nil {
		u.of = map[string]average{}
	}
	if u.sweep.Due(now) {
		maps.DeleteFunc(u.of, func(_ string, a average) bool { return now-a.at > kernel.Kept })
	}
	usual := float64(span)
	if before, known := u.of[route]; known {
		usual = before.span + weight*(float64(span)-before.span)
	}
	u.of[route] = average{usual, now}
	return usual
}

// Of returns the usual time of an answer in microseconds, 0 if none was seen.
func (u *Usual) Of(route string) float64 { return u.of[route].span }
