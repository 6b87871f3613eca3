package naive

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"net/netip"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"

	"sassafrasturn.example/internal/trialcert"
)

// ServeHTTP3 serves the handler over HTTP/3 at the address until ctx ends. It uses a
// self-signed certificate.
func ServeHTTP3(ctx context.Context, address netip.AddrPort, handler http.Handler) error {
	certificate, err := trialcert.New()
	if err != nil {
		return err
	}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return Error.Wrap(err)
	}
	server := &http3.Server{
		Handler:    handler,
		TLSConfig:  http3.ConfigureTLSConfig(&tls.Config{Certificates: []tls.Certificate{certificate}}),
		QUICConfig: &quic.Config{},
	}
	context.AfterFunc(ctx, func() { server.Close() })
	if err := server.Serve(conn); ctx.Err() == nil {
		return Error.Wrap(err)
	}
	return nil
}
