// Package decisionlog writes one log line for each routing or placement
// decision, within a budget of lines a second so that the log does not drown
// the instance. Lines over the budget are counted and the count is logged.
package decisionlog

import (
	"sync"
	"time"

	"github.com/phuslu/log"
)

// Logger writes decisions. It is safe for concurrent use.
type Logger struct {
	log       *log.Logger
	perSecond int

	mu         sync.Mutex
	second     int64
	written    int
	suppressed int
}

// New returns a logger that writes at most perSecond decisions a second;
// perSecond 0 writes none, a negative one writes all.
func New(logger *log.Logger, perSecond int) *Logger {
	return &Logger{log: logger, perSecond: perSecond}
}

// Decision starts the line of one decision, or returns nil when the budget of
// this second is used up. A nil entry may be used; it writes nothing.
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
		l.log.Info().Str("decision", "suppressed").Int("lines", l.suppressed).Msg("decisions over the line budget")
	}
}
