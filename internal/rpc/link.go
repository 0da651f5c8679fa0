package rpc

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"indigowalk/internal/kernel"
)

// hello begins a connection, in both directions. The caller's goes ahead of its
// first call and the callee's ahead of its first answer, so that it costs no
// round trip.
type hello struct {
	From  string `json:"from,omitempty"` // where the sender is reached; a tool is nowhere
	To    string `json:"to,omitempty"`   // who is meant; a tool takes whoever answers
	Life  int64  `json:"life"`           // of the sender
	Seq   int64  `json:"seq,omitempty"`  // of the connection among those that the caller's life made
	Known int64  `json:"known,omitempty"`
	Old   bool   `json:"old,omitempty"` // the receiver's life, or connection, is over: Known is a later one
}

// maxLife is past any time of day; what claims to be later is not believed.
const maxLife = 1 << 60

func (h *hello) valid() bool {
	return h != nil && h.Life > 0 && h.Life < maxLife && h.Known >= 0 && h.Known < maxLife
}

// process is what is known of the one at an address: its newest life, and of the
// connections on which it calls here the newest, which is the only one.
type process struct {
	life int64
	seq  int64
	conn net.Conn
}

// maxKnown bounds the addresses whose lives are remembered.
const maxKnown = 10_000

// helloWait is how long a caller may take for its greeting.
const helloWait = 5 * kernel.Second

// Errors of a connection.
var (
	errOldLife     = errors.New("a later life of this process is known there")
	errReplaced    = errors.New("a later life has its address")
	errMisdirected = errors.New("another process has its address")
	errMalformed   = errors.New("malformed line")
	errUnasked     = errors.New("an answer that was not asked for")
	errUnanswered  = errors.New("too many calls unanswered")
)

// meet notes the life of the process at an address. It reports whether that is
// its newest, and if not which is. A caller's connection, if one is given, takes
// the place of its earlier ones.
func (b *Endpoint) meet(addr string, life, seq int64, c net.Conn) (newest int64, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.known[addr]
	if p == nil {
		if p = new(process); len(b.known) < maxKnown {
			b.known[addr] = p
		}
	}
	if life < p.life || c != nil && life == p.life && seq <= p.seq {
		b.k.Counters.Add("rpc.old_life", 1)
		return p.life, false
	}
	if (life > p.life || c != nil) && p.conn != nil {
		p.conn.Close()
		p.conn = nil
	}
	if life > p.life {
		p.life, p.seq = life, 0
	}
	if c != nil {
		p.seq, p.conn = seq, c
	}
	return life, true
}

// outlive has this process take a life after one that was another's: the clock
// has stepped back since.
func (b *Endpoint) outlive(other int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if other >= b.life {
		b.k.Counters.Add("rpc.life_raised", 1)
		b.life, b.dialled = other+1, 0
	}
}

func (b *Endpoint) now() (life int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.life
}

// greeted reads a caller's greeting and answers it. It reports who calls and
// whether calls are taken.
func (b *Endpoint) greeted(sc *bufio.Scanner, c net.Conn) (from string, ok bool) {
	if c.SetReadDeadline(time.Now().Add(helloWait.Duration())) != nil || !sc.Scan() {
		b.countTooLong(sc)
		return "", false
	}
	var q line
	if err := json.Unmarshal(sc.Bytes(), &q); err != nil || !q.Hello.valid() || q.ID != 0 {
		b.k.Counters.Add("rpc.malformed", 1)
		return "", false
	}
	h := q.Hello
	a := &hello{From: b.addr, To: h.From}
	if ok = h.From == "" || h.To == b.addr; !ok {
		b.k.Counters.Add("rpc.misdirected", 1)
	} else if h.From != "" {
		if h.Known > b.now() {
			b.outlive(h.Known)
		}
		a.Known, ok = b.meet(h.From, h.Life, h.Seq, c)
		a.Old = !ok
	}
	a.Life = b.now()
	raw, err := line{Hello: a}.encode()
	if err == nil {
		_, err = c.Write(raw)
	}
	if err == nil {
		err = c.SetReadDeadline(time.Time{})
	}
	return h.From, ok && err == nil
}

