package harness

import (
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
)

const metricsTimeout = 2 * time.Second

// BalancerMetric returns the sum over the labels of a balancer's metric.
func (c *Cluster) BalancerMetric(i int, name string) (float64, error) {
	return readMetric(c.address(firstBalancerHost+i, metricsPort), name)
}

// AgentMetric returns the sum over the labels of an agent's metric.
func (c *Cluster) AgentMetric(service string, i int, name string) (float64, error) {
	address := strings.TrimPrefix(c.EndpointURL(service, i, ""), "http://")
	host := strings.TrimSuffix(address, ":"+strconv.Itoa(endpointPort))
	return readMetric(host+":"+strconv.Itoa(metricsPort), name)
}

// ControlMetric returns the sum over the labels of a control instance's metric.
func (c *Cluster) ControlMetric(i int, name string) (float64, error) {
	return readMetric(c.address(firstControlHost+i, metricsPort), name)
}

func readMetric(address, name string) (float64, error) {
	families, err := readFamilies(address)
	if err != nil {
		return 0, err
	}
	if families[name] == nil {
		return 0, Error.New("%s has no metric %s", address, name)
	}
	return sum(families[name]), nil
}

func readFamilies(address string) (map[string]*dto.MetricFamily, error) {
	client := &http.Client{Timeout: metricsTimeout}
	response, err := client.Get("http://" + address + "/metrics")
	if err != nil {
		return nil, Error.Wrap(err)
	}
	defer response.Body.Close()
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(response.Body)
	return families, Error.Wrap(err)
}

func sum(family *dto.MetricFamily) (total float64) {
	for _, metric := range family.GetMetric() {
		total += metric.GetCounter().GetValue() + metric.GetGauge().GetValue()
	}
	return total
}

// Metric returns the sum over the labels of an instance's metric, 0 where no
// label has been used yet.
func (c *Cluster) Metric(instance, name string) (float64, error) {
	address, err := c.metricsAddress(instance)
	if err != nil {
		return 0, err
	}
	families, err := readFamilies(address)
	return sum(families[name]), err
}

// HealthStatus returns the HTTP status of an instance's health answer.
func (c *Cluster) HealthStatus(instance string) (int, error) {
	address, err := c.metricsAddress(instance)
	if err != nil {
		return 0, err
	}
	client := &http.Client{Timeout: metricsTimeout}
	response, err := client.Get("http://" + address + "/healthz")
	if err != nil {
		return 0, Error.Wrap(err)
	}
	response.Body.Close()
	return response.StatusCode, nil
}

// metricsAddress reads the address from the instance's settings file.
func (c *Cluster) metricsAddress(instance string) (string, error) {
	text, err := os.ReadFile(filepath.Join(c.folder, instance+".ini"))
	if err != nil {
		return "", Error.Wrap(err)
	}
	_, section, _ := strings.Cut(string(text), "[metrics]")
	_, value, ok := strings.Cut(section, "listen = ")
	if !ok {
		return "", Error.New("%s has no metrics address", instance)
	}
	address, _, _ := strings.Cut(value, "\n")
	return address, nil
}

// UDPAddress returns an instance's address with the given port.
func (c *Cluster) UDPAddress(instance string, port int) string {
	// Every instance of a cluster started by Start has a metrics address.
	address, _ := c.metricsAddress(instance)
	host, _, _ := strings.Cut(address, ":")
	return host + ":" + strconv.Itoa(port)
}
