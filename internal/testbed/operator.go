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

// operators is the state that the operators share: concurrent clients of the control API that change
// the configuration by orders, resend an order that got no definite response, and read back the
// configuration in force.
type operators struct {
	network  kernel.Network
	loopback *loopback
	orders   *history.Orders
	common   history.Template
}

const (
	// routeCount is the number of routes that operators add, change and remove.
	routeCount = 6
	// maxAttempts bounds how often an order without a definite response is sent.
	maxAttempts = 12
	// responsesPerLoss is the mean number of responses to operators of which one is dropped.
	responsesPerLoss = 5
	// ordersPerInvalid is the mean number of orders of which one is invalid.
	ordersPerInvalid = 10
	// maxOrderPause is the longest pause between two orders of an operator.
	maxOrderPause = 600 * time.Millisecond
	resendBackoff = 50 * time.Millisecond
)

// commonRoutePrefix is the name prefix of the routes that are in every configuration.
const commonRoutePrefix = "frame-"

// run runs one operator until ctx ends.
func (o *operators) run(ctx context.Context, r *rand.Rand) {
	for ctx.Err() == nil {
		sleep(ctx, time.Duration(r.Int64N(int64(maxOrderPause))))
		rev, ok := o.fetchConfig(r)
		if !ok {
			continue
		}
		n := o.orders.Add(randomOrder(r, rev))
		o.submit(ctx, r, n)
	}
}

// submit sends an order until there is a definite response, maxAttempts times at most. A response that
// is dropped at random counts as missing.
func (o *operators) submit(ctx context.Context, r *rand.Rand, n int) {
	for attempt := range maxAttempts {
		sentAt := o.orders.Tick()
		code := o.send(r, n)
		if r.IntN(responsesPerLoss) == 0 {
			code = 0
		}
		o.orders.AddAnswer(n, sentAt, code)
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
	code, _ := o.call(r, http.MethodPost, path, map[string]string{"X-Indigowalk-Base-Version": strconv.FormatInt(order.Base, 10)}, order.Body(o.common))
	if code >= 500 || code < 200 || code >= 300 && code < 400 || code == http.StatusRequestTimeout || code == http.StatusTooManyRequests {
		return 0
	}
	return code
}

// call sends a request to a random control node and returns the status code and body of the response.
func (o *operators) call(r *rand.Rand, method, path string, header map[string]string, body []byte) (int, []byte) {
	addrs := o.loopback.Controls()
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

// fetchConfig reads back the configuration in force, records it and returns its revision, 0 if there is
// no configuration yet. It returns false if the configuration could not be read.
func (o *operators) fetchConfig(r *rand.Rand) (rev int64, ok bool) {
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
		if !strings.HasPrefix(route.Name, commonRoutePrefix) {
			routes[route.Name] = route.DeadlineMs
		}
	}
	o.orders.AddReading(sentAt, c.Rev, routes)
	return c.Rev, true
}

// randomOrder returns a random order of an operator that has read back revision rev. The order's new
// revision is drawn from a small range, so that operators often conflict.
func randomOrder(r *rand.Rand, rev int64) history.Order {
	order := history.Order{Update: rev > 0 && r.IntN(2) == 0, Base: rev, Rev: rev + 1 + r.Int64N(3), Routes: map[string]int64{}}
	for range 1 + r.IntN(3) {
		order.Routes[routeName(r)] = 1000 + r.Int64N(1000)
	}
	if r.IntN(ordersPerInvalid) == 0 {
		order.Invalid = history.InvalidKinds[r.IntN(len(history.InvalidKinds))]
	}
	return order
}

// routeName returns the name of a random one of the routes that operators change.
func routeName(r *rand.Rand) string { return "route-" + strconv.Itoa(r.IntN(routeCount)) }

// sleep waits for the given time, or until ctx ends.
func sleep(ctx context.Context, span time.Duration) {
	t := time.NewTimer(span)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
