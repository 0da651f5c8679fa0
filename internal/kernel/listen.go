package kernel

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"
)

// Bounds of the exponential backoff after a failed accept.
const (
	minAcceptBackoff = 5 * time.Millisecond
	maxAcceptBackoff = 200 * time.Millisecond
)

// retryListener retries accepts that fail with a temporary error: a process that is
// briefly out of file descriptors must not close its listener, and with it the
// connections in the accept queue.
type retryListener struct{ net.Listener }

// Accept implements net.Listener.
func (l retryListener) Accept() (net.Conn, error) {
	for backoff := minAcceptBackoff; ; backoff = min(2*backoff, maxAcceptBackoff) {
		c, err := l.Listener.Accept()
		if err == nil || !isTemporary(err) {
			return c, err
		}
		time.Sleep(backoff)
	}
}

// isTemporary reports whether a later accept may succeed without any intervention.
func isTemporary(err error) bool {
	for _, cause := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED, syscall.EINTR} {
		if errors.Is(err, cause) {
			return true
		}
	}
	return false
}

// TCP keepalive of accepted connections: after keepAliveIdle without traffic the operating
// system probes the peer, and it resets the connection once keepAliveProbes probes have gone
// unanswered. Without it a client whose machine vanished without closing its connection would
// keep its session, and the resources held by that session, forever.
const (
	keepAliveIdle     = 2 * time.Minute
	keepAliveInterval = 20 * time.Second
	keepAliveProbes   = 3
)

// Listen implements Network.
func (n HostNetwork) Listen(addr string) (net.Listener, error) {
	lc := net.ListenConfig{KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveProbes,
	}}
	ln, err := lc.Listen(context.Background(), "tcp4", n.bindAddr(addr))
	if err != nil {
		return nil, err
	}
	return retryListener{ln}, nil
}
