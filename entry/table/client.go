package table

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"
)

const maxResponseBytes = 256 << 20

// Row is one row of the table. A version of zero means that the row does not exist.
type Row struct {
	Key     string
	Value   []byte
	Version uint64
}

// Write replaces or deletes one row.
type Write struct {
	Key    string
	Value  []byte
	Delete bool
}

// Client calls the table service. After an error of Transact it is unknown whether the transaction took effect.
type Client struct {
	URL  string
	HTTP *http.Client
}

type wireRow struct {
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"version"`
	Delete  bool   `json:"delete,omitempty"`
}

type wireRequest struct {
	Keys       []string  `json:"keys,omitempty"`
	Prefix     string    `json:"prefix,omitempty"`
	After      string    `json:"after,omitempty"`
	Limit      int       `json:"limit,omitempty"`
	Conditions []wireRow `json:"conditions,omitempty"`
	Writes     []wireRow `json:"writes,omitempty"`
}

type wireResponse struct {
	Rows []wireRow `json:"rows"`
}

// Get returns one row for each key, in order.
func (c *Client) Get(ctx context.Context, keys []string) ([]Row, error) {
	rows, _, err := c.call(ctx, "/table/get", wireRequest{Keys: keys})
	if err == nil && len(rows) != len(keys) {
		return nil, errors.Newf("requested %d rows, got %d", len(keys), len(rows))
	}
	return rows, err
}

// Scan returns at most limit rows whose keys have the prefix and sort after the given key.
func (c *Client) Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error) {
	rows, _, err := c.call(ctx, "/table/scan", wireRequest{Prefix: prefix, After: after, Limit: limit})
	return rows, err
}

// Transact applies all writes if every condition row has the given version; otherwise it returns the rows that differ.
func (c *Client) Transact(ctx context.Context, conditions []Row, writes []Write) ([]Row, error) {
	request := wireRequest{}
	for _, row := range conditions {
		request.Conditions = append(request.Conditions, wireRow{Key: row.Key, Version: row.Version})
	}
	for _, w := range writes {
		request.Writes = append(request.Writes, wireRow{Key: w.Key, Value: w.Value, Delete: w.Delete})
	}
	rows, status, err := c.call(ctx, "/table/transact", request)
	if err == nil && status == http.StatusConflict && len(rows) == 0 {
		return nil, errors.New("table service reported a conflict without rows")
	}
	return rows, err
}

func (c *Client) call(ctx context.Context, path string, request wireRequest) ([]Row, int, error) {
	body, err := json.Marshal(request)
	if err != nil {
		return nil, 0, err
	}
	httpRequest, err := http.NewRequestWithContext(ctx, http.MethodPost, c.URL+path, bytes.NewReader(body))
	if err != nil {
		return nil, 0, err
	}
	response, err := c.HTTP.Do(httpRequest)
	if err != nil {
		return nil, 0, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK && response.StatusCode != http.StatusConflict {
		return nil, response.StatusCode, errors.Newf("table service responded with status %d", response.StatusCode)
	}
	var wire wireResponse
	if err := json.NewDecoder(io.LimitReader(response.Body, maxResponseBytes)).Decode(&wire); err != nil {
		return nil, response.StatusCode, err
	}
	rows := make([]Row, 0, len(wire.Rows))
	for _, row := range wire.Rows {
		rows = append(rows, Row{Key: row.Key, Value: row.Value, Version: row.Version})
	}
	return rows, response.StatusCode, nil
}
