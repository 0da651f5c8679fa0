package kernel

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"sync"
)

// RecordingFormat is the version of the recordings written here.
const RecordingFormat = 1

// RecordingHead is the first line of a recording.
type RecordingHead struct {
	Recording int    `json:"indigowalk_recording"`
	Node      string `json:"node"`
	Role      string `json:"role"`
}

// Record is one input to a decision.
type Record struct {
	At   Micros          `json:"t"`
	Kind string          `json:"k"`
	Body json.RawMessage `json:"v"`
}

// Recorder writes the inputs of decisions to a file of bounded size. A nil
// recorder records nothing.
type Recorder struct {
	clock    Clock
	counters *Counters

	mu   sync.Mutex
	f    *os.File
	left int64
}

// Before is what is added to the name of the recording of the process before.
const Before = ".before"

// NewRecorder starts a recording of at most size bytes. The one of the process before
// is kept under another name.
func NewRecorder(k *Kernel, path, node string, size int64) (*Recorder, error) {
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		return nil, fmt.Errorf("kernel: recording: %w", err)
	}
	if err := os.Rename(path, path+Before); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return nil, fmt.Errorf("kernel: recording: %w", err)
	}
	f, err := os.Create(path)
	if err != nil {
		return nil, fmt.Errorf("kernel: recording: %w", err)
	}
	r := &Recorder{clock: k.Clock, counters: k.Counters, f: f, left: size}
	r.write(RecordingHead{RecordingFormat, node, k.Role})
	return r, nil
}

// Add records one input.
func (r *Recorder) Add(kind string, body any) {
	if r == nil {
		return
	}
	raw, err := json.Marshal(body)
	if err != nil {
		r.counters.Add("kernel.unrecorded", 1)
		return
	}
	r.write(Record{r.clock.Now(), kind, raw})
}

func (r *Recorder) write(v any) {
	raw, err := json.Marshal(v)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.left -= int64(len(raw)) + 1; err != nil || r.left < 0 {
		r.counters.Add("kernel.unrecorded", 1)
		return
	}
	if _, err := r.f.Write(append(raw, '\n')); err != nil {
		r.counters.Add("kernel.unrecorded", 1)
	}
}
