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

// Ran says whether a request ran at an endpoint.
type Ran = problem.Ran

// Values of Ran.
const (
	// RanNo: the request did not run and will not run.
	RanNo = problem.RanNo
	// RanUnknown: the request may have run.
	RanUnknown = problem.RanUnknown
	// RanYes: the request ran, but its answer cannot be given.
	RanYes = problem.RanYes
)

// Error is a request without an answer.
type Error struct {
	Ran Ran
	// Err is the last cause; context errors are found by errors.Is.
	Err error
}

// Error describes the error.
func (e *Error) Error() string {
	return fmt.Sprintf("no answer (request ran: %s): %v", e.Ran, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}

// Timeout reports whether the request's time was up.
func (e *Error) Timeout() bool {
	return errors.Is(e.Err, context.DeadlineExceeded)
}

// Refusal is an answer of the system itself, not of an endpoint.
type Refusal struct {
	Status int
	// Type is a URN that tells refusals apart.
	Type   string
	Detail string
	Ran    Ran
}

// RefusalOf reads the refusal that an answer carries; the answer's body can
// still be read afterwards.
func RefusalOf(answer *http.Response) (*Refusal, bool) {
	if !problem.HasDetails(answer) {
		return nil, false
	}
	text, err := io.ReadAll(io.LimitReader(answer.Body, problem.MaxDetailsBytes))
	answer.Body = &joinedBody{Reader: io.MultiReader(bytes.NewReader(text), answer.Body), Closer: answer.Body}
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
