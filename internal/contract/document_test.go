package contract_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"sassafrasturn.example/internal/contract"
)

const minimalDocument = "[service]\nname = s\naddress = 10.0.0.1:443\n[endpoints]\nallow = 10.0.0.0/8\n"

func TestExamplesHaveNoFindings(t *testing.T) {
	g := NewWithT(t)
	for _, folder := range []string{"mwangaza", "bilu"} {
		paths, err := filepath.Glob(filepath.Join("../../examples", folder, "*.ini"))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(paths).To(HaveLen(2))
		for _, path := range paths {
			data, err := os.ReadFile(path)
			g.Expect(err).NotTo(HaveOccurred())
			doc, err := contract.Parse(path, data)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(path).To(HaveSuffix(doc.Service + ".ini"))
		}
	}
}

func TestInvalidDocumentsAreRejectedWithTheKey(t *testing.T) {
	cases := map[string]struct{ text, finding string }{
		"name":      {strings.Replace(minimalDocument, "= s\n", "= S!\n", 1), "[service] name"},
		"address":   {strings.Replace(minimalDocument, "10.0.0.1:443", "[::1]:443", 1), "[service] address"},
		"no port":   {strings.Replace(minimalDocument, ":443", "", 1), "[service] address"},
		"allow":     {strings.Replace(minimalDocument, "10.0.0.0/8", "10.0.0.0/99", 1), "[endpoints] allow"},
		"no allow":  {strings.Replace(minimalDocument, "allow = 10.0.0.0/8", "", 1), "[endpoints] allow"},
		"pattern":   {minimalDocument + "[requests]\nnon_idempotent = orders\n", "[requests] non_idempotent"},
		"slots":     {strings.Replace(minimalDocument, "allow", "slots = 0\nallow", 1), "[endpoints] slots"},
		"unknown":   {minimalDocument + "[limits]\nqeue = 1\n", "[limits] qeue"},
		"too large": {minimalDocument + strings.Repeat("#", contract.MaxDocumentBytes), "64 KiB"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := contract.Parse("d.ini", []byte(c.text))
			NewWithT(t).Expect(err).To(MatchError(ContainSubstring(c.finding)))
		})
	}
}

func TestPatterns(t *testing.T) {
	g := NewWithT(t)
	doc, err := contract.Parse("d.ini", []byte(minimalDocument+"[requests]\nnon_idempotent = POST /orders, POST /orders/*\n"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(doc.IsNonIdempotent("POST", "/orders")).To(BeTrue())
	g.Expect(doc.IsNonIdempotent("POST", "/orders/7")).To(BeTrue())
	g.Expect(doc.IsNonIdempotent("GET", "/orders")).To(BeFalse())
	g.Expect(doc.IsNonIdempotent("POST", "/ordersheet")).To(BeFalse())
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(minimalDocument))
	f.Add([]byte("[service\n=\x00"))
	f.Fuzz(func(t *testing.T, data []byte) {
		doc, err := contract.Parse("d.ini", data)
		if (doc == nil) == (err == nil) {
			t.Fatalf("document %v with error %v", doc, err)
		}
	})
}
