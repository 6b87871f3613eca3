package soak_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sassafrasturn.example/internal/harness"
	"sassafrasturn.example/internal/soak"
)

// Short runs of one seed. `sassafrasturnbench soak` runs more seeds, for longer.
func TestSoak(t *testing.T) {
	for name, isPlanned := range map[string]bool{"faults": false, "planned change": true} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			binaries, err := harness.Build("../..", t.TempDir())
			g.Expect(err).NotTo(HaveOccurred())
			report, err := soak.Run(t.Context(), soak.Config{
				Daemon: binaries.Daemon, Folder: t.TempDir(), Seed: 1, Duration: 5 * time.Second, PlannedOnly: isPlanned,
			})
			g.Expect(err).NotTo(HaveOccurred())
			t.Logf("%+v", report)
			g.Expect(report.Violations).To(BeEmpty())
			g.Expect(report.Served).To(BeNumerically(">", 0))
			g.Expect(report.Faults).To(BeNumerically(">", 0))
		})
	}
}
