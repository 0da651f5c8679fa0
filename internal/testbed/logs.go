package testbed

import (
	"io"
	"os"
	"sync"
)

// logPipe carries what a process logs to a file, unless its reading is held up.
type logPipe struct {
	in *os.File // for the process

	mu   sync.Mutex
	held chan struct{} // closes when reading goes on; nil if it is not held up
}

// newLogPipe appends to the file at path what is written to the pipe, until all its
// writers have closed it.
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

func (l *logPipe) await() {
	l.mu.Lock()
	held := l.held
	l.mu.Unlock()
	if held != nil {
		<-held
	}
}

// hold has nobody read the log until the returned function is called.
func (l *logPipe) hold() (release func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.held != nil {
		return func() {} // it is held already
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
