package objects

import (
	"bytes"
	"context"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"
)

const maxObjectBytes = 256 << 20

// ErrMissing says that there is no such object.
var ErrMissing = errors.New("no such object")

// Client calls the object store.
type Client struct {
	URL  string
	HTTP *http.Client
}

// Put replaces an object.
func (c *Client) Put(ctx context.Context, name string, body []byte) error {
	_, err := c.call(ctx, http.MethodPut, name, body)
	return err
}

// Get returns an object, or ErrMissing.
func (c *Client) Get(ctx context.Context, name string) ([]byte, error) {
	return c.call(ctx, http.MethodGet, name, nil)
}

// Delete removes an object; a missing one is no error.
func (c *Client) Delete(ctx context.Context, name string) error {
	_, err := c.call(ctx, http.MethodDelete, name, nil)
	return err
}

func (c *Client) call(ctx context.Context, method, name string, body []byte) ([]byte, error) {
	call, err := http.NewRequestWithContext(ctx, method, c.URL+"/objects/"+name, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	answer, err := c.HTTP.Do(call)
	if err != nil {
		return nil, err
	}
	defer func() { _ = answer.Body.Close() }()
	if answer.StatusCode == http.StatusNotFound {
		return nil, ErrMissing
	}
	if answer.StatusCode != http.StatusOK {
		return nil, errors.Newf("object store answered %d", answer.StatusCode)
	}
	return io.ReadAll(io.LimitReader(answer.Body, maxObjectBytes))
}
