package link

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/binary"
	"encoding/pem"
	"io"
	"math/big"
	mathrand "math/rand/v2"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/hashicorp/yamux"
	. "github.com/onsi/gomega"

	"sassafrasturn.example/internal/wire"
)

// statusHandler answers every request with a status.
type statusHandler struct{}

func (statusHandler) ServeStream(_ context.Context, _ *wire.Request, stream net.Conn) {
	response := &wire.Response{Body: &wire.Response_Status{Status: &wire.StatusResponse{Instance: "echo"}}}
	_ = WriteMessage(stream, response)
}

func startServer(t *testing.T, server *Server) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	server.Handler = statusHandler{}
	go server.Serve(ctx, listener)
	return listener.Addr().String()
}

func call(dialer *Dialer, address string) error {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	_, err := dialer.Call(ctx, address, &wire.Request{Body: &wire.Request_Status{Status: &wire.StatusRequest{}}})
	return err
}

// authority signs certificates for 127.0.0.1.
type authority struct {
	key  *ecdsa.PrivateKey
	cert *x509.Certificate
	path string
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	a := &authority{path: filepath.Join(t.TempDir(), "authority.pem")}
	a.key, _ = ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	a.cert = &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"}, IsCA: true, BasicConstraintsValid: true,
		NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageCertSign,
	}
	writePEM(t, a.path, "CERTIFICATE", a.sign(t, a.cert, a.key))
	return a
}

func (a *authority) sign(t *testing.T, cert *x509.Certificate, key *ecdsa.PrivateKey) []byte {
	t.Helper()
	der, err := x509.CreateCertificate(rand.Reader, cert, a.cert, &key.PublicKey, a.key)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	return der
}

// issue writes a certificate and its key and returns their paths.
func (a *authority) issue(t *testing.T) (certificate, keyPath string) {
	t.Helper()
	folder := t.TempDir()
	certificate, keyPath = filepath.Join(folder, "cert.pem"), filepath.Join(folder, "key.pem")
	key, _ := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	der := a.sign(t, &x509.Certificate{
		SerialNumber: big.NewInt(2), NotAfter: time.Now().Add(time.Hour), IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}, key)
	writePEM(t, certificate, "CERTIFICATE", der)
	keyDER, _ := x509.MarshalECPrivateKey(key)
	writePEM(t, keyPath, "EC PRIVATE KEY", keyDER)
	return certificate, keyPath
}

func writePEM(t *testing.T, path, kind string, der []byte) {
	t.Helper()
	data := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
	NewWithT(t).Expect(os.WriteFile(path, data, 0o600)).To(Succeed())
}

func TestMutualTLS(t *testing.T) {
	g := NewWithT(t)
	trusted, untrusted := newAuthority(t), newAuthority(t)
	certificate, key := trusted.issue(t)
	client, serverTLS, err := LoadTLS(certificate, key, trusted.path)
	g.Expect(err).NotTo(HaveOccurred())
	server := &Server{TLS: serverTLS}
	address := startServer(t, server)
	g.Expect(call(&Dialer{TLS: client}, address)).To(Succeed())

	// The server refuses a certificate of another authority, no certificate, and no TLS.
	foreignCert, foreignKey := untrusted.issue(t)
	foreign, _, err := LoadTLS(foreignCert, foreignKey, trusted.path)
	g.Expect(err).NotTo(HaveOccurred())
	withoutCertificate := client.Clone()
	withoutCertificate.Certificates = nil
	for i, dialer := range []*Dialer{{TLS: foreign}, {TLS: withoutCertificate}, {}} {
		err := call(dialer, address)
		g.Expect(err).NotTo(Succeed())
		g.Expect(dialer.TLS != nil || IsClosed(err)).To(BeTrue(), "no TLS: %v", err)
		g.Eventually(func() uint64 { return server.Refused(RefusedHandshake) }, 2*handshakeTimeout).Should(BeEquivalentTo(i + 1))
	}
	// The dialer rejects a server with a certificate of another authority.
	_, impostorTLS, err := LoadTLS(foreignCert, foreignKey, untrusted.path)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(call(&Dialer{TLS: client}, startServer(t, &Server{TLS: impostorTLS}))).NotTo(Succeed())
}

