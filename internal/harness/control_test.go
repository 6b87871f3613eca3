package harness_test

import (
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"sassafrasturn.example/internal/harness"
)

const (
	controls       = 3
	controlTimeout = 15 * time.Second
)

// controlCluster is a cluster whose control instances are killed, stopped and frozen.
type controlCluster struct {
	*harness.Cluster
	folder  string
	service harness.ServicePlan
	// version is the newest accepted version of the service's document.
	version int
}

func startControlCluster() *controlCluster {
	plan := twoServices()
	plan.Controls = controls
	folder := GinkgoT().TempDir()
	cluster, err := harness.Start(binaries, folder, plan)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(cluster.Close)
	return &controlCluster{Cluster: cluster, folder: folder, service: plan.Services[0], version: 1}
}

var acceptedVersion = regexp.MustCompile(`accepted as version (\d+)`)

// edit submits a changed document. The accepted version must directly follow the previous
// one, which shows that no accepted version was lost.
func (c *controlCluster) edit(flags ...string) {
	GinkgoHelper()
	path := filepath.Join(c.folder, "edit.ini")
	text := fmt.Sprintf("# edit of %d\n", c.version) + c.Document(c.service, c.version)
	Expect(os.WriteFile(path, []byte(text), 0o600)).To(Succeed())
	output, err := c.Ctl(append(append([]string{"submit"}, flags...), path)...)
	Expect(err).NotTo(HaveOccurred(), output)
	match := acceptedVersion.FindStringSubmatch(output)
	Expect(match).NotTo(BeNil(), output)
	got, err := strconv.Atoi(match[1])
	Expect(err).NotTo(HaveOccurred())
	Expect(got).To(Equal(c.version+1), output)
	c.version = got
	if slices.Contains(flags, "-wait") {
		expectInForce(output)
	}
}

// inForceTimeout is the target for the time until a change is in force at all instances.
const inForceTimeout = 6 * time.Second

var inForce = regexp.MustCompile(`in force at (\d+) of (\d+) instances after (\S+)`)

func expectInForce(output string) {
	GinkgoHelper()
	match := inForce.FindStringSubmatch(output)
	Expect(match).NotTo(BeNil(), output)
	Expect(match[1]).To(Equal(match[2]), output)
	took, err := time.ParseDuration(match[3])
	Expect(err).NotTo(HaveOccurred())
	fmt.Fprintln(GinkgoWriter, match[0])
	Expect(took).To(BeNumerically("<=", inForceTimeout), output)
}

func (c *controlCluster) statusOf(i int) string {
	link := regexp.MustCompile(`listen = (\S+:7400)`)
	settings, err := os.ReadFile(filepath.Join(c.folder, harness.ControlName(i)+".ini"))
	Expect(err).NotTo(HaveOccurred())
	// The error is ignored, because the status of an unreachable instance is empty.
	output, _ := c.Ctl("-timeout", "500ms", "-control", link.FindStringSubmatch(string(settings))[1], "status")
	return output
}

// leader returns the index of the control instance that is the leader.
func (c *controlCluster) leader() int {
	GinkgoHelper()
	leader := -1
	Expect(harness.Eventually(controlTimeout, func() error {
		for i := range controls {
			if strings.Contains(c.statusOf(i), "control role: leader") {
				leader = i
				return nil
			}
		}
		return harness.Error.New("no control instance is the leader")
	})).To(Succeed())
	return leader
}

func (c *controlCluster) expectInForceEverywhere() {
	GinkgoHelper()
	for i := range controls {
		Expect(harness.Eventually(controlTimeout, func() error {
			if !strings.Contains(c.statusOf(i), "control term:") {
				return harness.Error.New("no control status from control-%d", i)
			}
			return nil
		})).To(Succeed())
	}
	c.edit("-wait")
	output, err := c.Ctl("list")
	Expect(err).NotTo(HaveOccurred(), output)
	Expect(output).To(MatchRegexp(`order-desk\s+%d\s`, c.version))
}

