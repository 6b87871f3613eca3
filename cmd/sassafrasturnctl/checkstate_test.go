package main

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/subcommands"
	. "github.com/onsi/gomega"
)

const cleanState = `{"version":7,"routes":[
 {"name":"r-1","host":"198.18.0.1","path-prefix":"/8443/","timeout-ms":1000,"service":"alpha"}],
 "services":[{"name":"alpha"}],
 "limits":{}}`

func runCheck(t *testing.T, ctx context.Context, text string, args ...string) (subcommands.ExitStatus, string) {
	g := NewWithT(t)
	path := filepath.Join(t.TempDir(), "state.json")
	g.Expect(os.WriteFile(path, []byte(text), 0o600)).To(Succeed())
	command := &checkCommand{}
	flags := flag.NewFlagSet("check", flag.ContinueOnError)
	command.SetFlags(flags)
	g.Expect(flags.Parse(append([]string{path}, args...))).To(Succeed())
	paths, err := parseInterleaved(flags)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(paths).To(Equal([]string{path}))
	var output bytes.Buffer
	status := command.checkState(ctx, path, &output)
	return status, strings.ReplaceAll(output.String(), path, "state.json")
}

func TestCheckState(t *testing.T) {
	g := NewWithT(t)
	status, output := runCheck(t, t.Context(), cleanState)
	g.Expect(status).To(Equal(subcommands.ExitSuccess))
	g.Expect(output).To(Equal("state.json: no findings\n"))

	status, output = runCheck(t, t.Context(), cleanState, "--format", "json")
	g.Expect(status).To(Equal(subcommands.ExitSuccess))
	g.Expect(output).To(MatchJSON(`{"file":"state.json","findings":[]}`))

	for _, absent := range []string{``, `"routes":null,`} {
		status, output = runCheck(t, t.Context(), `{"version":7,`+absent+`"services":[],"limits":{}}`)
		g.Expect(status).To(Equal(subcommands.ExitFailure))
		g.Expect(output).To(ContainSubstring("error: routes: platform: routes: found none"))
	}

	invalid := strings.Replace(cleanState, "/8443/", "/0/", 1)
	status, output = runCheck(t, t.Context(), invalid)
	g.Expect(status).To(Equal(subcommands.ExitFailure))
	g.Expect(output).To(Equal(`state.json:2:36: error: routes[0].path-prefix: platform: route "r-1": path-prefix: found "/0/", allowed: a port from 1 to 65535 between slashes` + "\n"))

	status, output = runCheck(t, t.Context(), invalid, "--format", "json")
	g.Expect(status).To(Equal(subcommands.ExitFailure))
	g.Expect(output).To(MatchJSON(`{"file":"state.json","findings":[{"severity":"error","line":2,"column":36,"path":"routes[0].path-prefix",
		"message":"platform: route \"r-1\": path-prefix: found \"/0/\", allowed: a port from 1 to 65535 between slashes"}]}`))

	status, _ = runCheck(t, t.Context(), cleanState, "--format", "xml")
	g.Expect(status).To(Equal(subcommands.ExitUsageError))
	g.Expect((&checkCommand{}).checkState(t.Context(), "/nonexistent", nil)).To(Equal(exitUnreadable))
}

// Only the leader has the version in force; others redirect to it. No call but GET is made.
func TestCheckStateAgainstVersionInForce(t *testing.T) {
	g := NewWithT(t)
	var calls atomic.Int64
	var body atomic.Pointer[string]
	leader := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls.Add(1)
		if r.Method != http.MethodGet || r.URL.Path != "/Config.Get" {
			t.Errorf("got %s %s", r.Method, r.URL)
		}
		_, _ = w.Write([]byte(*body.Load()))
	}))
	t.Cleanup(leader.Close)
	follower := httptest.NewServer(http.RedirectHandler(leader.URL+"/Config.Get", http.StatusTemporaryRedirect))
	t.Cleanup(follower.Close)
	against := []string{"--against", follower.Listener.Addr().String()}
	inForce := cleanState
	body.Store(&inForce)

	next := strings.Replace(cleanState, `"version":7`, `"version":8`, 1)
	status, output := runCheck(t, t.Context(), next, against...)
	g.Expect(status).To(Equal(subcommands.ExitSuccess), output)
	g.Expect(calls.Load()).To(Equal(int64(1)))

	status, output = runCheck(t, t.Context(), strings.Replace(next, "1000", "2000", 1), append(against, "--format=json")...)
	g.Expect(status).To(Equal(subcommands.ExitFailure))
	var report stateReport
	g.Expect(json.Unmarshal([]byte(output), &report)).To(Succeed())
	g.Expect(report.Findings).To(HaveLen(1))
	f := report.Findings[0]
	g.Expect([]any{f.Severity, f.Line, f.Entry, f.Field, f.From, f.To}).To(HaveExactElements(
		BeEquivalentTo("difference"), 2, `route "r-1"`, "timeout-ms", "1000", "2000"))

	// Earlier releases accepted a state without limits.
	incomplete := strings.Replace(cleanState, ",\n \"limits\":{}", "", 1)
	body.Store(&incomplete)
	status, output = runCheck(t, t.Context(), next, against...)
	g.Expect(status).To(Equal(subcommands.ExitSuccess), output)

	garbage := "no JSON"
	body.Store(&garbage)
	status, _ = runCheck(t, t.Context(), next, against...)
	g.Expect(status).To(Equal(exitUnreadable))
}

// An instance that is down, has no version in force, redirects forever or does not answer must
// end the check with its own exit code.
func TestCheckStateAgainstInstanceThatCannotAnswer(t *testing.T) {
	handlers := map[string]http.HandlerFunc{
		"no version in force": func(w http.ResponseWriter, _ *http.Request) { http.Error(w, "no table", http.StatusServiceUnavailable) },
		"redirects": func(w http.ResponseWriter, r *http.Request) {
			http.Redirect(w, r, r.URL.Path, http.StatusTemporaryRedirect)
		},
		"silent": func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() },
	}
	for name, handler := range handlers {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(handler)
			t.Cleanup(server.Close)
			ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
			defer cancel()
			status, output := runCheck(t, ctx, cleanState, "--against", server.Listener.Addr().String())
			NewWithT(t).Expect(status).To(Equal(exitUnreadable))
			NewWithT(t).Expect(output).To(BeEmpty())
			server.Close()
			status, _ = runCheck(t, ctx, cleanState, "--against", server.Listener.Addr().String())
			NewWithT(t).Expect(status).To(Equal(exitUnreadable), "down")
		})
	}
}
