// Package latency keeps a moving average of response times for each route. Routes that
// are no longer used are dropped, since configurations add and remove routes all the time.
package latency

import (
	"maps"

	"indigowalk/internal/kernel"
)

// weight is the weight of one response in the exponentially weighted moving average.
const weight = 0.02

// average is the moving average of the response times of one route.
type average struct {
	mean    float64 // in microseconds
	updated kernel.Micros
}

// Averages holds the moving average of the response times of each route. It is not safe for
// concurrent use.
type Averages struct {
	byRoute map[string]average
	sweep   kernel.SweepTimer
}

// Add records a response time of a route and returns the average of the route, in microseconds.
func (a *Averages) Add(route string, duration, now kernel.Micros) float64 {
	if a.byRoute == nil {
		a.byRoute = map[string]average{}
	}
	if a.sweep.Due(now) {
		maps.DeleteFunc(a.byRoute, func(_ string, old average) bool { return now-old.updated > kernel.RetentionPeriod })
	}
	mean := float64(duration)
	if previous, known := a.byRoute[route]; known {
		mean = previous.mean + weight*(float64(duration)-previous.mean)
	}
	a.byRoute[route] = average{mean, now}
	return mean
}

// Average returns the average response time of a route in microseconds, 0 if none was recorded.
func (a *Averages) Average(route string) float64 { return a.byRoute[route].mean }
