package probe

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"net/url"

	"github.com/cockroachdb/errors"

	"poplarworks/core/service"
	"poplarworks/entry/relay"
	"poplarworks/entry/target"
)

const maxResponseBytes = 64 << 10

var (
	errNoReport  = errors.New("the response to the probe has no load report")
	errUnhealthy = errors.New("the target reports that it is unhealthy")
)

type targets interface {
	Begin(ctx context.Context, address netip.AddrPort, r *http.Request, once bool) (*target.Exchange, bool, error)
}

type dialect interface {
	ReadProbe(response *http.Response, s *service.Service, t service.Target) relay.ResponseMetadata
}

// Client probes targets. Its exported fields must be set before use.
type Client struct {
	Targets targets
	Dialect dialect
}

// ProbeLoad returns the load and state that the target reports. It fails if the target cannot be reached, is unhealthy
// or reports no load. It does not fail if another incarnation has the target's address.
func (c *Client) ProbeLoad(ctx context.Context, s *service.Service, t service.Target) (relay.ResponseMetadata, error) {
	exchange, _, err := c.Targets.Begin(ctx, t.Address, &http.Request{
		Method: http.MethodGet,
		URL:    &url.URL{Scheme: "http", Host: t.Address.String(), Path: s.ProbePath},
		Host:   t.Address.String(),
		Header: http.Header{"User-Agent": {"poplar-entry"}},
	}, false)
	if err != nil {
		return relay.ResponseMetadata{}, err
	}
	defer exchange.Close()
	if _, err := io.Copy(io.Discard, io.LimitReader(exchange.Response.Body, maxResponseBytes)); err != nil {
		return relay.ResponseMetadata{}, err
	}
	metadata := c.Dialect.ReadProbe(exchange.Response, s, t)
	switch {
	case metadata.AddressReassigned:
		return metadata, nil
	case exchange.Response.StatusCode >= http.StatusInternalServerError:
		return metadata, errUnhealthy
	case !metadata.HasReport:
		return metadata, errNoReport
	}
	return metadata, nil
}

// IsHealthyWithoutLoad reports whether the error means that the target is healthy but reports no load.
func IsHealthyWithoutLoad(err error) bool {
	return errors.Is(err, errNoReport)
}

// IsTargetResponse reports whether the error comes from the target's response, so that the target can be reached.
func IsTargetResponse(err error) bool {
	return errors.Is(err, errUnhealthy) || errors.Is(err, errNoReport)
}
