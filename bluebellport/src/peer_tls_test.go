package bbport

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/matryer/is"

	"bluebellport.example/shared/bbstore"
	"bluebellport.example/shared/bbunit"
	"bluebellport.example/shared/bbwire"
)

// testCA is a certificate authority that writes its certificates to files.
type testCA struct {
	dir  string
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newTestCA(t *testing.T) *testCA {
	ca := &testCA{dir: t.TempDir()}
	ca.key, ca.cert = ca.issue(t, "ca", &x509.Certificate{IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign})
	return ca
}

// issue writes a certificate to NAME.pem and its key to NAME.key. The first one
// is self-signed and becomes the authority's own.
func (ca *testCA) issue(t *testing.T, name string, c *x509.Certificate) (*ecdsa.PrivateKey, *x509.Certificate) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	c.SerialNumber, c.Subject = big.NewInt(time.Now().UnixNano()), pkix.Name{CommonName: name}
	c.NotBefore, c.NotAfter = time.Now().Add(-time.Hour), time.Now().Add(time.Hour)
	parent, signer := ca.cert, ca.key
	if parent == nil {
		parent, signer = c, key
	}
	der, err := x509.CreateCertificate(rand.Reader, c, parent, &key.PublicKey, signer)
	if err != nil {
		t.Fatal(err)
	}
	raw, _ := x509.MarshalECPrivateKey(key)
	ca.write(t, name+".pem", "CERTIFICATE", der)
	ca.write(t, name+".key", "EC PRIVATE KEY", raw)
	cert, _ := x509.ParseCertificate(der)
	return key, cert
}

func (ca *testCA) write(t *testing.T, name, kind string, der []byte) {
	b := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
	if err := os.WriteFile(filepath.Join(ca.dir, name), b, 0o600); err != nil {
		t.Fatal(err)
	}
}

// peerOptions issues a certificate for a DNS name and returns options that use
// it.
func (ca *testCA) peerOptions(t *testing.T, name, dns string) PeerOptions {
	ca.issue(t, name, &x509.Certificate{
		DNSNames:    []string{dns},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	})
	file := func(s string) string { return filepath.Join(ca.dir, s) }
	return PeerOptions{
		ListenAddress: "127.0.0.1:0", GossipPeriod: testGossipPeriod, SuspicionTimeout: testSuspicionTimeout,
		Cert: file(name + ".pem"), Key: file(name + ".key"), CA: file("ca.pem"),
	}
}

func TestMutualTLS(t *testing.T) {
	is := is.New(t)
	ca, other := newTestCA(t), newTestCA(t)
	l, store := newFakeList(t), bbstore.NewMem()
	start := func(id string, o PeerOptions) *testInstance {
		deps := testDeps(id, "d1", l.srv.Listener.Addr().String(), store)
		deps.Opts.Peer = o
		inst := startInstanceWith(t, deps)
		inst.peers.Handle(ticketAskEnvelope(0), func(bbunit.InstanceID, *bbwire.Envelope) *bbwire.Envelope { return ticketTellEnvelope("ok") })
		l.add(id, "d1", inst.address())
		return inst
	}
	a := start("a", ca.peerOptions(t, "a", peerName))
	start("b", ca.peerOptions(t, "b", peerName))
	within(t, 5*time.Second, "a calls b", func() bool { return canCall(a, "b") })
	for id, o := range map[string]PeerOptions{
		"plain":   {ListenAddress: "127.0.0.1:0", GossipPeriod: testGossipPeriod, SuspicionTimeout: testSuspicionTimeout},
		"foreign": other.peerOptions(t, "foreign", peerName),
		"caller":  ca.peerOptions(t, "caller", "api.example"), // issued by the same authority, but not for an instance
	} {
		before := a.peers.dropped.Count()
		inst := start(id, o)
		within(t, 5*time.Second, id+" knows a", func() bool { _, ok := inst.peers.members.address("a"); return ok })
		is.True(!canCall(inst, "a"))
		is.True(!canCall(a, bbunit.InstanceID(id)))
		within(t, 5*time.Second, id+" refused, logged and counted", func() bool { return a.peers.dropped.Count() > before })
	}
	is.True(canCall(a, "b"))
	foreignPeer := other.peerOptions(t, "stranger", peerName)
	cert, err := tls.LoadX509KeyPair(foreignPeer.Cert, foreignPeer.Key)
	is.NoErr(err)
	for name, certs := range map[string][]tls.Certificate{"no certificate": nil, "certificate of another authority": {cert}} {
		conn, err := tls.Dial("tcp", a.peers.Address(), &tls.Config{InsecureSkipVerify: true, Certificates: certs})
		if err == nil {
			_ = conn.SetReadDeadline(time.Now().Add(dialTimeout / 2))
			_, err = conn.Read(make([]byte, 1))
		}
		if err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
			t.Fatalf("%s: not refused: %v", name, err)
		}
	}
}

func TestPeerOptionsCheck(t *testing.T) {
	ca := newTestCA(t)
	valid := func() PeerOptions {
		o := ca.peerOptions(t, "x", peerName)
		o.ListenAddress = "127.0.0.1:8082"
		return o
	}
	cases := map[string]struct {
		invalidate func(o *PeerOptions)
		want       string
	}{
		"valid":                       {func(*PeerOptions) {}, ""},
		"no TLS":                      {func(o *PeerOptions) { o.Cert, o.Key, o.CA = "", "", "" }, ""},
		"address":                     {func(o *PeerOptions) { o.ListenAddress = "8082" }, "--peer: "},
		"advertised host name":        {func(o *PeerOptions) { o.AdvertisedAddress = "host:1" }, `--peer-advertise: not an IP number and port that others can reach: "host:1"`},
		"advertised wildcard":         {func(o *PeerOptions) { o.ListenAddress = "0.0.0.0:1" }, "--peer-advertise: "},
		"period":                      {func(o *PeerOptions) { o.GossipPeriod = 0 }, "--gossip-period: must be above 0"},
		"suspicion":                   {func(o *PeerOptions) { o.SuspicionTimeout = o.GossipPeriod }, "--suspicion: must be at least 3 times"},
		"key alone":                   {func(o *PeerOptions) { o.Cert, o.CA = "", "" }, "set all three or none"},
		"no certificate file":         {func(o *PeerOptions) { o.Cert = "nowhere.pem" }, `--peer-cert "nowhere.pem"`},
		"no CA file":                  {func(o *PeerOptions) { o.CA = "nowhere.pem" }, "--peer-ca: "},
		"CA file without certificate": {func(o *PeerOptions) { o.CA = o.Key }, "holds no certificate"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			o := valid()
			c.invalidate(&o)
			bad := strings.Join(o.check(), "\n")
			is.Equal(c.want == "", bad == "")
			is.True(strings.Contains(bad, c.want))
		})
	}
}
