package link

import (
	"crypto/tls"
	"crypto/x509"
	"os"
)

// LoadTLS reads a certificate, its private key and the certificates of the
// authority from PEM files and returns the client and server configurations for
// mutual TLS. Without a certificate path both are nil, and links are neither
// encrypted nor authenticated.
func LoadTLS(certificate, key, authority string) (client, server *tls.Config, err error) {
	if certificate == "" {
		return nil, nil, nil
	}
	pair, err := tls.LoadX509KeyPair(certificate, key)
	if err != nil {
		return nil, nil, Error.Wrap(err)
	}
	pem, err := os.ReadFile(authority)
	if err != nil {
		return nil, nil, Error.Wrap(err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, nil, Error.New("no certificate in %s", authority)
	}
	client = &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{pair},
		RootCAs:      pool,
	}
	server = &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{pair},
		ClientCAs:    pool,
		ClientAuth:   tls.RequireAndVerifyClientCert,
	}
	return client, server, nil
}
