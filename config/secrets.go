package config

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
	"strings"

	"github.com/ledgepin/ledgepin/fault"
)

// minTokenChars is the minimum length of a bearer token.
const minTokenChars = 16

// ReadToken reads a bearer token from a file; an empty path gives an empty token.
func ReadToken(path string) (string, error) {
	if path == "" {
		return "", nil
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return "", fault.Wrap(err, fault.InvalidConfig, fault.StepConfig, path)
	}
	token := strings.TrimSpace(string(data))
	if len(token) < minTokenChars {
		return "", fault.New(fault.InvalidConfig, fault.StepConfig, path, fmt.Sprintf("want a token of at least %d characters", minTokenChars))
	}
	return token, nil
}

// Load returns the TLS configurations of listeners and of links; nil for plain TCP.
func (t *TLS) Load() (server, client *tls.Config, err error) {
	if t == nil {
		return nil, nil, nil
	}
	cert, err := tls.LoadX509KeyPair(t.Cert, t.Key)
	if err != nil {
		return nil, nil, fault.Wrap(err, fault.InvalidConfig, fault.StepConfig, t.Cert)
	}
	pool, err := ReadCA(t.CA)
	if err != nil {
		return nil, nil, err
	}
	server = &tls.Config{Certificates: []tls.Certificate{cert}, MinVersion: tls.VersionTLS12}
	client = &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}
	return server, client, nil
}

// ReadCA reads the certificates against which those of peers are checked.
func ReadCA(path string) (*x509.CertPool, error) {
	pem, err := os.ReadFile(path)
	if err != nil {
		return nil, fault.Wrap(err, fault.InvalidConfig, fault.StepConfig, path)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, fault.New(fault.InvalidConfig, fault.StepConfig, path, "the file contains no PEM certificate")
	}
	return pool, nil
}
