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

// BalancerMetric returns the sum of a balancer's metric over all label values.
func (c *Cluster) BalancerMetric(i int, name string) (float64, error) {
	return readMetric(c.address(firstBalancerHost+i, metricsPort), name)
}

// AgentMetric returns the sum of an agent's metric over all label values.
func (c *Cluster) AgentMetric(service string, i int, name string) (float64, error) {
	address := strings.TrimPrefix(c.EndpointURL(service, i, ""), "http://")
	host := strings.TrimSuffix(address, ":"+strconv.Itoa(endpointPort))
	return readMetric(host+":"+strconv.Itoa(metricsPort), name)
}

// ControlMetric returns the sum of a control instance's metric over all label values.
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

// Metric returns the sum of an instance's metric over all label values, or 0 if the
// instance does not export the metric yet.
func (c *Cluster) Metric(instance, name string) (float64, error) {
	address, err := c.metricsAddress(instance)
	if err != nil {
		return 0, err
	}
	families, err := readFamilies(address)
	return sum(families[name]), err
}

// HealthStatus returns the HTTP status of an instance's health check.
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

// metricsAddress reads the metrics address from the instance's settings file.
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

// UDPAddress returns the address of a port of an instance.
func (c *Cluster) UDPAddress(instance string, port int) string {
	// The error is ignored, because Start gives every instance a metrics address.
	address, _ := c.metricsAddress(instance)
	host, _, _ := strings.Cut(address, ":")
	return host + ":" + strconv.Itoa(port)
}
