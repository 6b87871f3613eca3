package machine

import (
	"io"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"github.com/prometheus/client_golang/prometheus"

	"sassafrasturn.example/internal/settings"
)

const (
	// logQueueLines bounds the lines that wait for a slow reader of the log; with
	// 300 bytes a line they take some 0.3 MB.
	logQueueLines = 1024
	// logFlushTimeout bounds how long an instance that stops waits for that reader.
	logFlushTimeout = 200 * time.Millisecond
)

// logWriter hands lines to another goroutine, so that nobody who logs waits for
// the reader of the log. Lines that find the queue full are counted and lost.
type logWriter struct {
	queue *log.AsyncWriter
	lost  atomic.Uint64
}

func newLogWriter(to io.Writer) *logWriter {
	return &logWriter{queue: &log.AsyncWriter{
		ChannelSize: logQueueLines, DiscardOnFull: true, Writer: &log.IOWriter{Writer: to},
	}}
}

// WriteEntry queues a line.
func (w *logWriter) WriteEntry(entry *log.Entry) (int, error) {
	n, err := w.queue.WriteEntry(entry)
	if err != nil {
		w.lost.Add(1)
	}
	return n, err
}

// flush writes what waits, as far as the reader takes it in time.
func (w *logWriter) flush() {
	done := make(chan struct{})
	go func() {
		// Nothing is left to tell of an error.
		_ = w.queue.Close()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(logFlushTimeout):
	}
}

func (w *logWriter) register(registry *prometheus.Registry) {
	registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
		Name: "sassafrasturn_log_lines_lost_total", Help: "Log lines lost since the reader of the log was too slow.",
	}, func() float64 { return float64(w.lost.Load()) }))
}

func newLogger(s *settings.Settings, writer *logWriter) *log.Logger {
	return &log.Logger{
		Level:   log.ParseLevel(s.Log.Level),
		Writer:  writer,
		Context: log.NewContext(nil).Str("instance", s.Instance).Value(),
	}
}
