package testbed

import (
	"io"
	"os"
	"sync"
)

// logPipe copies the log output of a process to a file, unless reading is paused.
type logPipe struct {
	in *os.File // the write end, for the process

	mu   sync.Mutex
	held chan struct{} // closed when reading resumes; nil if it is not paused
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
			l.await()
		}
	}()
	return l, nil
}

// await blocks while reading is paused.
func (l *logPipe) await() {
	l.mu.Lock()
	held := l.held
	l.mu.Unlock()
	if held != nil {
		<-held
	}
}

// hold pauses reading of the log until the returned function is called.
func (l *logPipe) hold() (release func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.held != nil {
		return func() {} // it is paused already
	}
	held := make(chan struct{})
	l.held = held
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.held = nil
		close(held)
	}
}
