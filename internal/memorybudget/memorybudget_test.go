package memorybudget

import (
	"errors"
	"strings"
	"sync"
	"testing"
)

func TestReservations(t *testing.T) {
	b := New(6) // 1 MiB
	first, second := b.NewReservation(1000), b.NewReservation(0)
	if !first.Resize(1000) || b.Used() != 0 {
		t.Errorf("uncounted bytes are counted: %d bytes", b.Used())
	}
	if !first.Resize(1000+1<<20) || b.Used() != 1<<20 {
		t.Errorf("the whole budget can not be reserved: %d bytes", b.Used())
	}
	if second.Resize(1) || b.Used() != 1<<20 {
		t.Error("more is reserved than the budget allows")
	}
	if first.Resize(1001+1<<20) || !first.Resize(1500) || b.Used() != 500 {
		t.Errorf("after a refused growth and a shrink %d bytes are reserved", b.Used())
	}
	if !second.Resize(1<<20 - 500) {
		t.Error("released bytes can not be reserved again")
	}
	first.Release()
	first.Release()
	second.Release()
	if b.Used() != 0 {
		t.Errorf("%d bytes are still reserved after all releases", b.Used())
	}
}

func TestReadAll(t *testing.T) {
	b := New(6) // 1 MiB
	reservation := b.NewReservation(0)
	text := strings.Repeat("x", 400<<10)
	if raw, err := reservation.ReadAll(strings.NewReader(text), 2); err != nil || string(raw) != text || b.Used() != 800<<10 {
		t.Errorf("%d bytes read, %d reserved: %v", len(raw), b.Used(), err)
	}
	other := b.NewReservation(0)
	if _, err := other.ReadAll(strings.NewReader(text), 2); !errors.Is(err, ErrFull) {
		t.Errorf("more is read than the budget allows: %v", err)
	}
	reservation.Release()
	other.Release()
	if b.Used() != 0 {
		t.Errorf("%d bytes are still reserved after all releases", b.Used())
	}
}

func TestConcurrentReservations(t *testing.T) {
	b := New(6)
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			reservation := b.NewReservation(0)
			for i := range 1000 {
				reservation.Resize(int64(i) << 8)
				if used := b.Used(); used < 0 {
					t.Errorf("%d bytes are reserved", used)
				}
			}
			reservation.Release()
		})
	}
	wg.Wait()
	if b.Used() != 0 {
		t.Errorf("%d bytes are still reserved after all releases", b.Used())
	}
}
