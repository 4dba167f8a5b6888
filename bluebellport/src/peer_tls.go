package bbport

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/juju/errors"
)

// peerName is the DNS name that an instance's certificate must carry.
const peerName = "bluebellport-peer"

// tlsConfig returns the configuration of mutual TLS, or nil when it is off.
// Errors name the flag and the file.
func (o *PeerOptions) tlsConfig() (*tls.Config, error) {
	if o.Cert == "" && o.Key == "" && o.CA == "" {
		return nil, nil
	}
	if o.Cert == "" || o.Key == "" || o.CA == "" {
		return nil, errors.New("--peer-cert, --peer-key, --peer-ca: set all three or none")
	}
	cert, err := tls.LoadX509KeyPair(o.Cert, o.Key)
	if err != nil {
		return nil, errors.Errorf("--peer-cert %q, --peer-key %q: %v", o.Cert, o.Key, err)
	}
	pem, err := os.ReadFile(o.CA)
	if err != nil {
		return nil, errors.Errorf("--peer-ca: %v", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, errors.Errorf("--peer-ca %q: holds no certificate", o.CA)
	}
	return &tls.Config{
		MinVersion:       tls.VersionTLS13,
		Certificates:     []tls.Certificate{cert},
		RootCAs:          pool,
		ClientCAs:        pool,
		ClientAuth:       tls.RequireAndVerifyClientCert,
		ServerName:       peerName,
		VerifyConnection: checkPeerName,
	}, nil
}

// checkPeerName rejects certificates that the same authority has issued, but
// not for an instance.
func checkPeerName(cs tls.ConnectionState) error {
	if len(cs.PeerCertificates) == 0 {
		return errors.New("no certificate")
	}
	return cs.PeerCertificates[0].VerifyHostname(peerName)
}
