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

// MaxBodyBytes is the most bytes of a request's body.
const MaxBodyBytes = config.MaxSectionBytes + 64<<10

// NewHandler returns the HTTP handler of the interface. Every request carries a
// team's token as "Authorization: Bearer <token>".
func NewHandler(control Control) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /v1/config", answer(func(r *http.Request, token string) (any, error) {
		return control.Config(r.Context(), token)
	}))
	mux.Handle("GET /v1/sections/{section...}", answer(func(r *http.Request, token string) (any, error) {
		return control.Section(r.Context(), token, config.Section(r.PathValue("section")))
	}))
	mux.Handle("GET /v1/history", answer(func(r *http.Request, token string) (any, error) {
		after, err := revision(r, "after")
		if err != nil {
			return nil, err
		}
		return control.History(r.Context(), token, after)
	}))
	mux.Handle("GET /v1/diff", answer(func(r *http.Request, token string) (any, error) {
		return diff(r, token, control)
	}))
	mux.Handle("GET /v1/status", answer(func(r *http.Request, token string) (any, error) {
		return control.Status(r.Context(), token)
	}))
	mux.Handle("POST /v1/submit", answer(accept(control.Submit)))
	mux.Handle("POST /v1/datacentre", answer(accept(control.SetDataCentre)))
	mux.Handle("POST /v1/drain", answer(accept(control.Drain)))
	return mux
}

func diff(r *http.Request, token string, control Control) (any, error) {
	from, err := revision(r, "from")
	if err != nil {
		return nil, err
	}
	to, err := revision(r, "to")
	if err != nil {
		return nil, err
	}
	return control.Diff(r.Context(), token, from, to)
}

// revision returns a query parameter that holds a revision, zero without it.
func revision(r *http.Request, name string) (core.Revision, error) {
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

// accept returns the function that reads a request's body and hands it to the
// method.
func accept[R any](method func(context.Context, string, R) (Accepted, error)) func(*http.Request, string) (any, error) {
	return func(r *http.Request, token string) (any, error) {
		var request R
		err := read(r, &request)
		if err != nil {
			return nil, err
		}
		return method(r.Context(), token, request)
	}
}

func read(r *http.Request, request any) error {
	body, err := io.ReadAll(io.LimitReader(r.Body, MaxBodyBytes+1))
	if err != nil {
		return badRequest("the body can't be read: %v", err)
	}
	if len(body) > MaxBodyBytes {
		return badRequest("the body is longer than %d bytes", MaxBodyBytes)
	}
	faults := strictjson.Decode(body, request)
	if len(faults) > 0 {
		return badRequest("the body has faults:\n%v", faults)
	}
	return nil
}

// answer returns a handler that writes what the function returns as JSON.
func answer(function func(*http.Request, string) (any, error)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		token, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		result, err := function(r, token)
		if err != nil {
			refuse(w, err)
			return
		}
		write(w, http.StatusOK, result)
	})
}

func refuse(w http.ResponseWriter, err error) {
	var failure *Error
	if !errors.As(err, &failure) {
		failure = &Error{Code: CodeUnknown, Message: err.Error()}
	}
	write(w, statusOf(failure.Code), failure)
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

func write(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
