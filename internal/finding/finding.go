// Package finding collects the errors in settings and documents, so that all of
// them are reported at once.
package finding

import (
	"fmt"
	"strings"
)

// Finding is one error in a file, with its location.
type Finding struct {
	File    string
	Section string
	Key     string
	// Found is the value in the file.
	Found string
	// Allowed describes the values that are accepted.
	Allowed string
}

// String returns the finding as one line.
func (f Finding) String() string {
	location := f.File
	if f.Section != "" {
		location += ": [" + f.Section + "]"
	}
	if f.Key != "" {
		location += " " + f.Key
	}
	return fmt.Sprintf("%s: found %q, allowed: %s", location, f.Found, f.Allowed)
}

// List collects findings. The zero value is ready to use.
type List struct {
	items []Finding
}

// Add appends a finding.
func (l *List) Add(f Finding) {
	l.items = append(l.items, f)
}

// Items returns the findings in the order in which they were added.
func (l *List) Items() []Finding {
	return l.items
}

// Err returns the findings as one error, or nil if there are none.
func (l *List) Err() error {
	if len(l.items) == 0 {
		return nil
	}
	return &Error{Findings: l.items}
}

// Error is an error that contains all findings.
type Error struct {
	Findings []Finding
}

// Error returns the findings, one per line.
func (e *Error) Error() string {
	lines := make([]string, 0, len(e.Findings))
	for _, f := range e.Findings {
		lines = append(lines, f.String())
	}
	return strings.Join(lines, "\n")
}
