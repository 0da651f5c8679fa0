package kernel

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// LogWriter passes log lines on without ever holding up whoever writes them: lines
// are logged under locks, and whoever reads the log may stop reading. What does
// not fit the queue is dropped, and the number of lines is written once there is
// room.
type LogWriter struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
	closing sync.Once
}

const (
	logQueue = 1024 // lines
	// logFlush is how long the end of a process waits for the last lines.
	logFlush = 200 * time.Millisecond
)

// NewLogWriter writes to out.
func NewLogWriter(out io.Writer) *LogWriter {
	w := &LogWriter{out: out, lines: make(chan []byte, logQueue), done: make(chan struct{})}
	go w.run()
	return w
}

// Write implements io.Writer; it takes one line and never fails.
func (w *LogWriter) Write(line []byte) (int, error) {
	kept := append([]byte(nil), line...)
	select {
	case w.lines <- kept:
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// run writes the lines. An error of the reader's side is nobody's to mend here.
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

// Close waits a moment for what is queued to be written. Lines that are written
// later are lost.
func (w *LogWriter) Close() {
	w.closing.Do(func() {
		select {
		case w.lines <- nil:
		default:
		}
		select {
		case <-w.done:
		case <-time.After(logFlush):
		}
	})
}
