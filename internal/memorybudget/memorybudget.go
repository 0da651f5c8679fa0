// Package memorybudget bounds the memory that a process spends on what its clients send:
// messages that are not whole or are being worked on, and what sessions keep. Nobody
// waits for it: what it can't bear is refused at once.
package memorybudget

import (
	"errors"
	"io"
	"sync/atomic"
)

// ErrFull says that the budget can't bear what is being read.
var ErrFull = errors.New("memorybudget: clients take as much memory as they may")

const (
	// share is the part of a process's memory that clients may take: the garbage
	// collector lets a heap grow to twice what is in use, and the process needs the rest.
	share = 1.0 / 6
	// defaultMB is taken for the process's memory where that is not known.
	defaultMB = 256
)

// Budget is what the clients of a process may take together. It is safe for concurrent
// use.
type Budget struct {
	limit int64 // bytes
	used  atomic.Int64
}

// New returns the budget of a process that has so many megabytes, 0 if that is not known.
func New(memoryMB float64) *Budget {
	if memoryMB == 0 {
		memoryMB = defaultMB
	}
	return &Budget{limit: int64(memoryMB * share * (1 << 20))}
}

// Used is how many bytes are taken.
func (b *Budget) Used() int64 { return b.used.Load() }

// take takes bytes off the budget if it bears them.
func (b *Budget) take(bytes int64) bool {
	if b.used.Add(bytes) > b.limit {
		b.used.Add(-bytes)
		return false
	}
	return true
}

// Holding is what one client takes. Its owner alone may use it.
type Holding struct {
	budget *Budget
	free   int64 // bytes that are not counted
	taken  int64
}

// Hold returns a holding of nothing, of which so many bytes will not be counted.
func (b *Budget) Hold(free int64) *Holding { return &Holding{budget: b, free: free} }

// Resize says how many bytes the owner holds from now on. A growth that the budget can't
// bear is refused, and changes nothing.
func (h *Holding) Resize(bytes int64) bool {
	wanted := max(0, bytes-h.free)
	grown := wanted - h.taken
	switch {
	case grown < 0:
		h.budget.used.Add(grown)
	case grown > 0 && !h.budget.take(grown):
		return false
	}
	h.taken = wanted
	return true
}

// ReadAll reads to the end and holds what it has read, so many times over as it will lie
// in memory. What it held before is held no more.
func (h *Holding) ReadAll(r io.Reader, copies int64) ([]byte, error) {
	return io.ReadAll(&countedReader{r: r, holding: h, copies: copies})
}

// countedReader holds what is read through it.
type countedReader struct {
	r       io.Reader
	holding *Holding
	copies  int64
	read    int64
}

// Read implements io.Reader.
func (c *countedReader) Read(p []byte) (int, error) {
	n, err := c.r.Read(p)
	c.read += int64(n)
	if !c.holding.Resize(c.read * c.copies) {
		return n, ErrFull
	}
	return n, err
}

// Release ends the holding.
func (h *Holding) Release() { h.Resize(0) }
