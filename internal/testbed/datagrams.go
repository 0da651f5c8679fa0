package testbed

import (
	"net"
	"time"
)

// datagramRelay receives the datagrams for a process and drops, duplicates, delays or forwards them as
// the links' impairments say.
type datagramRelay struct {
	links        *links
	hostBySource func(ip string) string
	host         string
	target       *net.UDPAddr
	conn         *net.UDPConn
}

// maxDatagram is the size in bytes of the largest datagram that is forwarded.
const maxDatagram = 64 << 10

func newDatagramRelay(l *links, hostBySource func(string) string, host, addr, target string) (*datagramRelay, error) {
	listenAddr, err := net.ResolveUDPAddr("udp4", addr)
	if err != nil {
		return nil, err
	}
	targetAddr, err := net.ResolveUDPAddr("udp4", target)
	if err != nil {
		return nil, err
	}
	conn, err := net.ListenUDP("udp4", listenAddr)
	if err != nil {
		return nil, err
	}
	r := &datagramRelay{links: l, hostBySource: hostBySource, host: host, target: targetAddr, conn: conn}
	go r.serve()
	return r, nil
}

func (r *datagramRelay) close() { r.conn.Close() }

func (r *datagramRelay) serve() {
	buf := make([]byte, maxDatagram)
	for {
		n, from, err := r.conn.ReadFromUDP(buf)
		if err != nil {
			return
		}
		state, _ := r.links.state(r.hostBySource(from.IP.String()), r.host)
		if state.cut || state.refuse || r.links.sample(state.datagramLoss) {
			continue
		}
		copies := 1
		if r.links.sample(state.duplication) {
			copies++
		}
		datagram := append([]byte(nil), buf[:n]...)
		for range copies {
			if state.delay == 0 {
				r.send(datagram)
				continue
			}
			time.AfterFunc(state.delay, func() { r.send(datagram) })
		}
	}
}

// send forwards a datagram; it is lost if the process is not running.
func (r *datagramRelay) send(datagram []byte) {
	_, _ = r.conn.WriteToUDP(datagram, r.target)
}
