// Package problem writes and reads typed refusals as problem details (RFC 9457).
package problem

import (
	"encoding/json"
	"io"
	"mime"
	"net/http"
	"strings"
)

// Ran states whether a refused request ran at an endpoint.
type Ran string

// Values of Ran.
const (
	// RanNo means that the request did not run and will not run.
	RanNo Ran = "no"
	// RanUnknown means that the request may have run.
	RanUnknown Ran = "unknown"
	// RanYes means that the request ran, but its response is not available.
	RanYes Ran = "yes"
)

// Type identifies the kind of a refusal. It is the type member of the problem details.
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
	// ContentType is the media type of problem details.
	ContentType = "application/problem+json"
	// MaxDetailsBytes is the maximum length of problem details that are read.
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

// Refusal describes a refusal that Write sends.
type Refusal struct {
	Status int
	Type   Type
	Ran    Ran
	Detail string
}

// Write sends the refusal as problem details.
func (r Refusal) Write(w http.ResponseWriter) {
	w.Header().Set("Content-Type", ContentType)
	w.Header().Del("Content-Length")
	w.WriteHeader(r.Status)
	details := Details{Type: r.Type, Title: http.StatusText(r.Status), Status: r.Status, Detail: r.Detail, Ran: r.Ran}
	// The status has already been sent, and a caller that has disconnected needs no body.
	_ = json.NewEncoder(w).Encode(details)
}

// HasDetails reports whether the content type of a response is that of problem details.
func HasDetails(response *http.Response) bool {
	media, _, err := mime.ParseMediaType(response.Header.Get("Content-Type"))
	return err == nil && media == ContentType
}

// Read decodes problem details. Those of another origin, such as an endpoint, may
// have an empty Ran.
func Read(body io.Reader) (*Details, error) {
	details := new(Details)
	if err := json.NewDecoder(io.LimitReader(body, MaxDetailsBytes)).Decode(details); err != nil {
		return nil, err
	}
	return details, nil
}

// typePrefix is the prefix of every Type of this system.
const typePrefix = "urn:sassafrasturn:"

// IsFromSystem reports whether the details were written by this system and not by
// an endpoint.
func (d *Details) IsFromSystem() bool {
	return strings.HasPrefix(string(d.Type), typePrefix)
}
