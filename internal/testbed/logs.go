package testbed

import (
	"io"
	"os"
	"sync"
)

// logPipe copies the log output of a process to a file. Reading can be paused, so that the process's
// writes block once the pipe is full.
type logPipe struct {
	in *os.File // the write end, for the process

	mu      sync.Mutex
	resumed chan struct{} // closed when reading resumes; nil if it is not paused
}

// newLogPipe returns a pipe whose content is appended to the file at path until all its writers
// have closed it.
func newLogPipe(path string) (*logPipe, error) {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	out, in, err := os.Pipe()
	if err != nil {
		file.Close()
		return nil, err
	}
	l := &logPipe{in: in}
	go func() {
		defer file.Close()
		defer out.Close()
		buf := make([]byte, 4<<10)
		for {
			n, err := out.Read(buf)
			if _, werr := file.Write(buf[:n]); werr != nil || err == io.EOF || err != nil {
				return
			}
			l.awaitResume()
		}
	}()
	return l, nil
}

// awaitResume blocks while reading is paused.
func (l *logPipe) awaitResume() {
	l.mu.Lock()
	resumed := l.resumed
	l.mu.Unlock()
	if resumed != nil {
		<-resumed
	}
}

// pause stops reading the log until the returned function is called.
func (l *logPipe) pause() (resume func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.resumed != nil {
		return func() {} // it is paused already
	}
	resumed := make(chan struct{})
	l.resumed = resumed
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.resumed = nil
		close(resumed)
	}
}
