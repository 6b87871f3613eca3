package decisionlog_test

import (
	"bytes"
	"fmt"
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

// Lines about open flows must not be lost among those about new flows in an overload.
func TestLinesOnOpenFlowsAreNotSuppressedBeforeCommonOnes(t *testing.T) {
	for _, isCommonFirst := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			var out bytes.Buffer
			logger := decisionlog.New(&log.Logger{Writer: &log.IOWriter{Writer: &out}}, 3)
			common := func() {
				for range 10 {
					logger.Decision("take").Msg("")
				}
			}
			if isCommonFirst {
				common()
			}
			for range 7 {
				logger.OpenFlow("reset").Msg("")
			}
			common()
			open := strings.Count(out.String(), `"reset"`)
			g.Expect(strings.Count(out.String(), `"take"`) + open).To(Equal(6))
			if isCommonFirst {
				g.Expect(open).To(Equal(3))
			} else {
				g.Expect(open).To(Equal(6), "the common budget was not in use")
			}
			time.Sleep(time.Second)
			logger.OpenFlow("reset").Msg("")
			g.Expect(out.String()).To(ContainSubstring(fmt.Sprintf(`"open_flow_lines":%d`, 7-open)))
		})
	}
}
