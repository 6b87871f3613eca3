package measure

import (
	"bufio"
	"bytes"
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"sassafrasturn.example/caller"
	"sassafrasturn.example/internal/standin/endpoint"
)

// NewClient returns a client with its own connections, as each caller has, and the
// closer of these connections. It accepts any server certificate, since trials use
// self-signed ones.
func NewClient(timeout time.Duration) (*http.Client, io.Closer) {
	transport := caller.New(&tls.Config{InsecureSkipVerify: true})
	return &http.Client{Transport: transport, Timeout: timeout}, transport
}

// Download fetches a drawing of the given size in bytes and checks every byte.
func Download(ctx context.Context, client *http.Client, url string, size int) error {
	response, err := get(ctx, client, url)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return fmt.Errorf("download failed after %d bytes: %w", len(body), err)
	}
	if !bytes.Equal(body, endpoint.Drawing(0, size)) {
		return fmt.Errorf("the %d downloaded bytes differ from the drawing", len(body))
	}
	return nil
}

// ReadEventStream reads an event stream and checks that it has count events in
// order.
func ReadEventStream(ctx context.Context, client *http.Client, url string, count int) error {
	response, err := get(ctx, client, url)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	lines := bufio.NewScanner(response.Body)
	next := 0
	for lines.Scan() {
		text, isEvent := strings.CutPrefix(lines.Text(), "data: ")
		if !isEvent {
			continue
		}
		if text != fmt.Sprint(next) {
			return fmt.Errorf("received event %s, expected event %d", text, next)
		}
		next++
	}
	if err := lines.Err(); err != nil {
		return fmt.Errorf("event stream failed after %d events: %w", next, err)
	}
	if next != count {
		return fmt.Errorf("event stream ended after %d of %d events", next, count)
	}
	return nil
}

// FetchName returns the name of the endpoint that serves the request.
func FetchName(ctx context.Context, client *http.Client, url string) (string, error) {
	response, err := get(ctx, client, url)
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return strings.TrimSpace(string(body)), err
}

func get(ctx context.Context, client *http.Client, url string) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	response, err := client.Do(request)
	if err != nil {
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		response.Body.Close()
		return nil, errors.New(response.Status)
	}
	return response, nil
}
