// Package contract parses and validates service documents, the INI files in
// which a team describes one of its services.
package contract

import (
	"net/netip"
	"regexp"
	"strings"
	"time"

	"sassafrasturn.example/internal/finding"
	"sassafrasturn.example/internal/inifile"
)

// MaxDocumentBytes limits the size of a service document.
const MaxDocumentBytes = 64 << 10

// Defaults and limits of the values of a document.
const (
	DefaultSlots          = 5
	DefaultConnections    = 2000
	DefaultQueue          = 50
	DefaultRequestTimeout = 30 * time.Second
	DefaultRampStart      = 1
	DefaultRampAnswers    = 64

	maxSlots          = 10_000
	maxRampAnswers    = 1000
	maxConnections    = 1_000_000
	maxQueue          = 10_000
	minRequestTimeout = 10 * time.Millisecond
	maxRequestTimeout = time.Hour
)

const (
	sectionService   = "service"
	sectionEndpoints = "endpoints"
	sectionRamp      = "ramp"
	sectionRequests  = "requests"
	sectionLimits    = "limits"
)

// Document is a parsed service document.
type Document struct {
	// Service is the name of the service.
	Service string
	// Address is the address and port that callers dial.
	Address netip.AddrPort
	// EditedFrom is the version that the document was edited from, or 0 for a
	// new service.
	EditedFrom uint64
	// Allow lists the networks whose endpoints may serve the service.
	Allow []netip.Prefix
	// Slots is the maximum number of concurrent requests of a warm endpoint.
	Slots int
	// Connections is the maximum number of flows of an endpoint.
	Connections int
	// RampStart is the initial number of concurrent requests of a cold endpoint.
	RampStart int
	// RampAnswers is the number of responses of an endpoint that each increase of
	// its limit is based on.
	RampAnswers int
	// NonIdempotent lists the requests that must run at most once.
	NonIdempotent []Pattern
	// Streaming lists the requests that release their slot when their response begins.
	Streaming []Pattern
	// Queue is the maximum number of requests that wait for a slot of an endpoint.
	Queue int
	// RequestTimeout limits the time until the response begins, for requests
	// without a deadline.
	RequestTimeout time.Duration
}

var serviceName = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

// Parse parses and validates a document. name is the file name in findings. The
// error, if any, is a *finding.Error with all findings.
func Parse(name string, data []byte) (*Document, error) {
	var findings finding.List
	if len(data) > MaxDocumentBytes {
		findings.Add(finding.Finding{File: name, Found: "a larger file", Allowed: "at most 64 KiB"})
		return nil, findings.Err()
	}
	file := inifile.Parse(name, data, &findings)
	doc := read(file)
	file.ReportUnknown()
	if err := findings.Err(); err != nil {
		return nil, err
	}
	return doc, nil
}

func read(file *inifile.File) *Document {
	doc := &Document{
		Service:        readName(file),
		Address:        file.RequiredAddrPort(sectionService, "address"),
		EditedFrom:     uint64(file.Int(sectionService, "version", 0, 0, 1<<62)),
		Allow:          readAllow(file),
		Slots:          file.Int(sectionEndpoints, "slots", DefaultSlots, 1, maxSlots),
		Connections:    file.Int(sectionEndpoints, "connections", DefaultConnections, 1, maxConnections),
		RampStart:      file.Int(sectionRamp, "start", DefaultRampStart, 1, maxSlots),
		RampAnswers:    file.Int(sectionRamp, "answers", DefaultRampAnswers, 1, maxRampAnswers),
		NonIdempotent:  readPatterns(file, "non_idempotent"),
		Streaming:      readPatterns(file, "streaming"),
		Queue:          file.Int(sectionLimits, "queue", DefaultQueue, 0, maxQueue),
		RequestTimeout: file.Duration(sectionLimits, "request_timeout", DefaultRequestTimeout, minRequestTimeout, maxRequestTimeout),
	}
	if doc.Address.IsValid() && !doc.Address.Addr().Is4() {
		file.Reject(sectionService, "address", doc.Address.String(), "an IPv4 address and a port")
	}
	return doc
}

// ServiceNameFormat describes the names that IsServiceName accepts.
const ServiceNameFormat = "1 to 63 of a-z, 0-9 and -, beginning and ending with a letter or digit"

// IsServiceName reports whether the name is a valid service name.
func IsServiceName(name string) bool {
	return serviceName.MatchString(name)
}

func readName(file *inifile.File) string {
	name := file.String(sectionService, "name", "")
	if !IsServiceName(name) {
		file.Reject(sectionService, "name", name, ServiceNameFormat)
	}
	return name
}

func readAllow(file *inifile.File) []netip.Prefix {
	const allowed = "networks such as 10.0.0.0/8 or addresses, separated by commas"
	items := file.List(sectionEndpoints, "allow")
	if len(items) == 0 {
		file.Reject(sectionEndpoints, "allow", "", allowed)
	}
	var prefixes []netip.Prefix
	for _, item := range items {
		prefix, err := parsePrefix(item)
		if err != nil {
			file.Reject(sectionEndpoints, "allow", item, allowed)
			continue
		}
		prefixes = append(prefixes, prefix)
	}
	return prefixes
}

func parsePrefix(text string) (netip.Prefix, error) {
	if strings.Contains(text, "/") {
		return netip.ParsePrefix(text)
	}
	address, err := netip.ParseAddr(text)
	if err != nil {
		return netip.Prefix{}, err
	}
	return netip.PrefixFrom(address, address.BitLen()), nil
}

func readPatterns(file *inifile.File, key string) []Pattern {
	var patterns []Pattern
	for _, item := range file.List(sectionRequests, key) {
		pattern, ok := ParsePattern(item)
		if !ok {
			file.Reject(sectionRequests, key, item, "method and path, such as POST /orders or GET /drawings/*, separated by commas")
			continue
		}
		patterns = append(patterns, pattern)
	}
	return patterns
}

// Allows reports whether an endpoint at the address may serve the service.
func (d *Document) Allows(address netip.Addr) bool {
	for _, prefix := range d.Allow {
		if prefix.Contains(address) {
			return true
		}
	}
	return false
}

// IsNonIdempotent reports whether the request must run at most once.
func (d *Document) IsNonIdempotent(method, path string) bool {
	return matchAny(d.NonIdempotent, method, path)
}

// IsStreaming reports whether the request releases its slot when its response begins.
func (d *Document) IsStreaming(method, path string) bool {
	return matchAny(d.Streaming, method, path)
}
