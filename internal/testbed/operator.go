package testbed

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"indigowalk/internal/history"
	"indigowalk/internal/kernel"
	"indigowalk/internal/standin"
)

// operators change the configuration, race each other, send again what had no clear
// answer and read back what is in force.
type operators struct {
	network kernel.Network
	net     *loopback
	orders  *history.Orders
	frame   history.Frame
}

const (
	// orderNames are the routes that operators add, change and drop.
	orderNames = 6
	// tries is how often an order is sent until it has a clear answer.
	tries = 12
	// lostAnswers is one in how many answers an operator does not get.
	lostAnswers = 5
	// invalidOrders is one in how many orders is invalid.
	invalidOrders = 10
	// between two orders of an operator, at most.
	orderPause = 600 * time.Millisecond
	resendStep = 50 * time.Millisecond
)

// frameMark begins the names of the routes that are in every configuration.
const frameMark = "frame-"

// run is one operator, until ctx ends.
func (o *operators) run(ctx context.Context, r *rand.Rand) {
	for ctx.Err() == nil {
		sleep(ctx, time.Duration(r.Int64N(int64(orderPause))))
		known, ok := o.read(r)
		if !ok {
			continue
		}
		n := o.orders.Add(randomOrder(r, known))
		o.settle(ctx, r, n)
	}
}

// settle sends an order until it has a clear answer.
func (o *operators) settle(ctx context.Context, r *rand.Rand, n int) {
	for try := range tries {
		asked := o.orders.Tick()
		code := o.send(r, n)
		if r.IntN(lostAnswers) == 0 {
			code = 0
		}
		o.orders.Answered(n, asked, code)
		if code != 0 || ctx.Err() != nil {
			return
		}
		sleep(ctx, time.Duration(try+1)*resendStep)
	}
}

// send makes one call with an order, at any control node; 0 stands for no clear
// answer.
func (o *operators) send(r *rand.Rand, n int) int {
	order := o.orders.Get(n)
	path := "/Conf.Replace"
	if order.Update {
		path = "/Conf.Update"
	}
	code, _ := o.call(r, http.MethodPost, path, map[string]string{"X-Indigowalk-Base-Version": strconv.FormatInt(order.Base, 10)}, order.Body(o.frame))
	if code >= 500 || code < 200 || code >= 300 && code < 400 || code == http.StatusRequestTimeout || code == http.StatusTooManyRequests {
		return 0
	}
	return code
}

func (o *operators) call(r *rand.Rand, method, path string, header map[string]string, body []byte) (int, []byte) {
	addrs := o.net.Controls()
	return standin.Call(o.network, method, addrs[r.IntN(len(addrs))], path, header, body)
}

// configuration is as much of one as is read back.
type configuration struct {
	Rev    int64 `json:"rev"`
	Routes []struct {
		Name       string `json:"name"`
		DeadlineMs int64  `json:"deadline_ms"`
	} `json:"routes"`
}

// read reads back what is in force.
func (o *operators) read(r *rand.Rand) (rev int64, ok bool) {
	asked := o.orders.Tick()
	code, raw := o.call(r, http.MethodGet, "/Conf.Fetch", nil, nil)
	if code == http.StatusNotFound {
		return 0, true
	}
	var c configuration
	if code != http.StatusOK || json.Unmarshal(raw, &c) != nil {
		return 0, false
	}
	routes := map[string]int64{}
	for _, route := range c.Routes {
		if !strings.HasPrefix(route.Name, frameMark) {
			routes[route.Name] = route.DeadlineMs
		}
	}
	o.orders.Read(asked, c.Rev, routes)
	return c.Rev, true
}

// randomOrder is an order of an operator that knows a version. Few numbers are
// picked, so that operators often pick the same.
func randomOrder(r *rand.Rand, known int64) history.Order {
	order := history.Order{Update: known > 0 && r.IntN(2) == 0, Base: known, Rev: known + 1 + r.Int64N(3), Routes: map[string]int64{}}
	for range 1 + r.IntN(3) {
		order.Routes[routeName(r)] = 1000 + r.Int64N(1000)
	}
	if r.IntN(invalidOrders) == 0 {
		order.Invalid = history.Faults[r.IntN(len(history.Faults))]
	}
	return order
}

// routeName is one of the routes that operators change.
func routeName(r *rand.Rand) string { return "route-" + strconv.Itoa(r.IntN(orderNames)) }

// sleep waits, or until ctx ends.
func sleep(ctx context.Context, span time.Duration) {
	t := time.NewTimer(span)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
