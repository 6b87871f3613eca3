// Package problem writes and reads typed refusals as problem details, RFC 9457.
package problem

import (
	"encoding/json"
	"io"
	"mime"
	"net/http"
	"strings"
)

// Ran says whether a refused request ran at an endpoint.
type Ran string

// Values of Ran.
const (
	// RanNo: the request did not run and will not run.
	RanNo Ran = "no"
	// RanUnknown: the request may have run.
	RanUnknown Ran = "unknown"
	// RanYes: the request ran, but its answer cannot be given.
	RanYes Ran = "yes"
)

// Type tells refusals apart; it is the type member of the problem details.
type Type string

// Types of refusals.
const (
	TypeKeyRequired     Type = "urn:sassafrasturn:key-required"
	TypeKeyVoid         Type = "urn:sassafrasturn:key-void"
	TypeKeyUnproven     Type = "urn:sassafrasturn:key-unproven"
	TypeKeyMismatch     Type = "urn:sassafrasturn:key-mismatch"
	TypeStillRunning    Type = "urn:sassafrasturn:still-running"
	TypeOutcomeUnknown  Type = "urn:sassafrasturn:outcome-unknown"
	TypeAnswerNotKept   Type = "urn:sassafrasturn:answer-not-kept"
	TypeOverloaded      Type = "urn:sassafrasturn:overloaded"
	TypeNoEndpoint      Type = "urn:sassafrasturn:endpoint-unreachable"
	TypeEndpointFailed  Type = "urn:sassafrasturn:endpoint-failed"
	TypeTimeout         Type = "urn:sassafrasturn:timeout"
	TypeBadRequest      Type = "urn:sassafrasturn:bad-request"
	TypeRequestTooLarge Type = "urn:sassafrasturn:request-too-large"
)

const (
	// ContentType of problem details.
	ContentType = "application/problem+json"
	// MaxDetailsBytes bounds the problem details that are read.
	MaxDetailsBytes = 16 << 10
)

// Details is the body of a refusal.
type Details struct {
	Type   Type   `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail"`
	Ran    Ran    `json:"ran"`
}

// Refusal is a refusal before it is written.
type Refusal struct {
	Status int
	Type   Type
	Ran    Ran
	Detail string
}

// Write sends the refusal.
func (r Refusal) Write(w http.ResponseWriter) {
	w.Header().Set("Content-Type", ContentType)
	w.Header().Del("Content-Length")
	w.WriteHeader(r.Status)
	details := Details{Type: r.Type, Title: http.StatusText(r.Status), Status: r.Status, Detail: r.Detail, Ran: r.Ran}
	// The status has been sent; a caller that has gone needs no body.
	_ = json.NewEncoder(w).Encode(details)
}

// HasDetails reports whether the answer carries problem details.
func HasDetails(response *http.Response) bool {
	media, _, err := mime.ParseMediaType(response.Header.Get("Content-Type"))
	return err == nil && media == ContentType
}

// Read reads problem details. Details of an unknown origin, such as those of an
// endpoint, have an empty Ran.
func Read(body io.Reader) (*Details, error) {
	details := new(Details)
	if err := json.NewDecoder(io.LimitReader(body, MaxDetailsBytes)).Decode(details); err != nil {
		return nil, err
	}
	return details, nil
}

// typePrefix begins every Type of the system.
const typePrefix = "urn:sassafrasturn:"

// IsFromSystem reports whether the details were written by the system and not by
// an endpoint.
func (d *Details) IsFromSystem() bool {
	return strings.HasPrefix(string(d.Type), typePrefix)
}
