package settings_test

import (
	"path/filepath"
	"testing"

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

func TestRelativePathsCountFromTheSettingsFile(t *testing.T) {
	g := NewWithT(t)
	s, err := settings.Load("../../examples/local.ini")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(s.Cluster.KeyFile).To(Equal(filepath.FromSlash("../../examples/local.keys")))
}

func TestAllFindingsComeTogether(t *testing.T) {
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
