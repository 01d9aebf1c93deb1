package operator

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/juju/errors"
	"zinniapulley.dev/config"
	"zinniapulley.dev/core"
	"zinniapulley.dev/core/strictjson"
)

// MaxBodyBytes is the maximum size of a request body.
const MaxBodyBytes = config.MaxSectionBytes + 64<<10

// NewHandler returns an HTTP handler that serves control. Every request carries a
// team's token as "Authorization: Bearer <token>".
func NewHandler(control Control) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /v1/config", jsonHandler(func(r *http.Request, token string) (any, error) {
		return control.Config(r.Context(), token)
	}))
	mux.Handle("GET /v1/sections/{section...}", jsonHandler(func(r *http.Request, token string) (any, error) {
		return control.Section(r.Context(), token, config.Section(r.PathValue("section")))
	}))
	mux.Handle("GET /v1/history", jsonHandler(func(r *http.Request, token string) (any, error) {
		after, err := revisionParameter(r, "after")
		if err != nil {
			return nil, err
		}
		return control.History(r.Context(), token, after)
	}))
	mux.Handle("GET /v1/diff", jsonHandler(func(r *http.Request, token string) (any, error) {
		return readDiff(r, token, control)
	}))
	mux.Handle("GET /v1/status", jsonHandler(func(r *http.Request, token string) (any, error) {
		return control.Status(r.Context(), token)
	}))
	mux.Handle("POST /v1/submit", jsonHandler(bodyHandler(control.Submit)))
	mux.Handle("POST /v1/datacentre", jsonHandler(bodyHandler(control.SetDataCentre)))
	mux.Handle("POST /v1/drain", jsonHandler(bodyHandler(control.Drain)))
	return mux
}

func readDiff(r *http.Request, token string, control Control) (any, error) {
	from, err := revisionParameter(r, "from")
	if err != nil {
		return nil, err
	}
	to, err := revisionParameter(r, "to")
	if err != nil {
		return nil, err
	}
	return control.Diff(r.Context(), token, from, to)
}

// revisionParameter parses a query parameter as a revision. An absent parameter
// gives zero.
func revisionParameter(r *http.Request, name string) (core.Revision, error) {
	text := r.URL.Query().Get(name)
	if text == "" {
		return 0, nil
	}
	number, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, badRequest("parameter %s must be a revision, not %.40q", name, text)
	}
	return core.Revision(number), nil
}

func badRequest(format string, args ...any) error {
	return &Error{Code: CodeBadRequest, Message: errors.Errorf(format, args...).Error()}
}

// bodyHandler returns a function that decodes the request body and calls the
// method with it.
func bodyHandler[R any](method func(context.Context, string, R) (Accepted, error)) func(*http.Request, string) (any, error) {
	return func(r *http.Request, token string) (any, error) {
		var request R
		err := decodeBody(r, &request)
		if err != nil {
			return nil, err
		}
		return method(r.Context(), token, request)
	}
}

func decodeBody(r *http.Request, request any) error {
	body, err := io.ReadAll(io.LimitReader(r.Body, MaxBodyBytes+1))
	if err != nil {
		return badRequest("read request body: %v", err)
	}
	if len(body) > MaxBodyBytes {
		return badRequest("request body exceeds %d bytes", MaxBodyBytes)
	}
	faults := strictjson.Decode(body, request)
	if len(faults) > 0 {
		return badRequest("invalid request body:\n%v", faults)
	}
	return nil
}

// jsonHandler returns a handler that writes the result or error of handle as JSON.
func jsonHandler(handle func(*http.Request, string) (any, error)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		token, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		result, err := handle(r, token)
		if err != nil {
			writeError(w, err)
			return
		}
		writeJSON(w, http.StatusOK, result)
	})
}

func writeError(w http.ResponseWriter, err error) {
	var failure *Error
	if !errors.As(err, &failure) {
		failure = &Error{Code: CodeUnknown, Message: err.Error()}
	}
	writeJSON(w, statusOf(failure.Code), failure)
}

func statusOf(code Code) int {
	switch code {
	case CodeBadRequest:
		return http.StatusBadRequest
	case CodeUnauthorized:
		return http.StatusUnauthorized
	case CodeForbidden:
		return http.StatusForbidden
	case CodeNotFound:
		return http.StatusNotFound
	case CodeConflict, CodeReusedID:
		return http.StatusConflict
	case CodeInvalid:
		return http.StatusUnprocessableEntity
	case CodeNotLeader:
		return http.StatusMisdirectedRequest
	default:
		return http.StatusServiceUnavailable
	}
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
