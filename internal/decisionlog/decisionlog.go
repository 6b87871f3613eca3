// Package decisionlog writes one log line for each routing or placement
// decision, up to a limit of lines per second so that logging does not overload
// the instance. Lines over the limit are counted, and the count is logged.
package decisionlog

import (
	"sync"
	"time"

	"github.com/phuslu/log"
)

// Logger writes the log lines of decisions. It is safe for concurrent use.
type Logger struct {
	log       *log.Logger
	perSecond int

	mu         sync.Mutex
	second     int64
	written    int
	suppressed int
}

// New returns a logger that writes at most perSecond decisions per second. It
// writes none if perSecond is 0, and all if it is negative.
func New(logger *log.Logger, perSecond int) *Logger {
	return &Logger{log: logger, perSecond: perSecond}
}

// Decision starts the log line of a decision. It returns nil if the limit of the
// current second is reached; a nil entry may be used and writes nothing.
func (l *Logger) Decision(name string) *log.Entry {
	if l == nil || l.perSecond == 0 {
		return nil
	}
	if l.perSecond > 0 && !l.allow(time.Now().Unix()) {
		return nil
	}
	return l.log.Info().Str("decision", name)
}

func (l *Logger) allow(second int64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if second != l.second {
		l.logSuppressed()
		l.second, l.written, l.suppressed = second, 0, 0
	}
	if l.written >= l.perSecond {
		l.suppressed++
		return false
	}
	l.written++
	return true
}

func (l *Logger) logSuppressed() {
	if l.suppressed > 0 {
		l.log.Info().Str("decision", "suppressed").Int("lines", l.suppressed).Msg("decision log lines over the limit per second were suppressed")
	}
}
