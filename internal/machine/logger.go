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
	// logQueueLines is the capacity of the queue between the process and a slow reader
	// of the log. With 300 bytes a line, a full queue takes about 0.3 MB.
	logQueueLines = 1024
	// logFlushTimeout limits how long an instance that stops waits for that reader.
	logFlushTimeout = 200 * time.Millisecond
)

// logWriter writes log lines from a goroutine of its own, so that logging never blocks
// on the reader of the log. Lines that do not fit in the queue are dropped and counted.
type logWriter struct {
	queue *log.AsyncWriter
	lost  atomic.Uint64
}

func newLogWriter(to io.Writer) *logWriter {
	return &logWriter{queue: &log.AsyncWriter{
		ChannelSize: logQueueLines, DiscardOnFull: true, Writer: &log.IOWriter{Writer: to},
	}}
}

// WriteEntry adds a line to the queue.
func (w *logWriter) WriteEntry(entry *log.Entry) (int, error) {
	n, err := w.queue.WriteEntry(entry)
	if err != nil {
		w.lost.Add(1)
	}
	return n, err
}

// flush writes the queued lines, as far as the reader accepts them within
// logFlushTimeout.
func (w *logWriter) flush() {
	done := make(chan struct{})
	go func() {
		// There is nowhere left to report an error.
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
