package latency

import (
	"fmt"
	"math"
	"testing"

	"indigowalk/internal/kernel"
)

func TestAverageFollowsResponseTimes(t *testing.T) {
	var averages Averages
	if averages.Average("a") != 0 {
		t.Error("a route without responses has an average")
	}
	if mean := averages.Add("a", 1000, 1); mean != 1000 {
		t.Errorf("after the first response the average is %v", mean)
	}
	if mean := averages.Add("a", 2000, 2); math.Abs(mean-1020) > 1e-9 || averages.Average("a") != mean {
		t.Errorf("after the second response the average is %v", mean)
	}
}

func TestUnusedRoutesAreDropped(t *testing.T) {
	var averages Averages
	for day := range kernel.Micros(1000) {
		averages.Add(fmt.Sprint("route-", day), 3*kernel.Millisecond, day*24*3600*kernel.Second)
	}
	if len(averages.byRoute) > 2 {
		t.Errorf("the averages of %d routes are kept", len(averages.byRoute))
	}
}
