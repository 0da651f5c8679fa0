package history

import (
	"strings"
	"testing"
)

// text is breaches as they are printed.
func text(breaches []Breach) string {
	var b strings.Builder
	for _, breach := range breaches {
		b.WriteString(breach.String() + "\n")
	}
	return b.String()
}

// The checker finds what is wrong, and nothing in a history that is right.
func TestHistoryChecker(t *testing.T) {
	// Orders 0 to 2 make versions 2, 5 and 9; 3 lost its race for 2, 4 is
	// invalid, 5 is another under the number of order 1.
	right := func() *Orders {
		h := &Orders{count: 100}
		h.Add(Order{Rev: 2, Routes: map[string]int64{"a": 7}})
		h.Add(Order{Base: 2, Rev: 5, Update: true, Routes: map[string]int64{"b": 8}})
		h.Add(Order{Base: 5, Rev: 9, Update: true, Routes: map[string]int64{"a": 9}})
		h.Add(Order{Base: 2, Rev: 4, Routes: map[string]int64{"a": 7}})
		h.Add(Order{Base: 5, Rev: 8, Routes: map[string]int64{"a": 7}, Invalid: UnknownService})
		h.Add(Order{Base: 2, Rev: 5, Update: true, Routes: map[string]int64{"b": 8}})
		h.answers = []Answer{{Order: 0, Asked: 1, Came: 2, Code: 0}, {Order: 0, Asked: 3, Came: 4, Code: 200}, {Order: 1, Asked: 5, Came: 9, Code: 200}, {Order: 3, Asked: 6, Came: 10, Code: 412}, {Order: 5, Asked: 6, Came: 12, Code: 412}, {Order: 1, Asked: 11, Came: 12, Code: 200}, {Order: 0, Asked: 11, Came: 12, Code: 503}, {Order: 4, Asked: 13, Came: 14, Code: 400}, {Order: 2, Asked: 15, Came: 16, Code: 503}}
		h.readings = []Reading{{Asked: 17, Came: 18, Rev: 9, Routes: map[string]int64{"a": 9, "b": 8, mark: 3}}}
		return h
	}
	if faults := right().Breaches(); len(faults) > 0 {
		t.Errorf("a right history: %v", faults)
	}
	for want, wrong := range map[string]func(h *Orders){
		"are both in force on top of 2":                   func(h *Orders) { h.answers[3].Code = 200 },
		"version 5 was made by order":                     func(h *Orders) { h.answers[4].Code = 200 },
		"order 1 was refused with 412 and is in force":    func(h *Orders) { h.answers[5].Code = 412 },
		"order 0 was refused with 412 and is in force":    func(h *Orders) { h.answers[6].Code = 412 },
		"order 2 was refused with 400 and is in force":    func(h *Orders) { h.answers[8].Code = 400 },
		"order 4 is invalid and in force":                 func(h *Orders) { h.answers[7].Code = 200 },
		"order 3 is valid and was refused with 400":       func(h *Orders) { h.answers[3].Code = 400 },
		"version 2 is read back after 5 was acknowledged": func(h *Orders) { h.readings[0] = Reading{Asked: 17, Came: 18, Rev: 2, Routes: h.orders[0].Routes} },
		"version 5 is read back after 9 was": func(h *Orders) {
			h.readings = append(h.readings, Reading{Asked: 19, Came: 20, Rev: 5, Routes: h.orders[1].Routes})
		},
		"is read back as map[a:9 mark:3]":                    func(h *Orders) { delete(h.readings[0].Routes, "b") },
		"version 7 is read back, and no order was like that": func(h *Orders) { h.readings[0].Rev = 7 },
		"order 2 was refused with 412, and nothing took its base": func(h *Orders) {
			h.answers[8].Code, h.readings[0] = 412, Reading{Asked: 17, Came: 18, Rev: 5, Routes: map[string]int64{"a": 7, "b": 8, mark: 2}}
		},
	} {
		h := right()
		wrong(h)
		if faults := text(h.Breaches()); !strings.Contains(faults, want) {
			t.Errorf("%q is not found: %q", want, faults)
		}
	}
}
