package machine

import (
	"bytes"
	"io"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/phuslu/log"

	"sassafrasturn.example/internal/settings"
)

// blockedWriter blocks every write until release is closed.
type blockedWriter struct {
	release chan struct{}
	mu      sync.Mutex
	bytes.Buffer
}

func (w *blockedWriter) Write(data []byte) (int, error) {
	<-w.release
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.Buffer.Write(data)
}

func testLogger(to io.Writer) (*log.Logger, *logWriter) {
	writer := newLogWriter(to)
	return newLogger(&settings.Settings{Instance: "i", Log: settings.Log{Level: "info"}}, writer), writer
}

// TestLoggingDoesNotWaitForBlockedWriter guards against a process that blocks because
// the reader of its standard output has stopped reading.
func TestLoggingDoesNotWaitForBlockedWriter(t *testing.T) {
	g := NewWithT(t)
	blocked := &blockedWriter{release: make(chan struct{})}
	logger, writer := testLogger(blocked)
	const lines = 3 * logQueueLines
	logged := make(chan struct{})
	go func() {
		defer close(logged)
		for range lines {
			logger.Info().Msg("line")
		}
		writer.flush()
	}()
	g.Eventually(logged, 10*time.Second).Should(BeClosed())
	g.Expect(writer.lost.Load()).To(BeNumerically(">=", lines-logQueueLines-2))
	close(blocked.release)
}

func TestFlushWritesQueuedLines(t *testing.T) {
	g := NewWithT(t)
	var out bytes.Buffer
	logger, writer := testLogger(&out)
	for range 100 {
		logger.Info().Str("flow", "f").Msg("line")
	}
	writer.flush()
	g.Expect(bytes.Count(out.Bytes(), []byte("\n"))).To(Equal(100))
	g.Expect(writer.lost.Load()).To(BeZero())
}
