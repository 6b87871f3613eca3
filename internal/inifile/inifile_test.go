package inifile_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sassafrasturn.example/internal/finding"
	"sassafrasturn.example/internal/inifile"
)

func TestFindingsNameFileSectionKeyAndWhatIsAllowed(t *testing.T) {
	const text = `
[a]
count = many
wait = 3 days
mode = fast
where = nowhere
twice = 1
twice = 2
unknown = 1
[b]
`
	g := NewWithT(t)
	var findings finding.List
	file := inifile.Parse("f.ini", []byte(text), &findings)
	file.Int("a", "count", 1, 0, 5)
	file.Duration("a", "wait", time.Second, 0, time.Minute)
	file.Choice("a", "mode", "slow", "slow", "steady")
	file.AddrPort("a", "where")
	file.RequiredString("a", "missing", "a name")
	file.String("a", "twice", "")
	file.ReportUnknown()

	g.Expect(findings.Items()).To(ConsistOf(
		finding.Finding{File: "f.ini", Section: "a", Key: "count", Found: "many", Allowed: "a whole number from 0 to 5"},
		finding.Finding{File: "f.ini", Section: "a", Key: "wait", Found: "3 days", Allowed: "a duration from 0s to 1m0s, such as 500ms or 2s"},
		finding.Finding{File: "f.ini", Section: "a", Key: "mode", Found: "fast", Allowed: "one of slow, steady"},
		finding.Finding{File: "f.ini", Section: "a", Key: "where", Found: "nowhere", Allowed: "an IP address and a port, such as 10.0.0.1:7400"},
		finding.Finding{File: "f.ini", Section: "a", Key: "missing", Found: "", Allowed: "a name"},
		finding.Finding{File: "f.ini", Section: "a", Key: "twice", Found: "1 and 2", Allowed: "each key only once"},
		finding.Finding{File: "f.ini", Section: "a", Key: "unknown", Found: "1", Allowed: "a known key of this section"},
		finding.Finding{File: "f.ini", Section: "b", Found: "b", Allowed: "a known section"},
	))
	g.Expect(findings.Err()).To(MatchError(ContainSubstring(`f.ini: [a] count: found "many", allowed: a whole number from 0 to 5`)))
}

func TestInvalidINIIsOneFinding(t *testing.T) {
	g := NewWithT(t)
	var findings finding.List
	inifile.Parse("f.ini", []byte("\x00\xff not ini"), &findings)
	g.Expect(findings.Items()).To(HaveLen(1))
	g.Expect(findings.Items()[0].File).To(Equal("f.ini"))
}
