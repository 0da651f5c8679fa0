package kernel

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"
)

// Pauses after a connection that could not be accepted.
const (
	firstAcceptPause = 5 * time.Millisecond
	lastAcceptPause  = 200 * time.Millisecond
)

// patientListener goes on accepting after errors that pass: a process that is out
// of descriptors for a moment must not give its address up, and with it the
// connections that wait there.
type patientListener struct{ net.Listener }

// Accept implements net.Listener.
func (l patientListener) Accept() (net.Conn, error) {
	for pause := firstAcceptPause; ; pause = min(2*pause, lastAcceptPause) {
		c, err := l.Listener.Accept()
		if err == nil || !passes(err) {
			return c, err
		}
		time.Sleep(pause)
	}
}

// passes tells whether accepting may work again without anything being done.
func passes(err error) bool {
	for _, cause := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED, syscall.EINTR} {
		if errors.Is(err, cause) {
			return true
		}
	}
	return false
}

// The operating system asks the far end of an accepted connection that rests for
// acceptedIdle whether it is still there, and breaks the connection once acceptedAsked
// questions have got no answer. Without it a client whose machine vanished without a word
// would keep its session, and whatever that holds, for ever.
const (
	acceptedIdle  = 2 * time.Minute
	acceptedPause = 20 * time.Second
	acceptedAsked = 3
)

// Listen implements Network.
func (n HostNetwork) Listen(addr string) (net.Listener, error) {
	lc := net.ListenConfig{KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: acceptedIdle, Interval: acceptedPause, Count: acceptedAsked,
	}}
	ln, err := lc.Listen(context.Background(), "tcp4", n.local(addr))
	if err != nil {
		return nil, err
	}
	return patientListener{ln}, nil
}
