package caller_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"

	"sassafrasturn.example/caller"
)

// Sends an order that must run at most once. The transport fetches the
// idempotency key for it.
func Example() {
	transport := caller.New(nil)
	defer transport.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	order := strings.NewReader("one dome skylight")
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "https://orders.example/orders", order)
	if err != nil {
		return
	}
	response, err := (&http.Client{Transport: transport}).Do(request)
	var failed *caller.Error
	if errors.As(err, &failed) {
		fmt.Println("no response; the order ran:", failed.Ran)
		return
	}
	if err != nil {
		return
	}
	defer response.Body.Close()
	if refusal, ok := caller.RefusalOf(response); ok {
		fmt.Println("refused:", refusal.Detail, "; the order ran:", refusal.Ran)
		return
	}
	fmt.Println("ordered:", response.Status)
}
