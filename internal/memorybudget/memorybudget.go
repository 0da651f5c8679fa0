// Package memorybudget limits the memory that a process spends on what its clients send:
// messages that are incomplete or being processed, and the state that sessions keep. Nothing
// waits for memory: a reservation that exceeds the limit is refused at once.
package memorybudget

import (
	"errors"
	"io"
	"sync/atomic"
)

// ErrFull reports that the budget does not allow what is being read to be kept in memory.
var ErrFull = errors.New("memorybudget: memory limit for client data reached")

const (
	// clientShare is the fraction of a process's memory that clients may use: the garbage
	// collector lets the heap grow to twice what is in use, and the process needs the rest.
	clientShare = 1.0 / 6
	// defaultMB is the memory assumed for a process where it is unknown.
	defaultMB = 256
)

// Budget is the memory that the clients of a process may use together. It is safe for
// concurrent use.
type Budget struct {
	limit int64 // bytes
	used  atomic.Int64
}

// New returns the budget of a process with the given memory in megabytes, 0 if unknown.
func New(memoryMB float64) *Budget {
	if memoryMB == 0 {
		memoryMB = defaultMB
	}
	return &Budget{limit: int64(memoryMB * clientShare * (1 << 20))}
}

// Used returns the number of bytes reserved.
func (b *Budget) Used() int64 { return b.used.Load() }

// reserve reserves bytes if the limit allows it.
func (b *Budget) reserve(bytes int64) bool {
	if b.used.Add(bytes) > b.limit {
		b.used.Add(-bytes)
		return false
	}
	return true
}

// Reservation is the reservation of one client. It is not safe for concurrent use.
type Reservation struct {
	budget    *Budget
	uncounted int64 // bytes of the client that are not charged to the budget
	reserved  int64 // bytes charged to the budget
}

// NewReservation returns an empty reservation, whose first n bytes are not charged to the
// budget.
func (b *Budget) NewReservation(n int64) *Reservation { return &Reservation{budget: b, uncounted: n} }

// Resize sets the size of the reservation in bytes. Growth that the budget does not allow is
// refused and changes nothing.
func (r *Reservation) Resize(bytes int64) bool {
	wanted := max(0, bytes-r.uncounted)
	growth := wanted - r.reserved
	switch {
	case growth < 0:
		r.budget.used.Add(growth)
	case growth > 0 && !r.budget.reserve(growth):
		return false
	}
	r.reserved = wanted
	return true
}

// ReadAll reads source to its end. It sets the size of the reservation to the bytes read, times the
// number of copies of them that will be kept in memory.
func (r *Reservation) ReadAll(source io.Reader, copies int64) ([]byte, error) {
	return io.ReadAll(&countedReader{r: source, reservation: r, copies: copies})
}

// countedReader reserves memory for what is read through it.
type countedReader struct {
	r           io.Reader
	reservation *Reservation
	copies      int64
	read        int64
}

// Read implements io.Reader.
func (c *countedReader) Read(p []byte) (int, error) {
	n, err := c.r.Read(p)
	c.read += int64(n)
	if !c.reservation.Resize(c.read * c.copies) {
		return n, ErrFull
	}
	return n, err
}

// Release frees the reservation.
func (r *Reservation) Release() { r.Resize(0) }
