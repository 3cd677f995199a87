package objects

import (
	"bytes"
	"context"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"
)

const maxObjectBytes = 256 << 20

// ErrMissing means that the object does not exist.
var ErrMissing = errors.New("no such object")

// Client calls the object store.
type Client struct {
	URL  string
	HTTP *http.Client
}

// Put creates or replaces an object.
func (c *Client) Put(ctx context.Context, name string, body []byte) error {
	_, err := c.call(ctx, http.MethodPut, name, body)
	return err
}

// Get returns an object, or ErrMissing if there is none.
func (c *Client) Get(ctx context.Context, name string) ([]byte, error) {
	return c.call(ctx, http.MethodGet, name, nil)
}

// Delete removes an object. It is no error if the object does not exist.
func (c *Client) Delete(ctx context.Context, name string) error {
	_, err := c.call(ctx, http.MethodDelete, name, nil)
	return err
}

func (c *Client) call(ctx context.Context, method, name string, body []byte) ([]byte, error) {
	httpRequest, err := http.NewRequestWithContext(ctx, method, c.URL+"/objects/"+name, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	response, err := c.HTTP.Do(httpRequest)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode == http.StatusNotFound {
		return nil, ErrMissing
	}
	if response.StatusCode != http.StatusOK {
		return nil, errors.Newf("object store responded with status %d", response.StatusCode)
	}
	return io.ReadAll(io.LimitReader(response.Body, maxObjectBytes))
}
