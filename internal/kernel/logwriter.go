package kernel

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// LogWriter forwards log lines asynchronously so that a write never blocks: lines are
// logged under locks, and the reader of the log may stop reading. Lines that do not fit
// the queue are dropped, and their number is written once there is room.
type LogWriter struct {
	out       io.Writer
	lines     chan []byte
	dropped   atomic.Int64
	done      chan struct{}
	closeOnce sync.Once
}

const (
	logQueueLength = 1024 // lines
	// logFlushTimeout is how long Close waits for queued lines to be written.
	logFlushTimeout = 200 * time.Millisecond
)

// NewLogWriter returns a LogWriter that writes to out.
func NewLogWriter(out io.Writer) *LogWriter {
	w := &LogWriter{out: out, lines: make(chan []byte, logQueueLength), done: make(chan struct{})}
	go w.run()
	return w
}

// Write implements io.Writer; it queues a copy of one line and never fails.
func (w *LogWriter) Write(line []byte) (int, error) {
	queued := append([]byte(nil), line...)
	select {
	case w.lines <- queued:
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// run writes queued lines. Write errors are ignored: they cannot be handled here.
func (w *LogWriter) run() {
	defer close(w.done)
	for line := range w.lines {
		if line == nil {
			return
		}
		if n := w.dropped.Swap(0); n > 0 {
			fmt.Fprintf(w.out, `{"level":"WARN","msg":"log lines dropped","lines":%d}`+"\n", n)
		}
		_, _ = w.out.Write(line)
	}
}

// Close waits up to logFlushTimeout for queued lines to be written. Lines that are
// written after Close are lost.
func (w *LogWriter) Close() {
	w.closeOnce.Do(func() {
		select {
		case w.lines <- nil:
		default:
		}
		select {
		case <-w.done:
		case <-time.After(logFlushTimeout):
		}
	})
}