var _ = Describe("control", func() {
	It("loses no accepted change when its leader is killed, stopped and frozen", func() {
		const edits = 5
		cluster := startControlCluster()
		for range 2 {
			leader := cluster.Process(harness.ControlName(cluster.leader()))
			cluster.edit()
			Expect(leader.Kill()).To(Succeed())
			for range edits {
				cluster.edit()
			}
			Expect(leader.Start()).To(Succeed())
		}
		stopped := cluster.Process(harness.ControlName(cluster.leader()))
		Expect(stopped.Signal(syscall.SIGTERM)).To(Succeed())
		for range edits {
			cluster.edit()
		}
		Eventually(stopped.Done(), controlTimeout).Should(BeClosed())
		Expect(stopped.ExitCode()).To(Equal(0))
		Expect(stopped.Start()).To(Succeed())

		frozen := cluster.Process(harness.ControlName(cluster.leader()))
		Expect(frozen.Signal(syscall.SIGSTOP)).To(Succeed())
		for range edits {
			cluster.edit()
		}
		Expect(frozen.Signal(syscall.SIGCONT)).To(Succeed())
		for range edits {
			cluster.edit()
		}
		cluster.expectInForceEverywhere()
	})

	It("recovers all accepted changes when every control instance is killed and restarted", func() {
		cluster := startControlCluster()
		cluster.edit()
		for i := range controls {
			Expect(cluster.Process(harness.ControlName(i)).Kill()).To(Succeed())
		}
		for i := range controls {
			Expect(cluster.Process(harness.ControlName(i)).Start()).To(Succeed())
		}
		cluster.edit("-wait")
	})

	It("replaces an instance that has lost its disk, and tolerates the loss of another one afterwards", func() {
		cluster := startControlCluster()
		lost := (cluster.leader() + 1) % controls
		name := harness.ControlName(lost)
		Expect(cluster.Process(name).Kill()).To(Succeed())
		Expect(os.RemoveAll(filepath.Join(cluster.folder, name+".data"))).To(Succeed())

		By("not letting it vote under its old ID")
		Expect(cluster.Process(name).Start()).To(Succeed())
		cluster.edit()
		Expect(harness.Eventually(controlTimeout, func() error {
			if !strings.Contains(cluster.statusOf(lost), "control log: committed 0, applied 0") {
				return harness.Error.New("the status does not show an empty log")
			}
			return nil
		})).To(Succeed())

		By("replacing it under a new ID")
		Expect(cluster.Process(name).Kill()).To(Succeed())
		path := filepath.Join(cluster.folder, name+".ini")
		settings, err := os.ReadFile(path)
		Expect(err).NotTo(HaveOccurred())
		const newID = 4
		changed := strings.Replace(string(settings), fmt.Sprintf("id = %d\n", lost+1), fmt.Sprintf("id = %d\n", newID), 1)
		Expect(os.WriteFile(path, []byte(changed), 0o600)).To(Succeed())
		Expect(cluster.Process(name).Start()).To(Succeed())
		address := regexp.MustCompile(`listen = (\S+:7400)`).FindStringSubmatch(changed)[1]
		Expect(harness.Eventually(controlTimeout, func() error {
			output, err := cluster.Ctl("control", "replace", fmt.Sprint(lost+1), fmt.Sprintf("%d@%s", newID, address))
			if err != nil {
				return harness.Error.New("%s", output)
			}
			return nil
		})).To(Succeed())
		Expect(harness.Eventually(controlTimeout, func() error {
			output, err := cluster.Ctl("control", "list")
			if err != nil || strings.Count(output, "voter") != controls || strings.Contains(output, fmt.Sprintf("\n%d ", lost+1)) {
				return harness.Error.New("the instance is not replaced yet: %s", output)
			}
			return nil
		})).To(Succeed())

		By("killing the leader")
		Expect(cluster.Process(harness.ControlName(cluster.leader())).Kill()).To(Succeed())
		cluster.edit("-wait")
	})
})