// parted forgets a caller's connection that has ended.
func (b *Endpoint) parted(addr string, c net.Conn) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if p := b.known[addr]; p != nil && p.conn == c {
		p.conn = nil
	}
}

// scanner reads whole lines only: what stands before the end without a line's
// end was cut off.
func scanner(c net.Conn) *bufio.Scanner {
	sc := bufio.NewScanner(c)
	sc.Buffer(make([]byte, 0, 2048), maxLine)
	sc.Split(func(data []byte, atEOF bool) (int, []byte, error) {
		if i := bytes.IndexByte(data, '\n'); i >= 0 {
			return i + 1, data[:i], nil
		}
		if atEOF {
			return len(data), nil, nil
		}
		return 0, nil, nil
	})
	return sc
}

// countTooLong counts a line that was over the bound.
func (b *Endpoint) countTooLong(sc *bufio.Scanner) {
	if errors.Is(sc.Err(), bufio.ErrTooLong) {
		b.k.Counters.Add("rpc.malformed", 1)
	}
}

// peer is the process at an address, as this one calls it.
type peer struct {
	addr    string
	dialing kernel.Gate

	mu   sync.Mutex
	link *link
}

// link is one connection to a peer. A call belongs to the link on which it was
// sent: only a line of that link answers it, once, and it ends with the link.
type link struct {
	c       net.Conn
	addr    string
	sending kernel.Gate // lines leave whole and in the order of their numbers
	hello   []byte      // until it was sent

	mu     sync.Mutex
	queued int // calls that wait to be sent
	lastID uint64
	calls  map[uint64]chan line // nil for one that was given up
	over   error                // why it ended
}

// maxGivenUp bounds the calls that were given up on a link and may yet be
// answered; one with more of them serves nobody.
const maxGivenUp = 256

// connect returns the link to the peer; one call dials for all.
func (p *peer) connect(ctx context.Context, b *Endpoint) (*link, error) {
	if err := p.dialing.Enter(ctx); err != nil {
		return nil, err
	}
	defer p.dialing.Leave()
	p.mu.Lock()
	l := p.link
	p.mu.Unlock()
	if l != nil && l.ended() == nil {
		return l, nil
	}
	ctx, cancel := context.WithTimeout(ctx, connectWait.Duration())
	defer cancel()
	c, err := b.k.Net.Dial(ctx, p.addr, silence)
	if err != nil {
		return nil, err
	}
	if l, err = b.newLink(c, p.addr); err != nil {
		c.Close()
		return nil, err
	}
	p.mu.Lock()
	p.link = l
	p.mu.Unlock()
	go b.receive(l)
	return l, nil
}

// newLink prepares a connection's greeting.
func (b *Endpoint) newLink(c net.Conn, addr string) (*link, error) {
	h := &hello{From: b.addr}
	b.mu.Lock()
	b.dialled++
	h.Life, h.Seq = b.life, b.dialled
	if b.addr != "" {
		h.To = addr
		if p := b.known[addr]; p != nil {
			h.Known = p.life
		}
	}
	b.mu.Unlock()
	raw, err := line{Hello: h}.encode()
	return &link{c: c, addr: addr, sending: kernel.NewGate(), hello: raw, calls: map[uint64]chan line{}}, err
}

// call sends a call once and waits for its answer.
func (p *peer) call(ctx context.Context, b *Endpoint, op string, body json.RawMessage) (line, error) {
	l, err := p.connect(ctx, b)
	if err != nil {
		return line{}, err
	}
	id, ch, err := l.send(ctx, op, body)
	if err != nil {
		return line{}, err
	}
	select {
	case a, ok := <-ch:
		if !ok {
			return line{}, l.ended()
		}
		return a, nil
	case <-ctx.Done():
		l.forget(id)
		return line{}, ctx.Err()
	}
}

