package main

import (
	"context"
	"fmt"
	"os"
	"slices"
	"sync"
	"time"

	"sassafrasturn.example/internal/link"
	"sassafrasturn.example/internal/pause"
	"sassafrasturn.example/internal/wire"
)

const (
	// waitTimeout limits the wait until all instances confirm.
	waitTimeout = 10 * time.Second
	// maxConcurrentPolls limits how many instances are polled at a time.
	maxConcurrentPolls = 32
	waitPollInterval   = 100 * time.Millisecond
	// maxListedUnconfirmed limits how many unconfirmed instances are listed.
	maxListedUnconfirmed = 20
)

// target is an instance that must confirm a change.
type target struct {
	instance string
	link     string
}

// change is a change of a service document or a zone, made at a log index.
type change struct {
	kind  wire.Record_Kind
	name  string
	index uint64
}

// affectsAgentsOf reports whether the agents of the service must apply the change. An
// agent stores all zones, but only the document of its own service.
func (c change) affectsAgentsOf(service string) bool {
	return c.kind == wire.Record_KIND_ZONE || c.name == service
}

// waitInForce waits until all known balancers, and the agents that the change affects,
// have applied it. It prints how many have, and lists those that have not.
func (f *connectionFlags) waitInForce(ctx context.Context, c change) error {
	targets, err := f.targets(ctx, c)
	if err != nil {
		return err
	}
	client, _, err := link.LoadTLS(f.certificate, f.key, f.authority)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, waitTimeout)
	defer cancel()
	started := time.Now()
	unconfirmed := awaitAll(targets, func(t target) error { return awaitChange(ctx, &link.Dialer{TLS: client}, t.link, c) })
	confirmed := len(targets) - len(unconfirmed)
	fmt.Printf("in force at %d of %d instances after %v\n", confirmed, len(targets), time.Since(started).Round(time.Millisecond))
	if len(unconfirmed) == 0 {
		return nil
	}
	for _, line := range unconfirmed[:min(len(unconfirmed), maxListedUnconfirmed)] {
		fmt.Fprintln(os.Stderr, "not confirmed:", line)
	}
	return fmt.Errorf("%d of %d instances have not confirmed; the change is accepted, and they receive it once they are reachable", len(unconfirmed), len(targets))
}

// targets returns the balancers, and the agents that the change affects, that have
// published a record.
func (f *connectionFlags) targets(ctx context.Context, c change) ([]target, error) {
	records, err := f.list(ctx, wire.Record_KIND_BALANCER, wire.Record_KIND_ENDPOINT)
	if err != nil {
		return nil, err
	}
	byLink := make(map[string]target)
	for _, record := range records {
		if t := targetOf(record, c); t.link != "" {
			byLink[t.link] = t
		}
	}
	var targets []target
	for _, t := range byLink {
		targets = append(targets, t)
	}
	return targets, nil
}

func targetOf(record *wire.Record, c change) target {
	member, ok := wire.MemberOf(record)
	isAffected := record.Kind == wire.Record_KIND_BALANCER || c.affectsAgentsOf(member.Service)
	if !ok || member.IsRemoved || !isAffected {
		return target{}
	}
	return target{instance: member.Instance, link: member.Link}
}

// awaitAll polls all targets, maxConcurrentPolls at a time, and returns a line for each
// that has not confirmed.
func awaitAll(targets []target, await func(target) error) []string {
	var mu sync.Mutex
	var unconfirmed []string
	var wg sync.WaitGroup
	semaphore := make(chan struct{}, maxConcurrentPolls)
	for _, t := range targets {
		semaphore <- struct{}{}
		wg.Go(func() {
			defer func() { <-semaphore }()
			if err := await(t); err != nil {
				mu.Lock()
				defer mu.Unlock()
				unconfirmed = append(unconfirmed, fmt.Sprintf("%s (%s): %v", t.instance, t.link, err))
			}
		})
	}
	wg.Wait()
	slices.Sort(unconfirmed)
	return unconfirmed
}

// awaitChange polls one instance until it has applied the change or a later one of the
// same document or zone.
func awaitChange(ctx context.Context, dialer *link.Dialer, address string, c change) error {
	request := &wire.Request{Body: &wire.Request_Status{Status: &wire.StatusRequest{Kind: c.kind, Key: c.name}}}
	var lastErr error
	for ctx.Err() == nil {
		response, err := dialer.Call(ctx, address, request)
		if err == nil {
			applied := response.GetStatus().GetRecordIndex()
			if applied >= c.index {
				return nil
			}
			err = fmt.Errorf("it has only applied the change of index %d", applied)
		}
		lastErr = err
		pause.For(ctx, waitPollInterval)
	}
	if lastErr == nil {
		lastErr = fmt.Errorf("it was not polled before the timeout")
	}
	return lastErr
}
