package agent

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"math/big"
	"net"
	"time"
)

const selfSignedLife = 365 * 24 * time.Hour

// certificate loads the service's certificate, or makes a self-signed one for
// trials when the settings name none.
func (a *Agent) certificate() (tls.Certificate, error) {
	s := a.instance.Settings.Agent
	if s.Certificate != "" {
		pair, err := tls.LoadX509KeyPair(s.Certificate, s.CertificateKey)
		return pair, Error.Wrap(err)
	}
	a.instance.Log.Warn().Msg("no certificate in the settings: using a self-signed one, for trials only")
	return selfSigned()
}

func selfSigned() (tls.Certificate, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return tls.Certificate{}, Error.Wrap(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1),
		NotBefore:    time.Now().Add(-time.Hour),
		NotAfter:     time.Now().Add(selfSignedLife),
		DNSNames:     []string{"localhost"},
		IPAddresses:  []net.IP{net.IPv4(127, 0, 0, 1)},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return tls.Certificate{}, Error.Wrap(err)
	}
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}, nil
}
