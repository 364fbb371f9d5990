// Package keyer creates and loads the keys of a deployment: a certificate authority (CA),
// certificates that name the role of their holder, and the key that all instances share to
// authenticate datagrams.
package keyer

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/hex"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// Role is the role of the holder of a certificate. It is stored as the organizational unit
// of the subject.
type Role string

// The roles.
const (
	RoleInstance Role = "instance"
	RoleOperator Role = "operator"
	RoleTarget   Role = "target"
)

// Names of the files in a key folder.
const (
	CACertFile   = "ca.crt"
	caKeyFile    = "ca.key"
	GroupKeyFile = "group.key"
)

// Durations and sizes.
const (
	caValidity          = 10 * 365 * 24 * time.Hour
	DefaultCertValidity = 90 * 24 * time.Hour
	clockSkewMargin     = time.Hour        // certificates are valid from this long before they are issued
	groupKeySize        = 32               // bytes
	reloadInterval      = 10 * time.Second // between two checks for a replaced certificate
)

// RoleError reports a role that does not exist, or a caller whose role is not the required
// one.
type RoleError struct {
	Have Role
	Want Role // required role, the first one of several, or the list of the roles that exist
}

// Error implements error.
func (e *RoleError) Error() string {
	return "role " + string(e.Have) + " is not " + string(e.Want)
}

// KeyFileFormatError reports a file that does not hold a key or certificate in the expected
// format.
type KeyFileFormatError struct {
	File string
}

// Error implements error.
func (e *KeyFileFormatError) Error() string {
	return "not a key or certificate: " + e.File
}

// CAExistsError reports that a folder already holds a CA certificate.
type CAExistsError struct {
	File string
}

// Error implements error.
func (e *CAExistsError) Error() string {
	return "CA certificate exists already: " + e.File
}

// CreateCA creates a CA certificate with its key, and a group key, in folder. It returns a
// *CAExistsError if the folder already holds a CA certificate, and does not replace that.
func CreateCA(folder string, now time.Time) error {
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return eris.Wrap(err, "create key folder")
	}
	path := filepath.Join(folder, CACertFile)
	if _, err := os.Stat(path); err == nil {
		return &CAExistsError{File: path}
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return eris.Wrap(err, "generate key")
	}
	template := &x509.Certificate{
		SerialNumber:          serialNumber(now),
		Subject:               pkix.Name{CommonName: "almondpick authority"},
		NotBefore:             now.Add(-clockSkewMargin),
		NotAfter:              now.Add(caValidity),
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		return eris.Wrap(err, "sign CA certificate")
	}
	if err := writeCertAndKey(path, filepath.Join(folder, caKeyFile), der, key); err != nil {
		return err
	}
	return writeGroupKey(folder)
}

// serialNumber returns a serial number that is unique unless two certificates are issued
// within one nanosecond.
func serialNumber(now time.Time) *big.Int {
	return big.NewInt(now.UnixNano())
}

func writeGroupKey(folder string) error {
	var b [groupKeySize]byte
	rand.Read(b[:]) // never fails
	text := hex.EncodeToString(b[:]) + "\n"
	return writeFile(filepath.Join(folder, GroupKeyFile), []byte(text))
}

// IssueCertificate creates or replaces the certificate NAME.crt and its key NAME.key in
// folder, for the given host names and IP addresses. Running processes load a replaced
// certificate by themselves. It returns a *RoleError if the role does not exist.
func IssueCertificate(folder, name string, role Role, hosts []string, now time.Time, validity time.Duration) error {
	if !slices.Contains([]Role{RoleInstance, RoleOperator, RoleTarget}, role) {
		return &RoleError{Have: role, Want: "instance, operator or target"}
	}
	ca, err := tls.LoadX509KeyPair(filepath.Join(folder, CACertFile), filepath.Join(folder, caKeyFile))
	if err != nil {
		return eris.Wrap(err, "load CA certificate and key")
	}
	caCert, err := x509.ParseCertificate(ca.Certificate[0])
	if err != nil {
		return eris.Wrap(err, "parse CA certificate")
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return eris.Wrap(err, "generate key")
	}
	template := &x509.Certificate{
		SerialNumber: serialNumber(now),
		Subject:      pkix.Name{CommonName: name, OrganizationalUnit: []string{string(role)}},
		NotBefore:    now.Add(-clockSkewMargin),
		NotAfter:     now.Add(validity),
		KeyUsage:     x509.KeyUsageDigitalSignature,
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	for _, h := range hosts {
		if ip := net.ParseIP(h); ip != nil {
			template.IPAddresses = append(template.IPAddresses, ip)
		} else {
			template.DNSNames = append(template.DNSNames, h)
		}
	}
	der, err := x509.CreateCertificate(rand.Reader, template, caCert, key.Public(), ca.PrivateKey)
	if err != nil {
		return eris.Wrap(err, "sign certificate")
	}
	return writeCertAndKey(filepath.Join(folder, name+".crt"), filepath.Join(folder, name+".key"), der, key)
}

// writeCertAndKey writes a certificate and its key as PEM files.
func writeCertAndKey(certFile, keyFile string, der []byte, key *ecdsa.PrivateKey) error {
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return eris.Wrap(err, "encode key")
	}
	keyPEM := pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: keyDER})
	if err := writeFile(keyFile, keyPEM); err != nil {
		return err
	}
	return writeFile(certFile, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}))
}

