// Package latency keeps a moving average of response times for each route. Routes that
// are no longer used are dropped, since configurations add and remove routes all the time.
package latency

import (
	"maps"

	"indigowalk/internal/kernel"
)

// weight is the weight of one response in the exponentially weighted moving average.
const weight = 0.02

type average struct {
	span    float64 // in microseconds
	updated kernel.Micros
}

// Averages holds the moving average of the response times of each route. It is not safe for
// concurrent use.
type Averages struct {
	averages map[string]average
	sweep    kernel.SweepTimer
}

// Add records the response time span of a route and returns its average, in microseconds.
func (u *Averages) Add(route string, span, now kernel.Micros) float64 {
	if u.averages == nil {
		u.averages = map[string]average{}
	}
	if u.sweep.Due(now) {
		maps.DeleteFunc(u.averages, func(_ string, a average) bool { return now-a.updated > kernel.RetentionPeriod })
	}
	usual := float64(span)
	if previous, known := u.averages[route]; known {
		usual = previous.span + weight*(float64(span)-previous.span)
	}
	u.averages[route] = average{usual, now}
	return usual
}

// Average returns the average response time of a route in microseconds, 0 if none was recorded.
func (u *Averages) Average(route string) float64 { return u.averages[route].span }
