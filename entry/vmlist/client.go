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

// VM is one entry of the list.
type VM struct {
	Name       string
	Peer       netip.AddrPort // where the VM accepts its peers
	DataCentre string
	Leaving    bool
}

// Client calls the list.
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
	call, err := http.NewRequestWithContext(ctx, http.MethodGet, c.URL, http.NoBody)
	if err != nil {
		return nil, err
	}
	answer, err := c.HTTP.Do(call)
	if err != nil {
		return nil, err
	}
	defer func() { _ = answer.Body.Close() }()
	if answer.StatusCode != http.StatusOK {
		return nil, errors.Newf("VM list answered %d", answer.StatusCode)
	}
	var wire []wireVM
	if err := json.NewDecoder(io.LimitReader(answer.Body, maxListBytes)).Decode(&wire); err != nil {
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
