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

// RecordingFormat is the version of the recording format written by Recorder.
const RecordingFormat = 1

// RecordingHeader is the header of a recording: its first line.
type RecordingHeader struct {
	Recording int    `json:"indigowalk_recording"`
	Node      string `json:"node"`
	Role      string `json:"role"`
}

// Record is one line of a recording after the header: an input of a decision.
type Record struct {
	At   Micros          `json:"t"`
	Kind string          `json:"k"`
	Body json.RawMessage `json:"v"`
}

// Recorder writes the inputs of decisions to a file of bounded size, from which the
// decisions can be replayed. A nil Recorder records nothing.
type Recorder struct {
	clock    Clock
	counters *Counters

	mu        sync.Mutex
	file      *os.File
	remaining int64
}

// PreviousSuffix is the suffix of the file that holds the previous process's recording.
const PreviousSuffix = ".before"

// NewRecorder starts a recording of at most size bytes at path. The recording of the
// previous process, if any, is renamed to path+PreviousSuffix.
func NewRecorder(k *Kernel, path, node string, size int64) (*Recorder, error) {
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		return nil, fmt.Errorf("kernel: recording: %w", err)
	}
	if err := os.Rename(path, path+PreviousSuffix); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return nil, fmt.Errorf("kernel: recording: %w", err)
	}
	file, err := os.Create(path)
	if err != nil {
		return nil, fmt.Errorf("kernel: recording: %w", err)
	}
	r := &Recorder{clock: k.Clock, counters: k.Counters, file: file, remaining: size}
	r.write(RecordingHeader{RecordingFormat, node, k.Role})
	return r, nil
}

// Add records one decision input of the given kind.
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

// write appends v as one line of JSON. What exceeds the size limit is counted and dropped.
func (r *Recorder) write(v any) {
	raw, err := json.Marshal(v)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.remaining -= int64(len(raw)) + 1; err != nil || r.remaining < 0 {
		r.counters.Add("kernel.unrecorded", 1)
		return
	}
	if _, err := r.file.Write(append(raw, '\n')); err != nil {
		r.counters.Add("kernel.unrecorded", 1)
	}
}
