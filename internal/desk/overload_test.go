package desk

import (
	"testing"

	"indigowalk/internal/foundation"
)

type still struct{}

func (still) Now() foundation.Micros { return foundation.Second }

func TestStrainShedsTheDearFirstAndTheUrgentNever(t *testing.T) {
	s := newStrain(still{})
	count := func(urgent, dear bool) (n int) {
		for range 1000 {
			if s.sheds("db", urgent, dear) {
				n++
			}
		}
		return n
	}
	if count(false, true) != 0 {
		t.Error("shed without strain")
	}
	for range 13 {
		s.note("db", true)
	}
	if dear, cheap := count(false, true), count(false, false); dear < 650 || dear > 950 || cheap != 0 {
		t.Errorf("at 0.4: %d dear and %d cheap shed of 1000", dear, cheap)
	}
	for range 30 {
		s.note("db", true)
	}
	if cheap, urgent := count(false, false), count(true, true); cheap < 900 || urgent != 0 {
		t.Errorf("at 1: %d cheap and %d urgent shed", cheap, urgent)
	}
	for range 300 {
		s.note("db", false)
	}
	if count(false, true) != 0 {
		t.Error("strain does not wear off")
	}
}
