// Package failurelog keeps how the last requests ended that were not served: which
// request it was, where it was sent, what came of each sending and why it was given up.
// It lies in memory, is of a fixed size and never holds a request up. It holds no keys
// of clients and nothing of what was asked.
package failurelog

import (
	"strings"
	"sync"
	"time"

	"indigowalk/internal/kernel"
)

// Kept is how many failures a log holds; the newest take the place of the oldest.
const Kept = 512

// Kind is the kind of record of a failure, where decisions are recorded.
const Kind = "failure"

// Attempt is one sending of a request to a database.
type Attempt struct {
	Database string        `json:"database"`
	After    kernel.Micros `json:"after_us"` // from when the request was read until this ended
	Result   string        `json:"result"`
}

// Failure is a request that was not served.
type Failure struct {
	At       time.Time     `json:"at"` // when it was answered, by the time of day
	ID       string        `json:"id"` // that the client gave the request
	Route    string        `json:"route,omitempty"`
	Service  string        `json:"service,omitempty"`
	Tenant   string        `json:"tenant,omitempty"`
	Answer   string        `json:"answer"` // the code or status that the client was told
	Cause    string        `json:"cause"`
	Took     kernel.Micros `json:"took_us"`  // from when it was read until it was answered
	Revision int64         `json:"revision"` // of the configuration in force
	Attempts []Attempt     `json:"attempts,omitempty"`
}

// Log holds the newest failures of one process.
type Log struct {
	counters *kernel.Counters
	recorder *kernel.Recorder

	mu   sync.Mutex
	ring [Kept]Failure
	next int // how many were ever added
}

// New returns an empty log, which counts failures by cause.
func New(k *kernel.Kernel) *Log { return &Log{counters: k.Counters, recorder: k.Recorder} }

// longestText bounds what is kept of a text that a client chose.
const longestText = 128

// clip returns a copy of the beginning of a text.
func clip(text string) string { return strings.Clone(text[:min(len(text), longestText)]) }

// Add notes a failure. The attempts are copied, long texts cut.
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
	l.ring[l.next%Kept] = f
	l.next++
}

// Recent returns the failures that are kept, the oldest first.
func (l *Log) Recent() []Failure {
	l.mu.Lock()
	defer l.mu.Unlock()
	first := max(0, l.next-Kept)
	out := make([]Failure, 0, l.next-first)
	for n := first; n < l.next; n++ {
		out = append(out, l.ring[n%Kept])
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
