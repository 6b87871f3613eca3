package agent

import (
	"crypto/sha256"
	"encoding/binary"
	"io"
	"net/http"
	"sync"
	"time"

	"sassafrasturn.example/internal/once"
)

const (
	// maxOnceBodyBytes limits the body of a request that must run at most once.
	maxOnceBodyBytes = 1 << 20
	// maxBufferedBytes limits the total size of the bodies buffered at a time.
	maxBufferedBytes = 8 << 20
	// bodyTimeout limits the time to read one such body.
	bodyTimeout = 10 * time.Second
)

var (
	errBodyTooLarge   = Error.New("the body is over 1 MiB, which is the limit for requests that must run at most once")
	errBodyBufferFull = Error.New("the agent's buffer for request bodies is full; try again later")
)

// byteBudget limits the number of bytes buffered at a time. It is safe for concurrent use.
type byteBudget struct {
	mu        sync.Mutex
	available int
}

func newByteBudget(size int) *byteBudget {
	return &byteBudget{available: size}
}

func (b *byteBudget) acquire(n int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.available < n {
		return false
	}
	b.available -= n
	return true
}

func (b *byteBudget) release(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.available += n
}

// readFullBody reads the complete body of a request, so that a request whose
// body is truncated is never started. The caller must release the returned
// reserve, in bytes, to p.bodies.
func (p *proxy) readFullBody(r *http.Request) (body []byte, reserve int, err error) {
	if r.ContentLength == 0 {
		return nil, 0, nil
	}
	if r.ContentLength > maxOnceBodyBytes {
		return nil, 0, errBodyTooLarge
	}
	reserve = int(r.ContentLength)
	if reserve < 0 {
		reserve = maxOnceBodyBytes
	}
	if !p.bodies.acquire(reserve) {
		return nil, 0, errBodyBufferFull
	}
	// Closing the body unblocks a pending read.
	timer := time.AfterFunc(bodyTimeout, func() { r.Body.Close() })
	defer timer.Stop()
	body, err = io.ReadAll(io.LimitReader(r.Body, maxOnceBodyBytes+1))
	if err == nil && len(body) > maxOnceBodyBytes {
		err = errBodyTooLarge
	}
	if err != nil {
		p.bodies.release(reserve)
		return nil, 0, err
	}
	return body, reserve, nil
}

// digest returns the digest of a request's method, host, path, query and body.
func digest(r *http.Request, body []byte) once.ContentDigest {
	hash := sha256.New()
	var length [8]byte
	for _, part := range []string{r.Method, r.Host, r.URL.EscapedPath(), r.URL.RawQuery} {
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		hash.Write(length[:])
		hash.Write([]byte(part))
	}
	hash.Write(body)
	return once.ContentDigest(hash.Sum(nil))
}
