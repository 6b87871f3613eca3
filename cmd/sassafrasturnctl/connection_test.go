package main

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"sassafrasturn.example/internal/wire"
)

// An instance that does not respond must not delay the calls to the others.
func TestCallHedged(t *testing.T) {
	refused := errors.New("refused")
	for _, test := range []struct {
		name      string
		addresses []string
		want      time.Duration
		isRefused bool
	}{
		{"first", []string{"ok"}, 0, false},
		{"after a refusal", []string{"refuse", "ok"}, 0, false},
		{"after two that freeze", []string{"freeze", "freeze", "ok"}, 2 * hedgeDelay, false},
		{"slow", []string{"slow", "freeze", "freeze"}, 5 * hedgeDelay, false},
		{"all refuse", []string{"refuse", "refuse"}, 0, true},
		{"one freezes, one refuses", []string{"freeze", "refuse"}, callTimeout, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				ctx, cancel := context.WithTimeout(t.Context(), callTimeout)
				defer cancel()
				started := time.Now()
				_, err := callHedged(ctx, test.addresses, func(ctx context.Context, address string) (*wire.Response, error) {
					switch address {
					case "refuse":
						return nil, refused
					case "freeze":
						<-ctx.Done()
						return nil, ctx.Err()
					case "slow":
						time.Sleep(5 * hedgeDelay)
					}
					return &wire.Response{}, nil
				})
				g.Expect(err != nil).To(Equal(test.isRefused))
				g.Expect(time.Since(started)).To(Equal(test.want))
			})
		})
	}
}
