package shelf

import (
	"errors"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"indigowalk/internal/foundation"
)

func TestTurnstile(t *testing.T) {
	const ms = foundation.Millisecond
	synctest.Test(t, func(t *testing.T) {
		var g Turnstile
		for range 2 {
			if err := g.Pass(2, 1, 10*ms, 0); err != nil {
				t.Fatal(err)
			}
		}
		got := make(chan int, 3)
		for _, prio := range []int{2, 1, -1} {
			go func() {
				if g.Pass(2, prio, 10*ms, 100*ms) == nil {
					got <- prio
				}
			}()
			synctest.Wait()
		}
		if err := g.Pass(2, 3, 10*ms, 15*ms); !errors.Is(err, ErrFull) {
			t.Errorf("a wait that can't be short enough: %v", err)
		}
		if err := g.Pass(2, 3, 10*ms, 30*ms); !errors.Is(err, ErrDeadline) {
			t.Errorf("a wait in vain: %v", err)
		}
		var order []int
		for range 3 {
			g.Leave()
			order = append(order, <-got)
		}
		if !slices.Equal(order, []int{-1, 1, 2}) {
			t.Errorf("let in in the order %v", order)
		}
		g.Leave()
		g.Leave()
		time.Sleep(time.Second)
		if g.Load() != 0 {
			t.Errorf("%d left inside", g.Load())
		}
	})
}
