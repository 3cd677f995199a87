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
	callTimeout      = 15 * time.Second
	maxResponseBytes = 256 << 20
	maxWriteAttempts = 3
)

// APIError is an error response of the operator API.
type APIError struct {
	Code   int
	Name   string
	Text   string
	Detail string
}

// Error describes the error in one line. If records were rejected, the detail has one line for each problem.
func (e *APIError) Error() string {
	if e.Detail == "" {
		return fmt.Sprintf("%s (%d): %s", e.Name, e.Code, e.Text)
	}
	return fmt.Sprintf("%s (%d): %s: %s", e.Name, e.Code, e.Text, e.Detail)
}

// Client sends each request to the entries in turn until one responds. Its exported fields must be set before use.
type Client struct {
	URLs            []string
	TokenFile       string
	CAFile          string
	CertificateFile string
	KeyFile         string
	Operator        string

	http *http.Client
}

// Get sends a GET request and returns the response body.
func (c *Client) Get(ctx context.Context, path string, query url.Values) ([]byte, error) {
	return c.call(ctx, http.MethodGet, path, query, nil)
}

// Post sends a body and returns the response body.
func (c *Client) Post(ctx context.Context, path string, query url.Values, body []byte) ([]byte, error) {
	return c.call(ctx, http.MethodPost, path, query, body)
}

// Write puts a record or, without a body, deletes it, provided that its current revision is the one in replaces. If no
// response arrives, Write sends the request again with the same write id, so that the entry applies it at most once.
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
	for range maxWriteAttempts {
		data, err = c.call(ctx, method, path, query, body)
		var apiError *APIError
		if err == nil || errors.As(err, &apiError) {
			return data, err
		}
	}
	return data, errors.Wrapf(err, "the outcome is not known; write id %s", writeID)
}

func (c *Client) call(ctx context.Context, method, path string, query url.Values, body []byte) ([]byte, error) {
	if err := c.initHTTP(); err != nil {
		return nil, err
	}
	var lastErr error
	for _, base := range c.URLs {
		data, err := c.callEntry(ctx, method, base+path+"?"+query.Encode(), body)
		var apiError *APIError
		if err == nil || errors.As(err, &apiError) {
			return data, err
		}
		lastErr = err
	}
	return nil, lastErr
}

func (c *Client) callEntry(ctx context.Context, method, address string, body []byte) ([]byte, error) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(callCtx, method, address, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Poplar-Operator", c.Operator)
	if c.TokenFile != "" {
		token, err := os.ReadFile(c.TokenFile)
		if err != nil {
			return nil, errors.Wrap(err, "read token file")
		}
		request.Header.Set("Authorization", "Bearer "+strings.TrimSpace(string(token)))
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		return nil, parseError(response.StatusCode, data)
	}
	return data, nil
}

type wireError struct {
	Code   int    `json:"code"`
	Name   string `json:"name"`
	Text   string `json:"text"`
	Detail string `json:"detail"`
}

func parseError(status int, data []byte) error {
	var wire wireError
	if err := json.Unmarshal(data, &wire); err != nil || wire.Code == 0 {
		return errors.Newf("the entry responded with status %d", status)
	}
	return &APIError{Code: wire.Code, Name: wire.Name, Text: wire.Text, Detail: wire.Detail}
}

func (c *Client) initHTTP() error {
	if c.http != nil {
		return nil
	}
	if len(c.URLs) == 0 {
		return errors.New("no entry was given; use --entry or POPLAR_ENTRY")
	}
	config := &tls.Config{MinVersion: tls.VersionTLS12}
	if c.CAFile != "" {
		data, err := os.ReadFile(c.CAFile)
		if err != nil {
			return errors.Wrap(err, "read CA file")
		}
		config.RootCAs = x509.NewCertPool()
		if !config.RootCAs.AppendCertsFromPEM(data) {
			return errors.Newf("no certificate in %s", c.CAFile)
		}
	}
	if c.CertificateFile != "" {
		pair, err := tls.LoadX509KeyPair(c.CertificateFile, c.KeyFile)
		if err != nil {
			return errors.Wrap(err, "load client certificate")
		}
		config.Certificates = []tls.Certificate{pair}
	}
	c.http = &http.Client{Transport: &http.Transport{TLSClientConfig: config}}
	return nil
}
