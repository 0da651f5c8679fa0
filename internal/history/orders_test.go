package history

import (
	"strings"
	"testing"
)

// text returns the breaches as they are printed, one on each line.
func text(breaches []Breach) string {
	var b strings.Builder
	for _, breach := range breaches {
		b.WriteString(breach.String() + "\n")
	}
	return b.String()
}

// The checker accepts a valid history, and finds the violation in each invalid variant of it.
func TestHistoryChecker(t *testing.T) {
	// Orders 0 to 2 result in versions 2, 5 and 9. Order 3 is refused because another change of
	// version 2 was faster, order 4 because it is invalid, order 5 because it has the version number
	// of order 1.
	valid := func() *Orders {
		h := &Orders{lastSeq: 100}
		h.Add(Order{Rev: 2, Routes: map[string]int64{"a": 7}})
		h.Add(Order{Base: 2, Rev: 5, Update: true, Routes: map[string]int64{"b": 8}})
		h.Add(Order{Base: 5, Rev: 9, Update: true, Routes: map[string]int64{"a": 9}})
		h.Add(Order{Base: 2, Rev: 4, Routes: map[string]int64{"a": 7}})
		h.Add(Order{Base: 5, Rev: 8, Routes: map[string]int64{"a": 7}, Invalid: UnknownService})
		h.Add(Order{Base: 2, Rev: 5, Update: true, Routes: map[string]int64{"b": 8}})
		h.answers = []Answer{{Order: 0, SentSeq: 1, DoneSeq: 2, Code: 0}, {Order: 0, SentSeq: 3, DoneSeq: 4, Code: 200}, {Order: 1, SentSeq: 5, DoneSeq: 9, Code: 200}, {Order: 3, SentSeq: 6, DoneSeq: 10, Code: 412}, {Order: 5, SentSeq: 6, DoneSeq: 12, Code: 412}, {Order: 1, SentSeq: 11, DoneSeq: 12, Code: 200}, {Order: 0, SentSeq: 11, DoneSeq: 12, Code: 503}, {Order: 4, SentSeq: 13, DoneSeq: 14, Code: 400}, {Order: 2, SentSeq: 15, DoneSeq: 16, Code: 503}}
		h.readings = []Reading{{SentSeq: 17, DoneSeq: 18, Rev: 9, Routes: map[string]int64{"a": 9, "b": 8, markRoute: 3}}}
		return h
	}
	if breaches := valid().Breaches(); len(breaches) > 0 {
		t.Errorf("breaches in a valid history: %v", breaches)
	}
	for want, invalidate := range map[string]func(h *Orders){
		"are both in force on top of 2":                   func(h *Orders) { h.answers[3].Code = 200 },
		"version 5 was made by order":                     func(h *Orders) { h.answers[4].Code = 200 },
		"order 1 was refused with 412 and is in force":    func(h *Orders) { h.answers[5].Code = 412 },
		"order 0 was refused with 412 and is in force":    func(h *Orders) { h.answers[6].Code = 412 },
		"order 2 was refused with 400 and is in force":    func(h *Orders) { h.answers[8].Code = 400 },
		"order 4 is invalid and in force":                 func(h *Orders) { h.answers[7].Code = 200 },
		"order 3 is valid and was refused with 400":       func(h *Orders) { h.answers[3].Code = 400 },
		"version 2 is read back after 5 was acknowledged": func(h *Orders) { h.readings[0] = Reading{SentSeq: 17, DoneSeq: 18, Rev: 2, Routes: h.orders[0].Routes} },
		"version 5 is read back after 9 was": func(h *Orders) {
			h.readings = append(h.readings, Reading{SentSeq: 19, DoneSeq: 20, Rev: 5, Routes: h.orders[1].Routes})
		},
		"is read back as map[a:9 mark:3]":              func(h *Orders) { delete(h.readings[0].Routes, "b") },
		"version 7 is read back, but no order made it": func(h *Orders) { h.readings[0].Rev = 7 },
		"order 2 was refused with 412, but its base is still the newest version": func(h *Orders) {
			h.answers[8].Code, h.readings[0] = 412, Reading{SentSeq: 17, DoneSeq: 18, Rev: 5, Routes: map[string]int64{"a": 7, "b": 8, markRoute: 2}}
		},
	} {
		h := valid()
		invalidate(h)
		if breaches := text(h.Breaches()); !strings.Contains(breaches, want) {
			t.Errorf("breach %q not found in %q", want, breaches)
		}
	}
}
