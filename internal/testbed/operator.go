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

// operators are concurrent clients that change the configuration, resend orders without a
// definite response and read back the configuration in force.
type operators struct {
	network kernel.Network
	net     *loopback
	orders  *history.Orders
	frame   history.Frame
}

const (
	// routeNames is the number of routes that operators add, change and remove.
	routeNames = 6
	// maxAttempts is how often an order is sent at most until it receives a definite response.
	maxAttempts = 12
	// lostResponseRatio means that one in this many responses to an operator is dropped.
	lostResponseRatio = 5
	// invalidOrderRatio means that one in this many orders is invalid.
	invalidOrderRatio = 10
	// orderPause is the longest pause between two orders of an operator.
	orderPause    = 600 * time.Millisecond
	resendBackoff = 50 * time.Millisecond
)

// framePrefix is the name prefix of the routes that are in every configuration.
const framePrefix = "frame-"

// run runs one operator until ctx ends.
func (o *operators) run(ctx context.Context, r *rand.Rand) {
	for ctx.Err() == nil {
		sleep(ctx, time.Duration(r.Int64N(int64(orderPause))))
		known, ok := o.read(r)
		if !ok {
			continue
		}
		n := o.orders.Add(randomOrder(r, known))
		o.submit(ctx, r, n)
	}
}

// submit sends an order until it receives a definite response, maxAttempts times at most.
func (o *operators) submit(ctx context.Context, r *rand.Rand, n int) {
	for attempt := range maxAttempts {
		sentAt := o.orders.Tick()
		code := o.send(r, n)
		if r.IntN(lostResponseRatio) == 0 {
			code = 0
		}
		o.orders.Answered(n, sentAt, code)
		if code != 0 || ctx.Err() != nil {
			return
		}
		sleep(ctx, time.Duration(attempt+1)*resendBackoff)
	}
}

// send sends an order once, to a random control node, and returns the status code, or 0 if
// there is no definite response.
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

// configuration holds the fields of a configuration that are checked after reading it back.
type configuration struct {
	Rev    int64 `json:"rev"`
	Routes []struct {
		Name       string `json:"name"`
		DeadlineMs int64  `json:"deadline_ms"`
	} `json:"routes"`
}

// read reads back the configuration in force and records it; a missing one has revision 0.
func (o *operators) read(r *rand.Rand) (rev int64, ok bool) {
	sentAt := o.orders.Tick()
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
		if !strings.HasPrefix(route.Name, framePrefix) {
			routes[route.Name] = route.DeadlineMs
		}
	}
	o.orders.Read(sentAt, c.Rev, routes)
	return c.Rev, true
}

// randomOrder returns a random order of an operator that knows a revision. The revision is
// drawn from a small range, so that operators often conflict.
func randomOrder(r *rand.Rand, known int64) history.Order {
	order := history.Order{Update: known > 0 && r.IntN(2) == 0, Base: known, Rev: known + 1 + r.Int64N(3), Routes: map[string]int64{}}
	for range 1 + r.IntN(3) {
		order.Routes[routeName(r)] = 1000 + r.Int64N(1000)
	}
	if r.IntN(invalidOrderRatio) == 0 {
		order.Invalid = history.Faults[r.IntN(len(history.Faults))]
	}
	return order
}

// routeName returns a random one of the routes that operators change.
func routeName(r *rand.Rand) string { return "route-" + strconv.Itoa(r.IntN(routeNames)) }

// sleep waits for the given time, or until ctx ends.
func sleep(ctx context.Context, span time.Duration) {
	t := time.NewTimer(span)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
