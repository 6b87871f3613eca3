package caller

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"

	"sassafrasturn.example/internal/problem"
)

// Ran reports whether a request ran at an endpoint.
type Ran = problem.Ran

// Values of Ran.
const (
	// RanNo means that the request did not run and will not run.
	RanNo = problem.RanNo
	// RanUnknown means that the request may have run.
	RanUnknown = problem.RanUnknown
	// RanYes means that the request ran, but its response is not available.
	RanYes = problem.RanYes
)

// Error is the error of a request that got no complete response.
type Error struct {
	Ran Ran
	// Err is the cause of the last failed attempt. errors.Is finds context errors
	// in it.
	Err error
}

// Error returns a description that includes Ran and the cause.
func (e *Error) Error() string {
	return fmt.Sprintf("no response (request ran: %s): %v", e.Ran, e.Err)
}

// Unwrap returns the cause of the last failed attempt.
func (e *Error) Unwrap() error {
	return e.Err
}

// Timeout reports whether the deadline of the request's context was exceeded.
func (e *Error) Timeout() bool {
	return errors.Is(e.Err, context.DeadlineExceeded)
}

// Refusal is a response of the load balancer itself, not of an endpoint.
type Refusal struct {
	Status int
	// Type is the URN of the kind of refusal.
	Type   string
	Detail string
	Ran    Ran
}

// RefusalOf returns the refusal that a response carries, and whether it carries
// one. The response body can still be read from its start afterwards.
func RefusalOf(response *http.Response) (*Refusal, bool) {
	if !problem.HasDetails(response) {
		return nil, false
	}
	text, err := io.ReadAll(io.LimitReader(response.Body, problem.MaxDetailsBytes))
	response.Body = &joinedBody{Reader: io.MultiReader(bytes.NewReader(text), response.Body), Closer: response.Body}
	if err != nil {
		return nil, false
	}
	details, err := problem.Read(bytes.NewReader(text))
	if err != nil || !details.IsFromSystem() {
		return nil, false
	}
	return &Refusal{Status: details.Status, Type: string(details.Type), Detail: details.Detail, Ran: details.Ran}, true
}

type joinedBody struct {
	io.Reader
	io.Closer
}
