package latency

import (
	"fmt"
	"math"
	"testing"

	"indigowalk/internal/kernel"
)

func TestAverageFollowsResponseTimes(t *testing.T) {
	var u Averages
	if u.Average("a") != 0 {
		t.Error("a route without responses has an average")
	}
	if usual := u.Add("a", 1000, 1); usual != 1000 {
		t.Errorf("after the first response the average is %v", usual)
	}
	if usual := u.Add("a", 2000, 2); math.Abs(usual-1020) > 1e-9 || u.Average("a") != usual {
		t.Errorf("after the second response the average is %v", usual)
	}
}

func TestUnusedRoutesAreDropped(t *testing.T) {
	var u Averages
	for day := range kernel.Micros(1000) {
		u.Add(fmt.Sprint("route-", day), 3*kernel.Millisecond, day*24*3600*kernel.Second)
	}
	if len(u.averages) > 2 {
		t.Errorf("%d routes are remembered", len(u.averages))
	}
}
