// Package keyer makes and loads the keys of a deployment: a certificate authority,
// certificates with a role in them, and the group key of the datagrams.
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

// Role is what the holder of a certificate may do.
type Role string

// The roles.
const (
	RoleInstance Role = "instance"
	RoleOperator Role = "operator"
	RoleTarget   Role = "target"
)

// Names of the files in a key folder.
const (
	CACertFile       = "ca.crt"
	authorityKeyFile = "ca.key"
	GroupKeyFile     = "group.key"
)

// Times and sizes.
const (
	authorityLife       = 10 * 365 * 24 * time.Hour
	DefaultCertValidity = 90 * 24 * time.Hour
	clockSlack          = time.Hour
	groupKeySize        = 32 // bytes
	reloadEvery         = 10 * time.Second
)

// RoleError reports a role that does not exist, or that a caller has not.
type RoleError struct {
	Have Role
	Want Role
}

// Error implements error.
func (e *RoleError) Error() string {
	return "role " + string(e.Have) + " is not " + string(e.Want)
}

// FormatError reports a key file that cannot be read.
type KeyFileFormatError struct {
	File string
}

// Error implements error.
func (e *KeyFileFormatError) Error() string {
	return "not a key or certificate: " + e.File
}

// ExistsError reports that a folder holds an authority already.
type CAExistsError struct {
	File string
}

// Error implements error.
func (e *CAExistsError) Error() string {
	return "there is an authority already: " + e.File
}

// Init makes an authority and a group key in folder. It returns an *ExistsError
// rather than replace an authority.
func CreateCA(folder string, now time.Time) error {
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return eris.Wrap(err, "make key folder")
	}
	path := filepath.Join(folder, CACertFile)
	if _, err := os.Stat(path); err == nil {
		return &CAExistsError{File: path}
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return eris.Wrap(err, "make key")
	}
	template := &x509.Certificate{
		SerialNumber:          serial(now),
		Subject:               pkix.Name{CommonName: "almondpick authority"},
		NotBefore:             now.Add(-clockSlack),
		NotAfter:              now.Add(authorityLife),
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		return eris.Wrap(err, "sign authority")
	}
	if err := writePair(path, filepath.Join(folder, authorityKeyFile), der, key); err != nil {
		return err
	}
	return writeGroupKey(folder)
}

// serial is unique as long as certificates are not issued within one nanosecond.
func serial(now time.Time) *big.Int {
	return big.NewInt(now.UnixNano())
}

func writeGroupKey(folder string) error {
	var b [groupKeySize]byte
	rand.Read(b[:]) // never fails
	text := hex.EncodeToString(b[:]) + "\n"
	return writeFile(filepath.Join(folder, GroupKeyFile), []byte(text))
}

// Issue makes a certificate NAME.crt with its key NAME.key in folder, or replaces
// them. Running processes take up a replaced one by themselves.
func IssueCertificate(folder, name string, role Role, hosts []string, now time.Time, life time.Duration) error {
	if !slices.Contains([]Role{RoleInstance, RoleOperator, RoleTarget}, role) {
		return &RoleError{Have: role, Want: "instance, operator or target"}
	}
	authority, err := tls.LoadX509KeyPair(filepath.Join(folder, CACertFile), filepath.Join(folder, authorityKeyFile))
	if err != nil {
		return eris.Wrap(err, "load authority")
	}
	parent, err := x509.ParseCertificate(authority.Certificate[0])
	if err != nil {
		return eris.Wrap(err, "parse authority")
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return eris.Wrap(err, "make key")
	}
	template := &x509.Certificate{
		SerialNumber: serial(now),
		Subject:      pkix.Name{CommonName: name, OrganizationalUnit: []string{string(role)}},
		NotBefore:    now.Add(-clockSlack),
		NotAfter:     now.Add(life),
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
	der, err := x509.CreateCertificate(rand.Reader, template, parent, key.Public(), authority.PrivateKey)
	if err != nil {
		return eris.Wrap(err, "sign certificate")
	}
	return writePair(filepath.Join(folder, name+".crt"), filepath.Join(folder, name+".key"), der, key)
}

func writePair(certFile, keyFile string, der []byte, key *ecdsa.PrivateKey) error {
	private, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return eris.Wrap(err, "encode key")
	}
	block := pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: private})
	if err := writeFile(keyFile, block); err != nil {
		return err
	}
	return writeFile(certFile, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}))
}

// writeFile replaces a file in one step, so that nobody reads half of it.
func writeFile(path string, b []byte) error {
	if err := os.WriteFile(path+".new", b, 0o600); err != nil {
		return eris.Wrap(err, "write key file")
	}
	return eris.Wrap(os.Rename(path+".new", path), "replace key file")
}

// GroupKey reads a group key file. It returns a *FormatError.
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

// Clock gives the time.
type Clock interface {
	Now() time.Time
}

// Files name the keys of one process.
type KeyFiles struct {
	CACert string
	Cert   string
	Key    string
}

// store holds the certificate of a process and reads it again when the file is
// replaced.
type store struct {
	files   KeyFiles
	clock   Clock
	mu      sync.Mutex
	cert    *tls.Certificate
	checked time.Time
	written time.Time
}

// Load returns TLS settings for both sides of a connection: the peer must have a
// certificate of the same authority. Role checks are up to the caller, by RoleOf.
func LoadTLSConfig(files KeyFiles, clock Clock) (*tls.Config, error) {
	pool := x509.NewCertPool()
	b, err := os.ReadFile(files.CACert)
	if err != nil {
		return nil, eris.Wrap(err, "read authority")
	}
	if !pool.AppendCertsFromPEM(b) {
		return nil, &KeyFileFormatError{File: files.CACert}
	}
	s := &store{files: files, clock: clock}
	if _, err := s.current(); err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		RootCAs:    pool,
		ClientCAs:  pool,
		ClientAuth: tls.RequireAndVerifyClientCert,
		Time:       clock.Now,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return s.current()
		},
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return s.current()
		},
	}, nil
}

// current returns the certificate. A replaced file is taken up within seconds; one
// that cannot be read leaves the old certificate in use.
func (s *store) current() (*tls.Certificate, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	if s.cert != nil && now.Sub(s.checked) < reloadEvery {
		return s.cert, nil
	}
	s.checked = now
	info, err := os.Stat(s.files.Cert)
	if s.cert != nil && (err != nil || info.ModTime().Equal(s.written)) {
		return s.cert, nil
	}
	cert, err := tls.LoadX509KeyPair(s.files.Cert, s.files.Key)
	if err != nil && s.cert != nil {
		return s.cert, nil
	}
	if err != nil {
		return nil, eris.Wrap(err, "load certificate")
	}
	s.cert = &cert
	if info != nil {
		s.written = info.ModTime()
	}
	return s.cert, nil
}

// RoleOf returns the role and name in a verified certificate.
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
