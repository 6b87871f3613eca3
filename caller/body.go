package caller

import (
	"bytes"
	"io"
	"net/http"
)

const (
	// maxBufferedBodyBytes bounds a request's body that is buffered to be sent again.
	maxBufferedBodyBytes = 1 << 20
	// maxBufferedResponseBytes bounds the response that is read whole before it is
	// given to the application, so that it can be asked for again.
	maxBufferedResponseBytes = 256 << 10
)

// requestBody gives a request's body for each time that it is sent.
type requestBody struct {
	first io.ReadCloser
	// reopen returns the body once more; nil when it cannot be had reopen.
	reopen     func() (io.ReadCloser, error)
	isConsumed bool
}

// newRequestBody holds a body that the request cannot give again, up to maxHeldBodyBytes.
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
	again := func() (io.ReadCloser, error) { return io.NopCloser(bytes.NewReader(buffered)), nil }
	return &requestBody{first: io.NopCloser(bytes.NewReader(buffered)), reopen: again}, nil
}

// next returns the body for the next sending.
func (b *requestBody) next() (io.ReadCloser, error) {
	if !b.isConsumed {
		b.isConsumed = true
		return b.first, nil
	}
	return b.reopen()
}

// canReplay reports whether next can be called.
func (b *requestBody) canReplay() bool {
	return !b.isConsumed || b.reopen != nil
}

// close closes a body that was never sent.
func (b *requestBody) close() {
	if !b.isConsumed {
		b.first.Close()
	}
}

// bufferResponse reads an response whole when it is small. An error means that the
// response broke off.
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

// responseBody types the errors of an response that breaks off while it is read.
type responseBody struct {
	io.ReadCloser
	end func()
}

// Read reads from the response.
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

// Close ends the response.
func (b *responseBody) Close() error {
	b.end()
	return b.ReadCloser.Close()
}
