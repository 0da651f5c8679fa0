package failover

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"

	"indigowalk/internal/kernel"
)

// platform makes the calls of which one node at a time has the duty. Each call is sent once, on a
// connection of its own: net/http may resend a request only on a connection that it has used
// before, or with a body that it can obtain again. An abandoned call is cut off rather than
// delivered later.
type platform struct {
	client *http.Client
	addr   string
	holder string
}

func newPlatform(n kernel.Network, addr, holder string) *platform {
	dial := func(ctx context.Context, _, addr string) (net.Conn, error) {
		c, err := n.Dial(ctx, addr, kernel.Second)
		if t, ok := c.(interface{ SetLinger(seconds int) error }); ok && err == nil {
			err = t.SetLinger(0)
		}
		return c, err
	}
	return &platform{
		client: &http.Client{
			Transport:     &http.Transport{DialContext: dial, DisableKeepAlives: true},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
		addr: addr, holder: holder,
	}
}

// failover makes the platform promote a database to the primary of its service; errNotRunning
// says that the platform refused. After any other error the call may have been carried out.
func (p *platform) failover(ctx context.Context, fence int64, service, id string) error {
	body, err := json.Marshal(map[string]string{"svc": service, "id": id})
	if err != nil {
		return fmt.Errorf("failover: %w", err)
	}
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+p.addr+"/failover", io.NopCloser(bytes.NewReader(body)))
	if err != nil {
		return fmt.Errorf("failover: %w", err)
	}
	q.ContentLength = int64(len(body))
	q.Header.Set("Content-Type", "application/json")
	q.Header.Set("X-Indigowalk-Duty-Holder", p.holder)
	q.Header.Set("X-Indigowalk-Fence", strconv.FormatInt(fence, 10))
	a, err := p.client.Do(q)
	if err != nil {
		return fmt.Errorf("failover: platform: %w", err)
	}
	a.Body.Close()
	switch {
	case a.StatusCode/100 == 2:
		return nil
	case a.StatusCode == http.StatusConflict:
		return errNotRunning
	}
	return fmt.Errorf("failover: platform responded with status %d", a.StatusCode)
}
