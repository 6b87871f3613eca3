package flow

import (
	"cmp"
	"slices"
	"time"
)

// standing says what is known of the service that an announcement states. Only a start whose
// service has a standing can be the endpoint, and a higher one outranks a lower one.
type standing int

const (
	// standingUnnamed means that nothing names the service: the announcement may be of another
	// program, or of an endpoint whose service will be named later.
	standingUnnamed standing = iota
	// standingRetained means that the service was dropped, and may have open flows.
	standingRetained
	// standingPossible means that only the agent's settings name the service, which is all that
	// an agent knows before its first routing table, or that nothing names any service yet.
	standingPossible
	// standingNamed means that the routing table names the service.
	standingNamed
)

// ServiceNames are the services of a routing table.
type ServiceNames interface {
	// Names reports whether the table names a service.
	Names(service string) bool
	// Retains reports whether a service may have open flows of earlier tables.
	Retains(service string) bool
}

// Services tells which services are named. The zero value names none, and so rules none out.
type Services struct {
	// Configured is the service in the agent's settings, "" if they name none.
	Configured string
	// Table is nil before the first routing table.
	Table ServiceNames
}

func (s *Services) standingOf(e *Endpoint) standing {
	switch {
	case s.Table == nil && s.Configured == "":
		return standingPossible
	case s.Table != nil && s.Table.Names(e.Service):
		return standingNamed
	case e.Service == s.Configured:
		return standingPossible
	case s.Table != nil && s.Table.Retains(e.Service):
		return standingRetained
	}
	return standingUnnamed
}

// maxUnnamedStarts is how many starts of unnamed services are remembered.
const maxUnnamedStarts = 8

// unnamedStarts remembers the last announcements of starts whose services are not named, until
// they have been silent for too long. If there are too many, it forgets the ones that were heard
// least recently, which announce themselves again if they run.
type unnamedStarts struct {
	silenceTimeout time.Duration
	// heard are the announced states, the latest last.
	heard []Endpoint
}

func (u *unnamedStarts) record(announced *Endpoint) {
	u.heard = slices.DeleteFunc(u.heard, func(e Endpoint) bool {
		return startOf(&e) == startOf(announced) || announced.LastSeen-e.LastSeen > u.silenceTimeout
	})
	u.heard = append(u.heard, *announced)
	u.heard = u.heard[max(0, len(u.heard)-maxUnnamedStarts):]
}

// setLeaving records that a start has announced its end.
func (u *unnamedStarts) setLeaving(id string, startedAt int64) {
	for i := range u.heard {
		e := &u.heard[i]
		e.IsLeaving = e.IsLeaving || e.ID == id && e.StartedAt == startedAt
	}
}

// forgetBefore forgets the starts that were last heard before a time.
func (u *unnamedStarts) forgetBefore(at time.Duration) {
	u.heard = slices.DeleteFunc(u.heard, func(e Endpoint) bool { return e.LastSeen < at })
}

// takeNamed removes the starts whose service is named by now, and returns the one that is most
// likely the endpoint, if any: that of the highest standing, and of these the latest start.
func (u *unnamedStarts) takeNamed(now time.Duration, s *Services) (latest *Endpoint) {
	u.forgetBefore(now - u.silenceTimeout)
	isNamed := func(e Endpoint) bool { return s.standingOf(&e) > standingUnnamed }
	for _, e := range u.heard {
		if isNamed(e) && (latest == nil || cmp.Or(cmp.Compare(s.standingOf(&e), s.standingOf(latest)), cmp.Compare(e.StartedAt, latest.StartedAt)) >= 0) {
			latest = &e
		}
	}
	u.heard = slices.DeleteFunc(u.heard, isNamed)
	return latest
}
