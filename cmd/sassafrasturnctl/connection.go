package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/google/subcommands"

	"sassafrasturn.example/internal/link"
	"sassafrasturn.example/internal/wire"
)

const (
	callTimeout    = 10 * time.Second
	attemptTimeout = 4 * time.Second
	hedgeDelay     = 300 * time.Millisecond
	maxRedirects   = 3
)

var errNoControl = errors.New("no control instance is given; pass -control ip:port")

// connectionFlags holds the flags for the connection to the control instances.
type connectionFlags struct {
	control      string
	certificate  string
	key          string
	authority    string
	totalTimeout time.Duration
}

func (f *connectionFlags) declare(flags *flag.FlagSet) {
	flags.StringVar(&f.control, "control", "127.0.0.1:7400", "link addresses of control instances, separated by commas")
	flags.StringVar(&f.certificate, "tls-certificate", "", "PEM file of the operator's certificate")
	flags.StringVar(&f.key, "tls-key", "", "PEM file of the certificate's key")
	flags.StringVar(&f.authority, "tls-authority", "", "PEM file of the cluster's certificate authority")
	flags.DurationVar(&f.totalTimeout, "timeout", callTimeout, "time limit of a request, including retries")
}

// call sends a request to the first control instance that can serve it.
func (f *connectionFlags) call(ctx context.Context, request *wire.Request) (*wire.Response, error) {
	client, _, err := link.LoadTLS(f.certificate, f.key, f.authority)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, f.totalTimeout)
	defer cancel()
	dialer := &link.Dialer{TLS: client}
	return callHedged(ctx, strings.Split(f.control, ","), func(ctx context.Context, address string) (*wire.Response, error) {
		return callFollowingRedirects(ctx, dialer, strings.TrimSpace(address), request)
	})
}

// callHedged calls the addresses in turn and returns the first response. It calls the
// next address when a call has failed or when hedgeDelay has passed without a response.
func callHedged(ctx context.Context, addresses []string, call func(context.Context, string) (*wire.Response, error)) (*wire.Response, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	type result struct {
		response *wire.Response
		err      error
	}
	results := make(chan result, len(addresses))
	lastErr := errNoControl
	for next, running := 0, 0; next < len(addresses) || running > 0; {
		var delay <-chan time.Time
		if next < len(addresses) {
			address := addresses[next]
			next, running = next+1, running+1
			go func() {
				response, err := call(ctx, address)
				if err != nil {
					err = fmt.Errorf("%s: %w", address, err)
				}
				results <- result{response, err}
			}()
			delay = time.After(hedgeDelay)
		}
		select {
		case r := <-results:
			if r.err == nil {
				return r.response, nil
			}
			running--
			lastErr = r.err
		case <-delay:
		}
	}
	return nil, lastErr
}

// callFollowingRedirects sends a request and follows redirects to the leader.
func callFollowingRedirects(ctx context.Context, dialer *link.Dialer, address string, request *wire.Request) (*wire.Response, error) {
	// The timeout of an attempt leaves time for the next instance if this one does not
	// respond.
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	for range maxRedirects {
		response, err := dialer.Call(ctx, address, request)
		if link.IsClosed(err) && dialer.TLS == nil {
			return nil, fmt.Errorf("%w; if the cluster's links use TLS, pass -tls-certificate, -tls-key and -tls-authority", err)
		}
		if err != nil {
			return nil, err
		}
		if response.Redirect == "" {
			if response.Error != "" {
				return nil, errors.New(response.Error)
			}
			return response, nil
		}
		address = response.Redirect
	}
	return nil, fmt.Errorf("more than %d redirects", maxRedirects)
}

func (f *connectionFlags) list(ctx context.Context, kinds ...wire.Record_Kind) ([]*wire.Record, error) {
	response, err := f.call(ctx, &wire.Request{Body: &wire.Request_List{List: &wire.ListRequest{Kinds: kinds}}})
	if err != nil {
		return nil, err
	}
	return response.GetList().GetRecords(), nil
}

func fail(err error) subcommands.ExitStatus {
	fmt.Fprintln(os.Stderr, "sassafrasturnctl:", err)
	return subcommands.ExitFailure
}

func usageError(text string) subcommands.ExitStatus {
	fmt.Fprintln(os.Stderr, "sassafrasturnctl:", text)
	return subcommands.ExitUsageError
}
