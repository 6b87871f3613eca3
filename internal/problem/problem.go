// Package problem writes and reads typed refusals as problem details, RFC 9457.
package problem

import (
	"encoding/json"
	"net/http"
)

// Ran says whether a refused request ran at an endpoint.
type Ran string

// Values of Ran.
const (
	// RanNo: the request did not run and will not run.
	RanNo Ran = "no"
	// RanUnknown: the request may have run.
	RanUnknown Ran = "unknown"
)

// ContentType of problem details.
const ContentType = "application/problem+json"

// Details is the body of a refusal.
type Details struct {
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail"`
	Ran    Ran    `json:"ran"`
}

// Write sends a refusal.
func Write(w http.ResponseWriter, status int, ran Ran, detail string) {
	w.Header().Set("Content-Type", ContentType)
	w.Header().Del("Content-Length")
	w.WriteHeader(status)
	details := Details{Title: http.StatusText(status), Status: status, Detail: detail, Ran: ran}
	// The status has been sent; a caller that has gone needs no body.
	_ = json.NewEncoder(w).Encode(details)
}
