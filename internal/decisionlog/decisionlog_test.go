package decisionlog_test

import (
	"bytes"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/phuslu/log"

	"sassafrasturn.example/internal/decisionlog"
)

func TestLinesOverLimitAreCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		var out bytes.Buffer
		logger := decisionlog.New(&log.Logger{Writer: &log.IOWriter{Writer: &out}}, 3)
		for range 10 {
			logger.Decision("offer").Str("service", "s").Msg("new flow offered")
		}
		g.Expect(strings.Count(out.String(), "new flow offered")).To(Equal(3))
		time.Sleep(time.Second)
		logger.Decision("offer").Msg("new flow offered")
		g.Expect(out.String()).To(ContainSubstring(`"lines":7`))
	})
}
