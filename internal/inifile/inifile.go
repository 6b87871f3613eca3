// Package inifile reads INI files strictly: it checks every value, reports unknown
// sections and keys as findings, and collects all findings.
package inifile

import (
	"fmt"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"

	"sassafrasturn.example/internal/finding"
)

// File is a parsed INI file. It records which keys have been read.
type File struct {
	name     string
	parsed   *ini.File
	findings *finding.List
	readKeys map[string]map[string]bool
}

// Parse parses data, the content of the file called name. This and all later calls
// add their findings to the given list.
func Parse(name string, data []byte, findings *finding.List) *File {
	options := ini.LoadOptions{
		SkipUnrecognizableLines: false,
		AllowShadows:            true,
		IgnoreInlineComment:     true,
	}
	parsed, err := ini.LoadSources(options, data)
	if err != nil {
		findings.Add(finding.Finding{File: name, Found: err.Error(), Allowed: "an INI file of [section] and key = value lines"})
		parsed = ini.Empty(options)
	}
	return &File{name: name, parsed: parsed, findings: findings, readKeys: make(map[string]map[string]bool)}
}

// Name returns the name of the file.
func (f *File) Name() string {
	return f.name
}

// Reject adds a finding about a key.
func (f *File) Reject(section, key, found, allowed string) {
	f.findings.Add(finding.Finding{File: f.name, Section: section, Key: key, Found: found, Allowed: allowed})
}

// HasSection reports whether the file has the section.
func (f *File) HasSection(section string) bool {
	return f.parsed.HasSection(section)
}

// Keys returns the names of all keys of a section and marks them as read.
func (f *File) Keys(section string) []string {
	if !f.HasSection(section) {
		return nil
	}
	names := f.parsed.Section(section).KeyStrings()
	for _, name := range names {
		f.markRead(section, name)
	}
	return names
}

// String returns the value of an optional key, or def if the key is not set.
func (f *File) String(section, key, def string) string {
	value, ok := f.lookup(section, key)
	if !ok {
		return def
	}
	return value
}

// RequiredString returns the value of a key that must not be empty.
func (f *File) RequiredString(section, key, allowed string) string {
	value, _ := f.lookup(section, key)
	if value == "" {
		f.Reject(section, key, value, allowed)
	}
	return value
}

// Choice returns a value that must be one of choices.
func (f *File) Choice(section, key, def string, choices ...string) string {
	value := f.String(section, key, def)
	for _, choice := range choices {
		if value == choice {
			return value
		}
	}
	f.Reject(section, key, value, "one of "+strings.Join(choices, ", "))
	return def
}

// Int returns an integer from low to high, or def if the key is not set.
func (f *File) Int(section, key string, def, low, high int) int {
	text, ok := f.lookup(section, key)
	if !ok {
		return def
	}
	value, err := strconv.Atoi(text)
	if err != nil || value < low || value > high {
		f.Reject(section, key, text, fmt.Sprintf("a whole number from %d to %d", low, high))
		return def
	}
	return value
}

// Duration returns a duration from low to high, or def if the key is not set.
func (f *File) Duration(section, key string, def, low, high time.Duration) time.Duration {
	text, ok := f.lookup(section, key)
	if !ok {
		return def
	}
	value, err := time.ParseDuration(text)
	if err != nil || value < low || value > high {
		f.Reject(section, key, text, fmt.Sprintf("a duration from %s to %s, such as 500ms or 2s", low, high))
		return def
	}
	return value
}

// AddrPort returns an optional IP address and port, or the zero value if the key is
// not set.
func (f *File) AddrPort(section, key string) netip.AddrPort {
	text, ok := f.lookup(section, key)
	if !ok || text == "" {
		return netip.AddrPort{}
	}
	value, err := netip.ParseAddrPort(text)
	if err != nil {
		f.Reject(section, key, text, "an IP address and a port, such as 10.0.0.1:7400")
	}
	return value
}

// RequiredAddrPort returns an IP address and port that must be set.
func (f *File) RequiredAddrPort(section, key string) netip.AddrPort {
	if _, ok := f.lookup(section, key); !ok {
		f.Reject(section, key, "", "an IP address and a port, such as 10.0.0.1:7400")
		return netip.AddrPort{}
	}
	return f.AddrPort(section, key)
}

// List returns the entries of a comma-separated list, without surrounding spaces.
// Empty entries are dropped.
func (f *File) List(section, key string) []string {
	text, _ := f.lookup(section, key)
	var items []string
	for _, item := range strings.Split(text, ",") {
		item = strings.TrimSpace(item)
		if item != "" {
			items = append(items, item)
		}
	}
	return items
}

// AddrPorts returns a comma-separated list of IP addresses with ports.
func (f *File) AddrPorts(section, key string) []netip.AddrPort {
	var addresses []netip.AddrPort
	for _, item := range f.List(section, key) {
		address, err := netip.ParseAddrPort(item)
		if err != nil {
			f.Reject(section, key, item, "IP addresses with ports, separated by commas")
			continue
		}
		addresses = append(addresses, address)
	}
	return addresses
}

// ReportUnknown adds a finding for every section and key that was never read, and
// for every key that occurs more than once.
func (f *File) ReportUnknown() {
	for _, section := range f.parsed.Sections() {
		f.reportUnknownIn(section)
	}
}

func (f *File) reportUnknownIn(section *ini.Section) {
	name := section.Name()
	known := f.readKeys[name]
	if known == nil && name != ini.DefaultSection {
		f.Reject(name, "", name, "a known section")
		return
	}
	for _, key := range section.Keys() {
		if !known[key.Name()] {
			f.Reject(name, key.Name(), key.Value(), "a known key of this section")
		}
		if values := key.ValueWithShadows(); len(values) > 1 {
			f.Reject(name, key.Name(), strings.Join(values, " and "), "each key only once")
		}
	}
}

func (f *File) lookup(section, key string) (string, bool) {
	f.markRead(section, key)
	if !f.parsed.HasSection(section) || !f.parsed.Section(section).HasKey(key) {
		return "", false
	}
	return f.parsed.Section(section).Key(key).String(), true
}

func (f *File) markRead(section, key string) {
	if f.readKeys[section] == nil {
		f.readKeys[section] = make(map[string]bool)
	}
	f.readKeys[section][key] = true
}
