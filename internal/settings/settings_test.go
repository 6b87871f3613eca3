package settings_test

import (
	"os"
	"path/filepath"
	"regexp"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sassafrasturn.example/internal/settings"
)

func TestExamplesHaveNoFindings(t *testing.T) {
	g := NewWithT(t)
	paths, err := filepath.Glob("../../examples/settings/*.ini")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(paths).To(HaveLen(3))
	for _, path := range append(paths, "../../examples/local.ini") {
		_, err := settings.Load(path)
		g.Expect(err).NotTo(HaveOccurred())
	}
}

func TestRelativePathsResolveAgainstTheSettingsFile(t *testing.T) {
	g := NewWithT(t)
	s, err := settings.Load("../../examples/local.ini")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(s.Cluster.KeyFile).To(Equal(filepath.FromSlash("../../examples/local.keys")))
}

func TestParseReportsAllFindings(t *testing.T) {
	const text = `
[instance]
role = control
zone = a
[cluster]
tls_key = k
peers = 10.0.0.1
[link]
listen = here
[control]
members = 1@10.0.0.1:7400, zwei@10.0.0.2:7400
[balancer]
delivery = document-port
`
	g := NewWithT(t)
	_, err := settings.Parse("s.ini", []byte(text))
	for _, place := range []string{
		"[instance] name", "[instance] data", "[cluster] keys", "[cluster] tls_certificate", "[cluster] peers",
		"[link] listen", "[control] id", "[control] members", "[balancer]: found",
	} {
		g.Expect(err).To(MatchError(ContainSubstring("s.ini: " + place)))
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte("[instance]\nrole = all\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := settings.Parse("s.ini", data)
		if (s == nil) == (err == nil) {
			t.Fatalf("settings %v with error %v", s, err)
		}
	})
}

func TestOpaqueExamplesHaveNoFindings(t *testing.T) {
	g := NewWithT(t)
	paths, err := filepath.Glob("../../examples/opaque/*.ini")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(paths).To(HaveLen(3))
	for _, path := range paths {
		s, err := settings.Load(path)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(s.Mode).To(Equal(settings.ModeOpaque))
		g.Expect(s.Opaque.ZoneLeaveCost).To(Equal(5 * time.Millisecond))
	}
}

func TestParseReportsAllFindingsOfTheOpaqueMode(t *testing.T) {
	const text = `
[instance]
mode = opaque
role = agent
name = a
zone = z
[cluster]
[link]
listen = [::1]:7400
advertise = [::2]:7402
kbit_per_second = -1
[opaque]
caller_port = 70000
heartbeat = soon
cold_percent = 0
zone_leave_cost = -1ms
`
	_, err := settings.Parse("agent.ini", []byte(text))
	for _, place := range []string{
		"[cluster] keys", "[cluster] peers", "[link] listen", "[link] advertise", "[link] kbit_per_second", "[opaque] caller_port", "[opaque] heartbeat", "[opaque] cold_percent", "[opaque] zone_leave_cost",
		"[opaque] endpoint", "[opaque] outbound", "[opaque] announce",
	} {
		NewWithT(t).Expect(err).To(MatchError(ContainSubstring(place)))
	}
}

func TestInsecureNeedsTheOpaqueMode(t *testing.T) {
	data, err := os.ReadFile("../../examples/settings/balancer.ini")
	g := NewWithT(t)
	g.Expect(err).NotTo(HaveOccurred())
	text := regexp.MustCompile(`(?m)^keys = .*$`).ReplaceAllString(string(data), "insecure = true")
	_, err = settings.Parse("balancer.ini", []byte(text))
	g.Expect(err).To(MatchError(ContainSubstring("insecure")))
}

// A wrong role must be a single finding: the sections of the roles must not be reported
// as unknown in addition.
func TestWrongRoleIsOneFinding(t *testing.T) {
	g := NewWithT(t)
	data, err := os.ReadFile("../../examples/settings/balancer.ini")
	g.Expect(err).NotTo(HaveOccurred())
	text := regexp.MustCompile(`(?m)^role = .*$`).ReplaceAllString(string(data), "role = blancer")
	_, err = settings.Parse("balancer.ini", []byte(text))
	g.Expect(err).To(MatchError(ContainSubstring("[instance] role")))
	g.Expect(err).NotTo(MatchError(ContainSubstring("[balancer]")))
}

func TestZoneNamesHaveNoBlanks(t *testing.T) {
	g := NewWithT(t)
	data, err := os.ReadFile("../../examples/settings/balancer.ini")
	g.Expect(err).NotTo(HaveOccurred())
	text := regexp.MustCompile(`(?m)^zone = .*$`).ReplaceAllString(string(data), "zone = hall a")
	_, err = settings.Parse("balancer.ini", []byte(text))
	g.Expect(err).To(MatchError(ContainSubstring("[instance] zone")))
}
