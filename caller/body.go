package caller

import (
	"bytes"
	"io"
	"net/http"
)

const (
	// maxHeldBodyBytes bounds a request's body that is held to be sent again.
	maxHeldBodyBytes = 1 << 20
	// maxHeldAnswerBytes bounds the answer that is read whole before it is
	// given to the application, so that it can be asked for again.
	maxHeldAnswerBytes = 256 << 10
)

// requestBody gives a request's body for each time that it is sent.
type requestBody struct {
	first io.ReadCloser
	// again returns the body once more; nil when it cannot be had again.
	again   func() (io.ReadCloser, error)
	isTaken bool
}

// newRequestBody holds a body that the request cannot give again, up to maxHeldBodyBytes.
func newRequestBody(request *http.Request) (*requestBody, error) {
	if request.Body == nil || request.Body == http.NoBody {
		none := func() (io.ReadCloser, error) { return http.NoBody, nil }
		return &requestBody{first: http.NoBody, again: none}, nil
	}
	if request.GetBody != nil {
		return &requestBody{first: request.Body, again: request.GetBody}, nil
	}
	held, err := io.ReadAll(io.LimitReader(request.Body, maxHeldBodyBytes+1))
	if err != nil {
		request.Body.Close()
		return nil, err
	}
	if len(held) > maxHeldBodyBytes {
		return &requestBody{first: &joinedBody{Reader: io.MultiReader(bytes.NewReader(held), request.Body), Closer: request.Body}}, nil
	}
	request.Body.Close()
	again := func() (io.ReadCloser, error) { return io.NopCloser(bytes.NewReader(held)), nil }
	return &requestBody{first: io.NopCloser(bytes.NewReader(held)), again: again}, nil
}

// next returns the body for the next sending.
func (b *requestBody) next() (io.ReadCloser, error) {
	if !b.isTaken {
		b.isTaken = true
		return b.first, nil
	}
	return b.again()
}

// canRepeat reports whether next can be called.
func (b *requestBody) canRepeat() bool {
	return !b.isTaken || b.again != nil
}

// close closes a body that was never sent.
func (b *requestBody) close() {
	if !b.isTaken {
		b.first.Close()
	}
}

// holdAnswer reads an answer whole when it is small. An error means that the
// answer broke off.
func holdAnswer(answer *http.Response) error {
	held, err := io.ReadAll(io.LimitReader(answer.Body, maxHeldAnswerBytes+1))
	if err != nil {
		answer.Body.Close()
		return err
	}
	if len(held) > maxHeldAnswerBytes {
		answer.Body = &joinedBody{Reader: io.MultiReader(bytes.NewReader(held), answer.Body), Closer: answer.Body}
		return nil
	}
	answer.Body.Close()
	answer.Body = io.NopCloser(bytes.NewReader(held))
	return nil
}

// answerBody types the errors of an answer that breaks off while it is read.
type answerBody struct {
	io.ReadCloser
	end func()
}

// Read reads from the answer.
func (b *answerBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil {
		b.end()
	}
	if err != nil && err != io.EOF {
		err = &Error{Ran: RanUnknown, Err: err}
	}
	return n, err
}

// Close ends the answer.
func (b *answerBody) Close() error {
	b.end()
	return b.ReadCloser.Close()
}
