package lint

import (
	"fmt"
	"maps"
	"slices"
)

// Differences returns how a state differs from the one in force, by entry. A higher version is
// expected and not reported. Neither is the order of the entries, which has no effect.
func Differences(inForce, next *State) []Finding {
	var findings []Finding
	if from, to := inForce.Table.Version, next.Table.Version; to <= from {
		findings = append(findings, Finding{
			Severity: Difference, Path: "version", Field: "version", From: fmt.Sprint(from), To: fmt.Sprint(to),
			Message: fmt.Sprintf("version %d is not higher than %d, the one in force, so the state would have no effect", to, from),
		})
	}
	findings = append(findings, differencesByEntry("route", inForce.Routes, next.Routes)...)
	findings = append(findings, differencesByEntry("service", inForce.Services, next.Services)...)
	return append(findings, differencesByField("limits", &inForce.Limits, &next.Limits)...)
}

// entryKey identifies an entry in two states: by its name, and among those of the same name by
// their order.
type entryKey struct {
	name  string
	count int
}

func keysOf(entries []Entry) (keys []entryKey, byKey map[entryKey]*Entry) {
	counts := make(map[string]int)
	byKey = make(map[entryKey]*Entry)
	for i := range entries {
		name := entries[i].Name
		key := entryKey{name, counts[name]}
		counts[name]++
		keys = append(keys, key)
		byKey[key] = &entries[i]
	}
	return keys, byKey
}

func differencesByEntry(kind string, inForce, next []Entry) []Finding {
	var findings []Finding
	keysBefore, before := keysOf(inForce)
	keysNext, after := keysOf(next)
	for _, key := range keysNext {
		label := fmt.Sprintf("%s %q", kind, key.name)
		if entry := before[key]; entry != nil {
			findings = append(findings, differencesByField(label, entry, after[key])...)
		} else {
			findings = append(findings, Finding{Severity: Difference, Path: after[key].Path, Entry: label, Message: label + " is added"})
		}
	}
	for _, key := range keysBefore {
		if after[key] == nil {
			label := fmt.Sprintf("%s %q", kind, key.name)
			findings = append(findings, Finding{Severity: Difference, Entry: label, Message: label + " is removed"})
		}
	}
	return findings
}

func differencesByField(label string, inForce, next *Entry) []Finding {
	fields := maps.Clone(inForce.Fields)
	if fields == nil {
		fields = make(map[string]string)
	}
	maps.Copy(fields, next.Fields)
	var findings []Finding
	for _, field := range slices.Sorted(maps.Keys(fields)) {
		from, to := inForce.Fields[field], next.Fields[field]
		if from == to {
			continue
		}
		path := next.Path
		if to != "" {
			path += "." + field
		}
		findings = append(findings, Finding{
			Severity: Difference, Path: path, Entry: label, Field: field, From: from, To: to,
			Message: fmt.Sprintf("%s: %s changes from %s to %s", label, field, stated(from), stated(to)),
		})
	}
	return findings
}

func stated(value string) string {
	if value == "" {
		return "none"
	}
	return value
}
