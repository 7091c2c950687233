package app_test

import (
	"bytes"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"io"
	"log/slog"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/ledgepin/ledgepin/app"
	"github.com/ledgepin/ledgepin/cli"
	"github.com/ledgepin/ledgepin/config"
	"github.com/ledgepin/ledgepin/fault"
	"github.com/ledgepin/ledgepin/internal/freeport"
	"github.com/ledgepin/ledgepin/wire"
)

// writeCert writes a self-signed certificate for 127.0.0.1, which is also its CA,
// and its key, and returns their files.
func writeCert(t *testing.T, dir, name string) (cert, key string) {
	t.Helper()
	priv, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	tmpl := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: name}, NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, IsCA: true, BasicConstraintsValid: true,
		KeyUsage: x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, tmpl, &priv.PublicKey, priv)
	assert.NilError(t, err)
	keyDER, err := x509.MarshalECPrivateKey(priv)
	assert.NilError(t, err)
	cert, key = filepath.Join(dir, name+".crt"), filepath.Join(dir, name+".key")
	assert.NilError(t, os.WriteFile(cert, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), 0o600))
	assert.NilError(t, os.WriteFile(key, pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: keyDER}), 0o600))
	return cert, key
}

// TestTLSAndTokensAreRequired runs control and an entry with TLS and tokens. They
// must work together, and refuse operators and links with another CA, with another
// token or without TLS.
func TestTLSAndTokensAreRequired(t *testing.T) {
	dir := t.TempDir()
	cert, key := writeCert(t, dir, "fleet")
	peers, operators := filepath.Join(dir, "peers"), filepath.Join(dir, "operators")
	assert.NilError(t, os.WriteFile(peers, []byte("the peers' long token"), 0o600))
	assert.NilError(t, os.WriteFile(operators, []byte("the operators' long token"), 0o600))
	links := freeport.Addr(t)

	start := func(name, section string) *app.Process {
		text := fmt.Sprintf("name: %s\nzone: z\noperators: 127.0.0.1:0\ntls: {cert: %s, key: %s, ca: %s}\ntokens: {peers: %s, operators: %s}\n%s",
			name, cert, key, cert, peers, operators, section)
		f, err := config.Parse(name, []byte(text))
		assert.NilError(t, err)
		p, err := app.Start(f, slog.New(slog.NewTextHandler(io.Discard, nil)))
		assert.NilError(t, err)
		t.Cleanup(p.Close)
		return p
	}
	control := start("c1", fmt.Sprintf("roles: [control]\ndata: %s\ncontrol: {links: %q, members: {c1: %q}}\n", filepath.Join(dir, "c1"), links, links))
	entry := start("e1", fmt.Sprintf("roles: [entry]\nentry: {callers: 127.0.0.1:0, upstream: [%q]}\n", links))

	tree := filepath.Join(dir, "tree.yaml")
	assert.NilError(t, os.WriteFile(tree, []byte("fleet: {queue_limit: 7}\n"), 0o600))
	ledgepin := func(args ...string) (string, int) {
		var out bytes.Buffer
		return out.String(), cli.Main(t.Context(), args, &out, &out)
	}
	good := []string{"--operator", control.Operators, "--ca", cert, "--token-file", operators}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if out, code := ledgepin(append([]string{"settings", "apply", tree}, good...)...); code != cli.ExitOK {
			return poll.Continue("%s", out)
		}
		return poll.Success()
	}, poll.WithTimeout(10*time.Second))
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		var out bytes.Buffer
		code := cli.Main(t.Context(), []string{"dump", entry.Operators, "--ca", cert, "--token-file", operators}, &out, &out)
		if code != cli.ExitOK || !strings.Contains(out.String(), `"settings_revision": 1`) {
			return poll.Continue("%s", out.String())
		}
		return poll.Success()
	}, poll.WithTimeout(10*time.Second))

	other, _ := writeCert(t, dir, "other")
	_, code := ledgepin("dump", entry.Operators, "--ca", other, "--token-file", operators)
	assert.Equal(t, code, cli.ExitFailed, "another CA")
	_, code = ledgepin("dump", entry.Operators, "--ca", cert, "--token-file", peers)
	assert.Equal(t, code, cli.ExitFailed, "another token")
	_, code = ledgepin("dump", entry.Operators)
	assert.Equal(t, code, cli.ExitFailed, "no TLS")
	_, err := wire.Dial(t.Context(), links, wire.Options{Hello: func() wire.Hello { return wire.Hello{} }, Token: "the peers' long token"})
	assert.Assert(t, fault.Is(err, fault.LinkLost), "a plain link: %v", err)
}
