package caller

import (
	"bytes"
	"io"
	"net/http"
)

const (
	// maxBufferedBodyBytes limits a request body that is buffered for retries.
	maxBufferedBodyBytes = 1 << 20
	// maxBufferedResponseBytes limits a response that is read completely before
	// it is returned to the application. If such a response is truncated, the
	// request can still be retried.
	maxBufferedResponseBytes = 256 << 10
)

// requestBody provides the body of a request for each attempt to send it.
type requestBody struct {
	first io.ReadCloser
	// reopen returns the body from its start; nil if it cannot be read again.
	reopen     func() (io.ReadCloser, error)
	isConsumed bool
}

// newRequestBody returns the body of a request. Without GetBody, a body of up to
// maxBufferedBodyBytes is buffered; a larger one can be sent only once.
func newRequestBody(request *http.Request) (*requestBody, error) {
	if request.Body == nil || request.Body == http.NoBody {
		none := func() (io.ReadCloser, error) { return http.NoBody, nil }
		return &requestBody{first: http.NoBody, reopen: none}, nil
	}
	if request.GetBody != nil {
		return &requestBody{first: request.Body, reopen: request.GetBody}, nil
	}
	buffered, err := io.ReadAll(io.LimitReader(request.Body, maxBufferedBodyBytes+1))
	if err != nil {
		request.Body.Close()
		return nil, err
	}
	if len(buffered) > maxBufferedBodyBytes {
		return &requestBody{first: &joinedBody{Reader: io.MultiReader(bytes.NewReader(buffered), request.Body), Closer: request.Body}}, nil
	}
	request.Body.Close()
	reopen := func() (io.ReadCloser, error) { return io.NopCloser(bytes.NewReader(buffered)), nil }
	return &requestBody{first: io.NopCloser(bytes.NewReader(buffered)), reopen: reopen}, nil
}

// next returns the body for the next attempt.
func (b *requestBody) next() (io.ReadCloser, error) {
	if !b.isConsumed {
		b.isConsumed = true
		return b.first, nil
	}
	return b.reopen()
}

// canReplay reports whether next can return the complete body.
func (b *requestBody) canReplay() bool {
	return !b.isConsumed || b.reopen != nil
}

// close closes the original body if it was never sent.
func (b *requestBody) close() {
	if !b.isConsumed {
		b.first.Close()
	}
}

// bufferResponse reads the body of a response completely if it has at most
// maxBufferedResponseBytes. An error means that the response was truncated.
func bufferResponse(response *http.Response) error {
	buffered, err := io.ReadAll(io.LimitReader(response.Body, maxBufferedResponseBytes+1))
	if err != nil {
		response.Body.Close()
		return err
	}
	if len(buffered) > maxBufferedResponseBytes {
		response.Body = &joinedBody{Reader: io.MultiReader(bytes.NewReader(buffered), response.Body), Closer: response.Body}
		return nil
	}
	response.Body.Close()
	response.Body = io.NopCloser(bytes.NewReader(buffered))
	return nil
}

// responseBody wraps read errors, except for io.EOF, in *Error and calls end when
// the body has been read or closed.
type responseBody struct {
	io.ReadCloser
	end func()
}

// Read reads from the response body.
func (b *responseBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil {
		b.end()
	}
	if err != nil && err != io.EOF {
		err = &Error{Ran: RanUnknown, Err: err}
	}
	return n, err
}

// Close closes the response body and ends the request.
func (b *responseBody) Close() error {
	b.end()
	return b.ReadCloser.Close()
}
