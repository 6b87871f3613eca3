package agent

import (
	"crypto/tls"

	"sassafrasturn.example/internal/trialcert"
)

// certificate loads the service's certificate, or makes a self-signed one for
// trials when the settings name none.
func (a *Agent) certificate() (tls.Certificate, error) {
	s := a.instance.Settings.Agent
	if s.Certificate != "" {
		pair, err := tls.LoadX509KeyPair(s.Certificate, s.CertificateKey)
		return pair, Error.Wrap(err)
	}
	a.instance.Log.Warn().Msg("no certificate in the settings: using a self-signed one, for trials only")
	return trialcert.New()
}
