package testbed

import (
	"net"
	"time"
)

// datagramRelay stands in front of an address for datagrams of a process.
type datagramRelay struct {
	links  *links
	hostOf func(ip string) string
	host   string
	target *net.UDPAddr
	conn   *net.UDPConn
}

// mostDatagram is the largest datagram that is passed on.
const mostDatagram = 64 << 10

func newDatagramRelay(l *links, hostOf func(string) string, host, addr, target string) (*datagramRelay, error) {
	at, err := net.ResolveUDPAddr("udp4", addr)
	if err != nil {
		return nil, err
	}
	to, err := net.ResolveUDPAddr("udp4", target)
	if err != nil {
		return nil, err
	}
	conn, err := net.ListenUDP("udp4", at)
	if err != nil {
		return nil, err
	}
	r := &datagramRelay{links: l, hostOf: hostOf, host: host, target: to, conn: conn}
	go r.serve()
	return r, nil
}

func (r *datagramRelay) close() { r.conn.Close() }

func (r *datagramRelay) serve() {
	buf := make([]byte, mostDatagram)
	for {
		n, from, err := r.conn.ReadFromUDP(buf)
		if err != nil {
			return
		}
		state, _ := r.links.state(r.hostOf(from.IP.String()), r.host)
		if state.cut || state.refuse || r.links.draw(state.lose) {
			continue
		}
		times := 1
		if r.links.draw(state.repeat) {
			times++
		}
		datagram := append([]byte(nil), buf[:n]...)
		for range times {
			if state.delay == 0 {
				r.send(datagram)
				continue
			}
			time.AfterFunc(state.delay, func() { r.send(datagram) })
		}
	}
}

// send passes a datagram on; one to a process that is not there is lost.
func (r *datagramRelay) send(datagram []byte) {
	_, _ = r.conn.WriteToUDP(datagram, r.target)
}
