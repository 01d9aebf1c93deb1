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
	// callTimeout bounds one call of one control instance.
	callTimeout = 5 * time.Second
	// roundPause is the pause after all control instances were asked in vain.
	roundPause = 200 * time.Millisecond
	// maxReplyBytes is the most bytes of an answer that are read.
	maxReplyBytes = 64 << 20
)

// Client calls the control instances of a deployment until one that leads
// answers. A request whose outcome is unknown is sent again, with the same
// request ID, until ctx is done.
type Client struct {
	controls []netip.AddrPort
	token    string
	http     *http.Client
}

// NewClient returns a client for the operators' addresses of control
// instances.
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

// History returns the kept changes after a revision.
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

// SetDataCentre puts a data centre in or out.
func (c *Client) SetDataCentre(ctx context.Context, request SetDataCentre) (Accepted, error) {
	return call[Accepted](ctx, c, http.MethodPost, "/v1/datacentre", request)
}

// Drain sets or lifts the wish that a backend server drains.
func (c *Client) Drain(ctx context.Context, request Drain) (Accepted, error) {
	return call[Accepted](ctx, c, http.MethodPost, "/v1/drain", request)
}

// call asks one control instance after the other. A refusal by the leader is
// final; everything else is tried again until ctx is done.
func call[A any](ctx context.Context, c *Client, method, path string, request any) (A, error) {
	var last error
	for turn := 0; ctx.Err() == nil; turn++ {
		control := c.controls[turn%len(c.controls)]
		var reply A
		err := c.once(ctx, control, method, path, request, &reply)
		if err == nil || final(err) {
			return reply, err
		}
		last = core.At(core.Step(method+" "+path), core.Peer(control.String()), err)
		if (turn+1)%len(c.controls) == 0 {
			pause(ctx)
		}
	}
	var none A
	if last == nil {
		last = ctx.Err()
	}
	message := fmt.Sprintf("no leading control instance answered in time, so the outcome is unknown; repeat the command with the same --request-id (last: %v)", last)
	return none, &Error{Code: CodeUnknown, Message: message}
}

func final(err error) bool {
	var failure *Error
	if !errors.As(err, &failure) {
		return false
	}
	return failure.Code != CodeNotLeader && failure.Code != CodeUnknown
}

func pause(ctx context.Context) {
	timer := time.NewTimer(roundPause)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

func (c *Client) once(ctx context.Context, control netip.AddrPort, method, path string, request, reply any) error {
	body, err := encode(request)
	if err != nil {
		return err
	}
	call, err := http.NewRequestWithContext(ctx, method, "http://"+control.String()+path, body)
	if err != nil {
		return errors.Trace(err)
	}
	call.Header.Set("Authorization", "Bearer "+c.token)
	response, err := c.http.Do(call)
	if err != nil {
		return errors.Trace(err)
	}
	defer func() { _ = response.Body.Close() }()
	return decode(response, reply)
}

func encode(request any) (io.Reader, error) {
	if request == nil {
		return http.NoBody, nil
	}
	body, err := json.Marshal(request)
	if err != nil {
		return nil, &Error{Code: CodeBadRequest, Message: "the request has no JSON form: " + err.Error()}
	}
	return bytes.NewReader(body), nil
}

func decode(response *http.Response, reply any) error {
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
		return errors.Errorf("answered with status %s", response.Status)
	}
	return failure
}
