package vmlist

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"

	"github.com/cockroachdb/errors"
)

const maxListBytes = 16 << 20

// VM is one item of the list.
type VM struct {
	Name       string
	Peer       netip.AddrPort // address at which the VM accepts connections of its peers
	DataCentre string
	Leaving    bool
}

// Client calls the service that holds the list.
type Client struct {
	URL  string
	HTTP *http.Client
}

type wireVM struct {
	Name       string `json:"name"`
	Peer       string `json:"peer"`
	DataCentre string `json:"data-centre"`
	Leaving    bool   `json:"leaving"`
}

// List returns the VMs that the platform knows of.
func (c *Client) List(ctx context.Context) ([]VM, error) {
	httpRequest, err := http.NewRequestWithContext(ctx, http.MethodGet, c.URL, http.NoBody)
	if err != nil {
		return nil, err
	}
	response, err := c.HTTP.Do(httpRequest)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, errors.Newf("VM list service responded with status %d", response.StatusCode)
	}
	var wire []wireVM
	if err := json.NewDecoder(io.LimitReader(response.Body, maxListBytes)).Decode(&wire); err != nil {
		return nil, err
	}
	var vms []VM
	for _, w := range wire {
		peer, err := netip.ParseAddrPort(w.Peer)
		if err != nil {
			return nil, errors.Wrapf(err, "VM %s", w.Name)
		}
		vms = append(vms, VM{Name: w.Name, Peer: peer, DataCentre: w.DataCentre, Leaving: w.Leaving})
	}
	return vms, nil
}
