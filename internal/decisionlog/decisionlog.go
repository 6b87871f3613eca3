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

	mu     sync.Mutex
	second int64
	// common is the budget of all lines, and openFlows the one of lines about open flows.
	common, openFlows budget
}

// budget counts the lines of the current second.
type budget struct {
	written, suppressed int
}

// New returns a logger that writes at most perSecond decisions per second, and as many about open
// flows. It writes none if perSecond is 0, and all if it is negative.
func New(logger *log.Logger, perSecond int) *Logger {
	return &Logger{log: logger, perSecond: perSecond}
}

// Decision starts the log line of a decision. It returns nil if the limit of the
// current second is reached; a nil entry may be used and writes nothing.
func (l *Logger) Decision(name string) *log.Entry {
	return l.start(name, (*Logger).allowCommon)
}

// OpenFlow starts the log line of a decision about a packet of an open flow that is lost, tried on an
// endpoint, bounced, dropped or reset. Such a line has a budget of its own and, beyond that, uses
// what is left of the common one: in an overload, when new flows use up the common one, these lines
// show why a caller has lost its flow. It returns nil as Decision does.
func (l *Logger) OpenFlow(name string) *log.Entry {
	return l.start(name, (*Logger).allowOpenFlow)
}

func (l *Logger) start(name string, allow func(*Logger) bool) *log.Entry {
	if l == nil || l.perSecond == 0 {
		return nil
	}
	if l.perSecond > 0 && !l.allow(time.Now().Unix(), allow) {
		return nil
	}
	return l.log.Info().Str("decision", name)
}

func (l *Logger) allow(second int64, allow func(*Logger) bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if second != l.second {
		l.logSuppressed()
		l.second, l.common, l.openFlows = second, budget{}, budget{}
	}
	return allow(l)
}

func (l *Logger) allowCommon() bool { return l.common.allow(l.perSecond) }

func (l *Logger) allowOpenFlow() bool {
	if l.openFlows.written >= l.perSecond && l.common.written < l.perSecond {
		return l.allowCommon()
	}
	return l.openFlows.allow(l.perSecond)
}

func (b *budget) allow(limit int) bool {
	if b.written >= limit {
		b.suppressed++
		return false
	}
	b.written++
	return true
}

func (l *Logger) logSuppressed() {
	if l.common.suppressed > 0 || l.openFlows.suppressed > 0 {
		l.log.Info().Str("decision", "suppressed").Int("lines", l.common.suppressed).Int("open_flow_lines", l.openFlows.suppressed).
			Msg("decision log lines over the limit per second were suppressed")
	}
}
