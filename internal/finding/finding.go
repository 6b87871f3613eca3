// Package finding collects what is wrong with settings and documents, so that
// a person sees all of it at once.
package finding

import (
	"fmt"
	"strings"
)

// Finding is one thing that is wrong, with its place.
type Finding struct {
	File    string
	Section string
	Key     string
	// Found is the value as it stands in the file.
	Found string
	// Allowed says what would be accepted instead.
	Allowed string
}

// String gives the finding as one line.
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

// Err returns the findings as one error, or nil when there are none.
func (l *List) Err() error {
	if len(l.items) == 0 {
		return nil
	}
	return &Error{Findings: l.items}
}

// Error reports all findings together.
type Error struct {
	Findings []Finding
}

// Error lists the findings, one a line.
func (e *Error) Error() string {
	lines := make([]string, 0, len(e.Findings))
	for _, f := range e.Findings {
		lines = append(lines, f.String())
	}
	return strings.Join(lines, "\n")
}
