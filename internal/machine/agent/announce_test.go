package agent

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

func TestInvalidAnnouncementsAreRejectedWithAllFindings(t *testing.T) {
	cases := map[string]struct {
		body     string
		findings []string
	}{
		"everything": {`{"service":"S!","address":"10.0.0.1:80","slots":-1}`, []string{"announcement service", "announcement address", "announcement slots"}},
		"no port":    {`{"service":"s","address":"127.0.0.1"}`, []string{"announcement address"}},
		"empty":      {`{}`, []string{"announcement service", "announcement address"}},
		"misspelt":   {`{"service":"s","adress":"127.0.0.1:80"}`, []string{"adress"}},
		"no JSON":    {"\x00\xff", []string{"invalid character"}},
		"too long":   {`{"service":"` + strings.Repeat("s", maxAnnouncementSize) + `"}`, []string{"too large"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			a := new(Agent)
			answer := httptest.NewRecorder()
			a.handleAnnouncement(answer, httptest.NewRequest(http.MethodPost, "/v1/endpoint", strings.NewReader(c.body)))
			g.Expect(answer.Code).To(Equal(http.StatusBadRequest))
			for _, finding := range c.findings {
				g.Expect(answer.Body.String()).To(ContainSubstring(finding))
			}
			g.Expect(a.lifecycle.announced).To(BeNil())
		})
	}
}
