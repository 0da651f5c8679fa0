package distribution

import (
	"testing"

	"indigowalk/internal/lineprotocol"
)

// The services that are looked at are told by name once, and again when others are: they
// are the same in every answer for as long as a carrier that was lost is not made up for.
func TestLooksAreNamedOnce(t *testing.T) {
	var c commits
	services := []string{"ledger", "orders"}
	position := lineprotocol.Position{Term: 1, Number: 7}
	for turn, want := range []struct {
		services []string
		named    bool
	}{{services, true}, {services, false}, {services, false}, {services[:1], true}, {services[:1], false}, {nil, false}, {services, true}} {
		told := c.seen()
		var l *look
		if want.services != nil {
			l = (&look{Term: 1, Stamp: 5, Services: want.services}).unless(c.look.checksum())
			if named := len(l.Services) > 0; named != want.named || l.Same == named {
				t.Errorf("turn %d: %+v", turn, l)
			}
		}
		c.lookFrom(l, told, 10)
		for _, service := range services {
			c.observe(service, 11, position)
		}
		if s := c.seen(); (s == nil) != (want.services == nil) || s != nil && len(s.At) != len(want.services) {
			t.Errorf("turn %d: saw %+v of %v", turn, s, want.services)
		}
	}
}
