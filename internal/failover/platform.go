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

// platformClient calls the platform, which only the duty holder may do, one node at a time. A call
// is sent at most once: it has a connection of its own, and net/http resends a request only on a
// connection that it has used before, or with a body that it can obtain again. An abandoned call
// is cut off by a reset of its connection, so that it is not delivered later.
type platformClient struct {
	client *http.Client
	addr   string
	holder string // name of this node as the duty holder
}

func newPlatformClient(network kernel.Network, addr, holder string) *platformClient {
	dial := func(ctx context.Context, _, addr string) (net.Conn, error) {
		conn, err := network.Dial(ctx, addr, kernel.Second)
		if tcp, ok := conn.(interface{ SetLinger(seconds int) error }); ok && err == nil {
			err = tcp.SetLinger(0)
		}
		return conn, err
	}
	return &platformClient{
		client: &http.Client{
			Transport:     &http.Transport{DialContext: dial, DisableKeepAlives: true},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
		addr: addr, holder: holder,
	}
}

// failover makes the platform promote a database to the primary of its service. It returns
// errNotRunning if the platform refused because the database is not running. After any other error
// the platform may have promoted it.
func (p *platformClient) failover(ctx context.Context, fence int64, service, id string) error {
	body, err := json.Marshal(map[string]string{"svc": service, "id": id})
	if err != nil {
		return fmt.Errorf("failover: %w", err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+p.addr+"/failover", io.NopCloser(bytes.NewReader(body)))
	if err != nil {
		return fmt.Errorf("failover: %w", err)
	}
	request.ContentLength = int64(len(body))
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("X-Indigowalk-Duty-Holder", p.holder)
	request.Header.Set("X-Indigowalk-Fence", strconv.FormatInt(fence, 10))
	response, err := p.client.Do(request)
	if err != nil {
		return fmt.Errorf("failover: platform: %w", err)
	}
	response.Body.Close()
	switch {
	case response.StatusCode/100 == 2:
		return nil
	case response.StatusCode == http.StatusConflict:
		return errNotRunning
	}
	return fmt.Errorf("failover: platform responded with status %d", response.StatusCode)
}