// writeFile replaces a file atomically, so that no process reads an incomplete one.
func writeFile(path string, b []byte) error {
	if err := os.WriteFile(path+".new", b, 0o600); err != nil {
		return eris.Wrap(err, "write key file")
	}
	return eris.Wrap(os.Rename(path+".new", path), "replace key file")
}

// ReadGroupKey reads a group key file. It returns a *KeyFileFormatError if the file does not
// hold a key of groupKeySize bytes in hexadecimal.
func ReadGroupKey(path string) ([]byte, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, eris.Wrap(err, "read group key")
	}
	key, err := hex.DecodeString(strings.TrimSpace(string(b)))
	if err != nil || len(key) != groupKeySize {
		return nil, &KeyFileFormatError{File: path}
	}
	return key, nil
}

// Clock provides the current time.
type Clock interface {
	Now() time.Time
}

// KeyFiles are the paths of the PEM files that a process needs for TLS.
type KeyFiles struct {
	CACert string
	Cert   string
	Key    string
}

// certReloader holds the certificate of a process and loads it again after its file has been
// replaced.
type certReloader struct {
	files       KeyFiles
	clock       Clock
	mu          sync.Mutex
	cert        *tls.Certificate
	checkedAt   time.Time
	certModTime time.Time
}

// LoadTLSConfig returns a TLS configuration for servers and clients that requires the peer
// to have a certificate of the same CA. The caller has to check the role of the peer, with
// PeerRole.
func LoadTLSConfig(files KeyFiles, clock Clock) (*tls.Config, error) {
	pool := x509.NewCertPool()
	b, err := os.ReadFile(files.CACert)
	if err != nil {
		return nil, eris.Wrap(err, "read CA certificate")
	}
	if !pool.AppendCertsFromPEM(b) {
		return nil, &KeyFileFormatError{File: files.CACert}
	}
	r := &certReloader{files: files, clock: clock}
	if _, err := r.certificate(); err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		RootCAs:    pool,
		ClientCAs:  pool,
		ClientAuth: tls.RequireAndVerifyClientCert,
		Time:       clock.Now,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return r.certificate()
		},
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return r.certificate()
		},
	}, nil
}

// certificate returns the current certificate. The file is checked at most once in
// reloadInterval and loaded if it was replaced. If it cannot be loaded, the old certificate
// stays in use.
func (r *certReloader) certificate() (*tls.Certificate, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	if r.cert != nil && now.Sub(r.checkedAt) < reloadInterval {
		return r.cert, nil
	}
	r.checkedAt = now
	info, err := os.Stat(r.files.Cert)
	if r.cert != nil && (err != nil || info.ModTime().Equal(r.certModTime)) {
		return r.cert, nil
	}
	cert, err := tls.LoadX509KeyPair(r.files.Cert, r.files.Key)
	if err != nil && r.cert != nil {
		return r.cert, nil
	}
	if err != nil {
		return nil, eris.Wrap(err, "load certificate")
	}
	r.cert = &cert
	if info != nil {
		r.certModTime = info.ModTime()
	}
	return r.cert, nil
}

// PeerRole returns the role and the name in the verified certificate of the peer. The role
// is empty if the peer has no verified certificate, or one without exactly one
// organizational unit.
func PeerRole(state tls.ConnectionState) (Role, string) {
	if len(state.VerifiedChains) == 0 || len(state.PeerCertificates) == 0 {
		return "", ""
	}
	subject := state.PeerCertificates[0].Subject
	if len(subject.OrganizationalUnit) != 1 {
		return "", subject.CommonName
	}
	return Role(subject.OrganizationalUnit[0]), subject.CommonName
}