// The peer may close the link before the request is written, while it is written,
// or before the response is complete.
func TestIsClosedAtEveryStageOfARequest(t *testing.T) {
	refused := &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}
	cases := []struct {
		name string
		err  error
		want bool
	}{
		{"stream closed", yamux.ErrStreamClosed, true},
		{"session shut down", yamux.ErrSessionShutdown, true},
		{"reset by yamux", yamux.ErrConnectionReset, true},
		{"EOF before the response", io.EOF, true},
		{"EOF within the response", io.ErrUnexpectedEOF, true},
		{"broken pipe while writing", &net.OpError{Op: "write", Net: "tcp", Err: os.NewSyscallError("write", syscall.EPIPE)}, true},
		{"reset while reading", &net.OpError{Op: "read", Net: "tcp", Err: os.NewSyscallError("read", syscall.ECONNRESET)}, true},
		{"closed locally", &net.OpError{Op: "write", Net: "tcp", Err: net.ErrClosed}, true},
		{"connection refused", refused, false},
		{"deadline exceeded", os.ErrDeadlineExceeded, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			NewWithT(t).Expect(IsClosed(Error.Wrap(c.err))).To(Equal(c.want))
		})
	}
}

func TestMalformedInputIsCountedAndServerKeepsServing(t *testing.T) {
	g := NewWithT(t)
	server := new(Server)
	address := startServer(t, server)
	random := mathrand.NewChaCha8([32]byte{7})
	for range 50 {
		conn, err := net.Dial("tcp", address)
		g.Expect(err).NotTo(HaveOccurred())
		garbage := make([]byte, 4096)
		_, _ = random.Read(garbage)
		_, _ = conn.Write(garbage)
		conn.Close()
	}
	session, err := new(Dialer).Dial(context.Background(), address)
	g.Expect(err).NotTo(HaveOccurred())
	defer session.Close()
	oversized := binary.BigEndian.AppendUint32(nil, MaxFrameBytes+1)
	for i, frame := range [][]byte{oversized, append(binary.BigEndian.AppendUint32(nil, 4), 0xff, 0xff, 0xff, 0xff)} {
		stream, err := session.Open()
		g.Expect(err).NotTo(HaveOccurred())
		_, err = stream.Write(frame)
		g.Expect(err).NotTo(HaveOccurred())
		g.Eventually(func() uint64 { return server.Refused(RefusedMalformed) }).Should(BeEquivalentTo(i + 1))
	}
	g.Expect(call(new(Dialer), address)).To(Succeed())
}

func TestLinksAndStreamsAreBounded(t *testing.T) {
	g := NewWithT(t)
	server := new(Server)
	host := netip.MustParseAddr("10.0.0.1")
	for range maxConnectionsPerHost {
		g.Expect(server.acquire(host)).To(BeTrue())
	}
	g.Expect(server.acquire(host)).To(BeFalse())
	server.release(host)
	g.Expect(server.acquire(host)).To(BeTrue())
	g.Expect(server.Refused(RefusedTooManyLinks)).To(BeEquivalentTo(1))

	address := startServer(t, server)
	g.Expect(call(new(Dialer), address)).To(Succeed())
	session, err := new(Dialer).Dial(context.Background(), address)
	g.Expect(err).NotTo(HaveOccurred())
	defer session.Close()
	for range maxStreamsPerLink + 1 {
		// A stream without a request stays open until requestTimeout.
		_, err := session.Open()
		g.Expect(err).NotTo(HaveOccurred())
	}
	g.Eventually(func() uint64 { return server.Refused(RefusedTooManyStreams) }).Should(BeEquivalentTo(1))
}
