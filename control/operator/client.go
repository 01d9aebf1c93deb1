package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"time"

	"github.com/juju/errors"
	"zinniapulley.dev/config"
	"zinniapulley.dev/core"
)

const (
	// callTimeout bounds one call to one control instance.
	callTimeout = 5 * time.Second
	// roundInterval is the pause after no control instance has answered a request.
	roundInterval = 200 * time.Millisecond
	// maxReplyBytes is the most bytes of a response body that are read.
	maxReplyBytes = 64 << 20
)

// Client calls the control instances of a deployment in turn until the leader
// answers. A request whose outcome is unknown is retried with the same request ID
// until ctx is done.
type Client struct {
	controls []netip.AddrPort
	token    string
	http     *http.Client
}

// NewClient returns a client for the control instances at the given operators'
// addresses.
func NewClient(controls []netip.AddrPort, token string) *Client {
	return &Client{controls: controls, token: token, http: &http.Client{Timeout: callTimeout}}
}

// Config returns the whole configuration.
func (c *Client) Config(ctx context.Context) (Config, error) {
	return call[Config](ctx, c, http.MethodGet, "/v1/config", nil)
}

// Section returns one section.
func (c *Client) Section(ctx context.Context, section config.Section) (Section, error) {
	path := url.URL{Path: "/v1/sections/" + string(section)}
	return call[Section](ctx, c, http.MethodGet, path.EscapedPath(), nil)
}

// History returns the retained changes after a revision.
func (c *Client) History(ctx context.Context, after core.Revision) (History, error) {
	return call[History](ctx, c, http.MethodGet, fmt.Sprintf("/v1/history?after=%d", after), nil)
}

// Diff returns what changed between two revisions.
func (c *Client) Diff(ctx context.Context, from, to core.Revision) (Diff, error) {
	return call[Diff](ctx, c, http.MethodGet, fmt.Sprintf("/v1/diff?from=%d&to=%d", from, to), nil)
}

// Status returns the state of the deployment.
func (c *Client) Status(ctx context.Context) (Status, error) {
	return call[Status](ctx, c, http.MethodGet, "/v1/status", nil)
}

// Submit replaces one section.
func (c *Client) Submit(ctx context.Context, request Submit) (Accepted, error) {
	return call[Accepted](ctx, c, http.MethodPost, "/v1/submit", request)
}

// SetDataCentre takes a data centre out of service or puts it back.
func (c *Client) SetDataCentre(ctx context.Context, request SetDataCentre) (Accepted, error) {
	return call[Accepted](ctx, c, http.MethodPost, "/v1/datacentre", request)
}

// Drain starts or ends draining of a backend server.
func (c *Client) Drain(ctx context.Context, request Drain) (Accepted, error) {
	return call[Accepted](ctx, c, http.MethodPost, "/v1/drain", request)
}

// call sends the request to one control instance after the other. A refusal by
// the leader is final; any other failure is retried until ctx is done.
func call[A any](ctx context.Context, c *Client, method, path string, request any) (A, error) {
	var lastErr error
	for attempt := 0; ctx.Err() == nil; attempt++ {
		control := c.controls[attempt%len(c.controls)]
		var reply A
		err := c.callOnce(ctx, control, method, path, request, &reply)
		if err == nil || isFinal(err) {
			return reply, err
		}
		lastErr = core.At(core.Step(method+" "+path), core.Peer(control.String()), err)
		if (attempt+1)%len(c.controls) == 0 {
			waitForNextRound(ctx)
		}
	}
	var zero A
	if lastErr == nil {
		lastErr = ctx.Err()
	}
	message := fmt.Sprintf("no leading control instance answered in time, so the outcome is unknown; repeat the command with the same --request-id (last error: %v)", lastErr)
	return zero, &Error{Code: CodeUnknown, Message: message}
}

func isFinal(err error) bool {
	var failure *Error
	if !errors.As(err, &failure) {
		return false
	}
	return failure.Code != CodeNotLeader && failure.Code != CodeUnknown
}

func waitForNextRound(ctx context.Context) {
	timer := time.NewTimer(roundInterval)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

func (c *Client) callOnce(ctx context.Context, control netip.AddrPort, method, path string, request, reply any) error {
	body, err := encodeRequest(request)
	if err != nil {
		return err
	}
	httpRequest, err := http.NewRequestWithContext(ctx, method, "http://"+control.String()+path, body)
	if err != nil {
		return errors.Trace(err)
	}
	httpRequest.Header.Set("Authorization", "Bearer "+c.token)
	response, err := c.http.Do(httpRequest)
	if err != nil {
		return errors.Trace(err)
	}
	defer func() { _ = response.Body.Close() }()
	return decodeResponse(response, reply)
}

func encodeRequest(request any) (io.Reader, error) {
	if request == nil {
		return http.NoBody, nil
	}
	body, err := json.Marshal(request)
	if err != nil {
		return nil, &Error{Code: CodeBadRequest, Message: "encode request as JSON: " + err.Error()}
	}
	return bytes.NewReader(body), nil
}

func decodeResponse(response *http.Response, reply any) error {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes))
	if err != nil {
		return errors.Trace(err)
	}
	if response.StatusCode == http.StatusOK {
		return errors.Trace(json.Unmarshal(body, reply))
	}
	failure := &Error{}
	err = json.Unmarshal(body, failure)
	if err != nil || failure.Code == "" {
		return errors.Errorf("unexpected response status %s", response.Status)
	}
	return failure
}
