package peer

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"

	"azurestair.example/azurestair"
)

// LoadTLS returns the configuration for mutual TLS between instances, or nil if
// certFile is empty. The certificate is read for every handshake, so that a
// replaced file takes effect without a restart.
func LoadTLS(certFile, keyFile, caFile string) (*tls.Config, error) {
	if certFile == "" {
		return nil, nil //nolint:nilnil // no TLS is configured
	}
	load := func() (*tls.Certificate, error) {
		c, err := tls.LoadX509KeyPair(certFile, keyFile)
		return &c, err
	}
	if _, err := load(); err != nil {
		return nil, fmt.Errorf("%w: certificate: %w", azurestair.ErrInvalid, err)
	}
	pem, err := os.ReadFile(caFile)
	if err != nil {
		return nil, fmt.Errorf("read CA certificate: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, fmt.Errorf("%w: %s contains no certificate", azurestair.ErrInvalid, caFile)
	}
	return &tls.Config{
		MinVersion:           tls.VersionTLS13,
		ClientAuth:           tls.RequireAndVerifyClientCert,
		RootCAs:              pool,
		ClientCAs:            pool,
		GetCertificate:       func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return load() },
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return load() },
	}, nil
}
