package harness_test

import (
	"os"
	"os/exec"
	"path/filepath"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// run runs a program until it exits and returns its output and exit code.
func run(path string, args ...string) (string, int) {
	command := exec.Command(path, args...)
	output, err := command.CombinedOutput()
	if err != nil {
		Expect(err).To(BeAssignableToTypeOf(&exec.ExitError{}))
	}
	return string(output), command.ProcessState.ExitCode()
}

func writeFile(name, text string) string {
	path := filepath.Join(GinkgoT().TempDir(), name)
	Expect(os.WriteFile(path, []byte(text), 0o600)).To(Succeed())
	return path
}

var _ = Describe("the command lines", func() {
	DescribeTable("exit codes and messages",
		func(program func() string, args []string, code int, message string) {
			output, got := run(program(), args...)
			Expect(output).To(ContainSubstring(message))
			Expect(got).To(Equal(code), output)
		},
		Entry("daemon help", daemon, []string{"help"}, 0, "run an instance from its settings file"),
		Entry("daemon without settings", daemon, []string{"run"}, 2, "--settings is missing"),
		Entry("daemon without its file", daemon, []string{"run", "--settings", "/nowhere.ini"}, 2, "/nowhere.ini"),
		Entry("tool help", ctl, []string{"help"}, 0, "submit a service document"),
		Entry("unknown command", ctl, []string{"frobnicate"}, 2, ""),
		Entry("check without file", ctl, []string{"check"}, 2, "check needs a FILE"),
		Entry("no control", ctl, []string{"-control", "127.0.0.1:9", "-timeout", "1s", "list"}, 1, "127.0.0.1:9"),
		Entry("new keys", ctl, []string{"keys"}, 0, "current = 1"),
	)

	It("reports every error in a document without a request to a daemon", func() {
		path := writeFile("bad.ini", "[service]\nname = Bad\n[ramp]\nstrat = 1\n")
		output, code := run(ctl(), "submit", path)
		Expect(code).To(Equal(2))
		Expect(output).To(And(
			ContainSubstring("[service] name"),
			ContainSubstring("[service] address"),
			ContainSubstring("[endpoints] allow"),
			ContainSubstring("[ramp] strat"),
		))
	})
})

func daemon() string { return binaries.Daemon }

func ctl() string { return binaries.Ctl }