// send writes a call. The caller need not wait for a link that takes it slowly:
// the line is written whole all the same, for the sake of those that follow. One
// that could be written in part only ends the link.
func (l *link) send(ctx context.Context, op string, body json.RawMessage) (uint64, chan line, error) {
	l.mu.Lock()
	l.queued++
	l.mu.Unlock()
	if err := l.sending.Enter(ctx); err != nil {
		l.mu.Lock()
		l.queued--
		l.mu.Unlock()
		l.forget(0)
		return 0, nil, err
	}
	id, ch, err := l.enter()
	if err != nil {
		l.sending.Leave()
		return 0, nil, err
	}
	go func() {
		defer l.sending.Leave()
		raw, err := line{ID: id, Op: op, Body: body}.encode()
		if err == nil {
			_, err = l.c.Write(append(l.hello, raw...))
		}
		if l.hello = nil; err != nil {
			l.end(err)
		}
	}()
	return id, ch, nil
}

// enter gives a call its number.
func (l *link) enter() (uint64, chan line, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.queued--
	if l.over != nil {
		return 0, nil, l.over
	}
	l.lastID++
	ch := make(chan line, 1)
	l.calls[l.lastID] = ch
	return l.lastID, ch, nil
}

// receive hands out the answers that come on a link until it ends.
func (b *Endpoint) receive(l *link) {
	sc := scanner(l.c)
	err := b.answers(sc, l)
	switch {
	case err == nil && errors.Is(sc.Err(), bufio.ErrTooLong), errors.Is(err, errMalformed):
		b.k.Counters.Add("rpc.malformed", 1)
		err = errMalformed
	case errors.Is(err, errUnasked):
		b.k.Counters.Add("rpc.unasked", 1)
	case errors.Is(err, errMisdirected):
		b.k.Counters.Add("rpc.misdirected", 1)
	case err == nil:
		if err = sc.Err(); err == nil {
			err = io.EOF
		}
	}
	l.end(err)
}

// answers hands out what comes after the peer's greeting.
func (b *Endpoint) answers(sc *bufio.Scanner, l *link) error {
	for greeted := false; sc.Scan(); {
		var a line
		if json.Unmarshal(sc.Bytes(), &a) != nil || a.Op != "" || (a.Hello == nil) != greeted || greeted == (a.ID == 0) {
			return errMalformed
		}
		if !greeted {
			if err := b.welcome(a.Hello, l); err != nil {
				return err
			}
			greeted = true
		} else if !l.answer(a) {
			return errUnasked
		}
	}
	return nil
}

// welcome looks at the greeting of the peer: it must be the process that was
// meant, in its newest life, and take this one for the same.
func (b *Endpoint) welcome(h *hello, l *link) error {
	switch {
	case !h.valid():
		return errMalformed
	case b.addr == "":
		return nil
	case h.From != l.addr || h.To != b.addr:
		return errMisdirected
	case h.Old:
		b.outlive(h.Known)
		return errOldLife
	}
	if _, ok := b.meet(h.From, h.Life, 0, nil); !ok {
		return errReplaced
	}
	return nil
}

// answer gives a line to the call that it answers. One that nobody waits for
// any more is passed over, as is all that was read of a link that has ended; false means that there is no such call.
func (l *link) answer(a line) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	ch, asked := l.calls[a.ID]
	delete(l.calls, a.ID)
	if ch != nil {
		ch <- a
	}
	return asked || l.over != nil
}

// end closes the link and ends every call that waits on it.
func (l *link) end(why error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.over != nil {
		return
	}
	l.over = why
	l.c.Close()
	for id, ch := range l.calls {
		delete(l.calls, id)
		if ch != nil {
			close(ch)
		}
	}
}

func (l *link) ended() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.over
}

// forget gives up a call, if it was sent; a link on which a call went unanswered may be dead,
// so it is replaced if no other waits on it.
func (l *link) forget(id uint64) {
	l.mu.Lock()
	if _, waits := l.calls[id]; waits {
		l.calls[id] = nil
	}
	given, all := 0, len(l.calls)
	for _, ch := range l.calls {
		if ch == nil {
			given++
		}
	}
	alone := given > 0 && given == all && l.queued == 0
	l.mu.Unlock()
	if alone || given > maxGivenUp {
		l.end(errUnanswered)
	}
}
