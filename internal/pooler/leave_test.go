package pooler

import (
	"context"
	"log/slog"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"indigowalk/internal/kernel"
	"indigowalk/internal/memorybudget"
)

// jumpingClock is a steady clock as a process sees it that stands still now and then.
type jumpingClock struct {
	began time.Time
	ahead atomic.Int64
}

func (c *jumpingClock) Now() kernel.Micros {
	return kernel.Micros(time.Since(c.began)/time.Microsecond) + kernel.Micros(c.ahead.Load())
}

// A process may have been told to end at any moment while it stood still: whoever told it
// counts the grace from then.
func TestAStallIsPartOfTheGrace(t *testing.T) {
	const grace, stall = 6 * kernel.Second, 2600 * kernel.Millisecond
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		clock := &jumpingClock{began: time.Now()}
		k := kernel.NewKernel("pooler", nil, slog.New(slog.DiscardHandler))
		k.Clock = clock
		stalls := kernel.NewStalls(k)
		go stalls.Serve(ctx)
		d := &Pooler{k: k, cfg: Config{Grace: func() kernel.Micros { return grace }}, ending: make(chan struct{}), stalls: stalls}
		d.sessions = map[*session]struct{}{{d: d, asked: true}: {}}
		time.Sleep(1050 * time.Millisecond)
		clock.ahead.Add(int64(stall))
		began := time.Now()
		go d.Leave(ctx)
		<-d.ending
		if took := time.Since(began); took > (grace - stall - lastAnswers + 200*kernel.Millisecond).Duration() {
			t.Errorf("statements are given up %v after the process went on, %v of its grace were over", took, stall.Duration())
		}
		time.Sleep(time.Second)
	})
}

// A statement that has come when a leaving pooler ends its sessions is read, also where the
// session has not had its turn yet.
func TestHurryReadsWhatHasCome(t *testing.T) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	client, err := net.Dial("tcp4", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	c, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	k := kernel.NewKernel("pooler", nil, slog.New(slog.DiscardHandler))
	s := newSession(&Pooler{k: k, memory: memorybudget.New(0)}, c)
	if !s.listen(0) {
		t.Fatal("a session that nobody told to end does not listen")
	}
	if _, err := client.Write([]byte("QUERY s1.1 FETCH x\r\n")); err != nil {
		t.Fatal(err)
	}
	time.Sleep(50 * time.Millisecond)
	s.hurry()
	if line, err := s.r.Line(); err != nil {
		t.Errorf("what has come is left unread: %q, %v", line, err)
	}
}
