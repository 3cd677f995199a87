package client

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	timeout      = 15 * time.Second
	maxAnswer    = 256 << 20
	writeRetries = 3
)

// Refusal is an answer by which the entry refused a request.
type Refusal struct {
	Code   int
	Name   string
	Text   string
	Detail string
}

// Error describes the refusal in one line or, when records were refused, in one line for each problem.
func (r *Refusal) Error() string {
	if r.Detail == "" {
		return fmt.Sprintf("%s (%d): %s", r.Name, r.Code, r.Text)
	}
	return fmt.Sprintf("%s (%d): %s: %s", r.Name, r.Code, r.Text, r.Detail)
}

// Client calls the first entry that answers; its exported fields are set before use.
type Client struct {
	URLs            []string
	TokenFile       string
	CAFile          string
	CertificateFile string
	KeyFile         string
	Operator        string

	http *http.Client
}

// Get reads a page.
func (c *Client) Get(ctx context.Context, path string, query url.Values) ([]byte, error) {
	return c.call(ctx, http.MethodGet, path, query, nil)
}

// Post sends a body.
func (c *Client) Post(ctx context.Context, path string, query url.Values, body []byte) ([]byte, error) {
	return c.call(ctx, http.MethodPost, path, query, body)
}

// Write puts or, without a body, deletes a record that has the revision given. An answer that is lost is settled by
// sending the same write id again.
func (c *Client) Write(ctx context.Context, path, file string, body []byte, replaces uint64, writeID string) ([]byte, error) {
	query := url.Values{
		"replaces": {strconv.FormatUint(replaces, 10)},
		"write-id": {writeID},
		"file":     {file},
	}
	method := http.MethodPut
	if body == nil {
		method = http.MethodDelete
	}
	var data []byte
	var err error
	for range writeRetries {
		data, err = c.call(ctx, method, path, query, body)
		var refusal *Refusal
		if err == nil || errors.As(err, &refusal) {
			return data, err
		}
	}
	return data, errors.Wrapf(err, "the outcome is not known; write id %s", writeID)
}

func (c *Client) call(ctx context.Context, method, path string, query url.Values, body []byte) ([]byte, error) {
	if err := c.prepare(); err != nil {
		return nil, err
	}
	var last error
	for _, base := range c.URLs {
		data, err := c.callOne(ctx, method, base+path+"?"+query.Encode(), body)
		var refusal *Refusal
		if err == nil || errors.As(err, &refusal) {
			return data, err
		}
		last = err
	}
	return nil, last
}

func (c *Client) callOne(ctx context.Context, method, address string, body []byte) ([]byte, error) {
	bounded, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	call, err := http.NewRequestWithContext(bounded, method, address, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	call.Header.Set("Poplar-Operator", c.Operator)
	if c.TokenFile != "" {
		token, err := os.ReadFile(c.TokenFile)
		if err != nil {
			return nil, errors.Wrap(err, "token file")
		}
		call.Header.Set("Authorization", "Bearer "+strings.TrimSpace(string(token)))
	}
	answer, err := c.http.Do(call)
	if err != nil {
		return nil, err
	}
	defer func() { _ = answer.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(answer.Body, maxAnswer))
	if err != nil {
		return nil, err
	}
	if answer.StatusCode != http.StatusOK {
		return nil, parseRefusal(answer.StatusCode, data)
	}
	return data, nil
}

type wireRefusal struct {
	Code   int    `json:"code"`
	Name   string `json:"name"`
	Text   string `json:"text"`
	Detail string `json:"detail"`
}

func parseRefusal(status int, data []byte) error {
	var wire wireRefusal
	if err := json.Unmarshal(data, &wire); err != nil || wire.Code == 0 {
		return errors.Newf("the entry answered %d", status)
	}
	return &Refusal{Code: wire.Code, Name: wire.Name, Text: wire.Text, Detail: wire.Detail}
}

func (c *Client) prepare() error {
	if c.http != nil {
		return nil
	}
	if len(c.URLs) == 0 {
		return errors.New("no entry is named; use --entry or POPLAR_ENTRY")
	}
	config := &tls.Config{MinVersion: tls.VersionTLS12}
	if c.CAFile != "" {
		data, err := os.ReadFile(c.CAFile)
		if err != nil {
			return errors.Wrap(err, "CA file")
		}
		config.RootCAs = x509.NewCertPool()
		if !config.RootCAs.AppendCertsFromPEM(data) {
			return errors.Newf("no certificate in %s", c.CAFile)
		}
	}
	if c.CertificateFile != "" {
		pair, err := tls.LoadX509KeyPair(c.CertificateFile, c.KeyFile)
		if err != nil {
			return errors.Wrap(err, "client certificate")
		}
		config.Certificates = []tls.Certificate{pair}
	}
	c.http = &http.Client{Transport: &http.Transport{TLSClientConfig: config}}
	return nil
}
