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

const answerBytes = 64 << 10

var (
	errNoReport = errors.New("the probe's answer has no load report")
	errUnwell   = errors.New("the target says that it is not well")
)

type targets interface {
	Begin(ctx context.Context, address netip.AddrPort, r *http.Request, once bool) (*target.Exchange, bool, error)
}

type dialect interface {
	ReadProbe(answer *http.Response, s *service.Service, t service.Target) relay.Signs
}

// Client probes targets; its exported fields are set before use.
type Client struct {
	Targets targets
	Dialect dialect
}

// Load returns what the target says of itself; it fails when the target cannot be reached, is not well or reports no load.
func (c *Client) Load(ctx context.Context, s *service.Service, t service.Target) (relay.Signs, error) {
	exchange, _, err := c.Targets.Begin(ctx, t.Address, &http.Request{
		Method: http.MethodGet,
		URL:    &url.URL{Scheme: "http", Host: t.Address.String(), Path: s.ProbePath},
		Host:   t.Address.String(),
		Header: http.Header{"User-Agent": {"poplar-entry"}},
	}, false)
	if err != nil {
		return relay.Signs{}, err
	}
	defer exchange.Close()
	if _, err := io.Copy(io.Discard, io.LimitReader(exchange.Answer.Body, answerBytes)); err != nil {
		return relay.Signs{}, err
	}
	signs := c.Dialect.ReadProbe(exchange.Answer, s, t)
	switch {
	case signs.Elsewhere:
		return signs, nil
	case exchange.Answer.StatusCode >= http.StatusInternalServerError:
		return signs, errUnwell
	case !signs.HasReport:
		return signs, errNoReport
	}
	return signs, nil
}

// Mute reports whether the error says that the target is well and tells no load.
func Mute(err error) bool {
	return errors.Is(err, errNoReport)
}

// Unwell reports whether the error is the target's own word, so that it can be reached.
func Unwell(err error) bool {
	return errors.Is(err, errUnwell) || errors.Is(err, errNoReport)
}
