package memorybudget

import (
	"errors"
	"strings"
	"sync"
	"testing"
)

func TestHoldings(t *testing.T) {
	b := New(6) // 1 MiB
	first, second := b.Hold(1000), b.Hold(0)
	if !first.Resize(1000) || b.Used() != 0 {
		t.Errorf("what is free is counted: %d bytes", b.Used())
	}
	if !first.Resize(1000+1<<20) || b.Used() != 1<<20 {
		t.Errorf("the whole budget is not lent: %d bytes", b.Used())
	}
	if second.Resize(1) || b.Used() != 1<<20 {
		t.Error("more is lent than there is")
	}
	if first.Resize(1001+1<<20) || !first.Resize(1500) || b.Used() != 500 {
		t.Errorf("a refused growth or a shrinking counts %d bytes", b.Used())
	}
	if !second.Resize(1<<20 - 500) {
		t.Error("what was given back is not lent")
	}
	first.Release()
	first.Release()
	second.Release()
	if b.Used() != 0 {
		t.Errorf("%d bytes are taken by nobody", b.Used())
	}
}

func TestReadAll(t *testing.T) {
	b := New(6) // 1 MiB
	h := b.Hold(0)
	text := strings.Repeat("x", 400<<10)
	if raw, err := h.ReadAll(strings.NewReader(text), 2); err != nil || string(raw) != text || b.Used() != 800<<10 {
		t.Errorf("%d bytes are read, %d taken: %v", len(raw), b.Used(), err)
	}
	other := b.Hold(0)
	if _, err := other.ReadAll(strings.NewReader(text), 2); !errors.Is(err, ErrFull) {
		t.Errorf("more is read than the budget bears: %v", err)
	}
	h.Release()
	other.Release()
	if b.Used() != 0 {
		t.Errorf("%d bytes are taken by nobody", b.Used())
	}
}

func TestHoldingsSideBySide(t *testing.T) {
	b := New(6)
	var all sync.WaitGroup
	for range 8 {
		all.Go(func() {
			h := b.Hold(0)
			for i := range 1000 {
				h.Resize(int64(i) << 8)
				if used := b.Used(); used < 0 {
					t.Errorf("%d bytes are taken", used)
				}
			}
			h.Release()
		})
	}
	all.Wait()
	if b.Used() != 0 {
		t.Errorf("%d bytes are taken by nobody", b.Used())
	}
}
