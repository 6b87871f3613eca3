package harness

import (
	"net/http"
	"strconv"
	"strings"
	"time"

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
	client := &http.Client{Timeout: metricsTimeout}
	response, err := client.Get("http://" + address + "/metrics")
	if err != nil {
		return 0, Error.Wrap(err)
	}
	defer response.Body.Close()
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(response.Body)
	if err != nil {
		return 0, Error.Wrap(err)
	}
	family := families[name]
	if family == nil {
		return 0, Error.New("%s has no metric %s", address, name)
	}
	sum := 0.0
	for _, metric := range family.Metric {
		sum += metric.GetCounter().GetValue() + metric.GetGauge().GetValue()
	}
	return sum, nil
}
