package agent

import (
	"crypto/tls"

	"sassafrasturn.example/internal/trialcert"
)

// certificate loads the service's certificate, or generates a self-signed one
// for trials if none is configured.
func (a *Agent) certificate() (tls.Certificate, error) {
	s := a.instance.Settings.Agent
	if s.Certificate != "" {
		pair, err := tls.LoadX509KeyPair(s.Certificate, s.CertificateKey)
		return pair, Error.Wrap(err)
	}
	a.instance.Log.Warn().Msg("no certificate configured; using a self-signed one, for trials only")
	return trialcert.New()
}
