// Package failurelog keeps the most recent failed requests: the identity of each request,
// the databases it was sent to, the result of each attempt and why it was abandoned. The
// log is kept in memory, has a fixed size and never delays a request. It contains no
// client keys and nothing of the content of requests.
package failurelog

import (
	"strings"
	"sync"
	"time"

	"indigowalk/internal/kernel"
)

// Capacity is the number of failures that a log keeps. Beyond it, new failures overwrite the oldest.
const Capacity = 512

// Kind is the kind under which a recorder of decisions stores a Failure.
const Kind = "failure"

// Attempt is one attempt to run a request on a database.
type Attempt struct {
	Database string        `json:"database"`
	After    kernel.Micros `json:"after_us"` // from reading the request to the end of the attempt
	Result   string        `json:"result"`
}

// Failure is a request that failed.
type Failure struct {
	At       time.Time     `json:"at"` // wall-clock time of the response
	ID       string        `json:"id"` // request ID chosen by the client
	Route    string        `json:"route,omitempty"`
	Service  string        `json:"service,omitempty"`
	Tenant   string        `json:"tenant,omitempty"`
	Response string        `json:"answer"` // code or status returned to the client
	Cause    string        `json:"cause"`
	Duration kernel.Micros `json:"took_us"`  // from reading the request to responding
	Revision int64         `json:"revision"` // of the configuration in force
	Attempts []Attempt     `json:"attempts,omitempty"`
}

// Log holds the most recent failures of one process. Add does nothing on a nil Log.
type Log struct {
	counters *kernel.Counters
	recorder *kernel.Recorder

	mu    sync.Mutex
	ring  [Capacity]Failure
	added int // number of failures ever added
}

// New returns an empty log that also counts failures by cause.
func New(k *kernel.Kernel) *Log { return &Log{counters: k.Counters, recorder: k.Recorder} }

// maxTextLength is the number of bytes kept of a text chosen by a client.
const maxTextLength = 128

// clip returns a copy of at most the first maxTextLength bytes of a text. The copy lets the
// rest of a long text be freed.
func clip(text string) string { return strings.Clone(text[:min(len(text), maxTextLength)]) }

// Add records a failure and sets its time. Attempts are copied; long texts are truncated.
func (l *Log) Add(f Failure) {
	if l == nil {
		return
	}
	f.At = time.Now()
	f.ID, f.Route = clip(f.ID), clip(f.Route)
	f.Attempts = append([]Attempt(nil), f.Attempts...)
	l.counters.Add("failure."+f.Cause, 1)
	l.recorder.Add(Kind, f)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ring[l.added%Capacity] = f
	l.added++
}

// Recent returns the failures in the log, oldest first.
func (l *Log) Recent() []Failure {
	l.mu.Lock()
	defer l.mu.Unlock()
	oldest := max(0, l.added-Capacity)
	out := make([]Failure, 0, l.added-oldest)
	for n := oldest; n < l.added; n++ {
		out = append(out, l.ring[n%Capacity])
	}
	return out
}

func init() {
	kernel.Register(kernel.Plugin{
		Name: "failurelog", Rank: 5, Roles: []string{"pooler", "gateway", "control"},
		Build: func(k *kernel.Kernel) error {
			kernel.Offer(k, New(k))
			return nil
		},
	})
}
