package keyer

import (
	"crypto/tls"
	"errors"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"
)

type fakeClock struct{ now time.Time }

func (c *fakeClock) Now() time.Time { return c.now }

// handshake connects once. It returns the serial number of the server's certificate and the
// role that the server found in the client's certificate.
func handshake(is *is.I, server, client *tls.Config) (string, Role) {
	a, b := net.Pipe()
	defer a.Close()
	defer b.Close()
	clientRole := make(chan Role, 1)
	go func() {
		s := tls.Server(a, server)
		if s.Handshake() != nil {
			clientRole <- ""
			return
		}
		role, _ := PeerRole(s.ConnectionState())
		clientRole <- role
	}()
	config := client.Clone()
	config.ServerName = "127.0.0.1"
	c := tls.Client(b, config)
	is.NoErr(c.Handshake())
	return c.ConnectionState().PeerCertificates[0].SerialNumber.String(), <-clientRole
}

func TestReplacedCertificateIsLoadedWithoutRestart(t *testing.T) {
	is := is.New(t)
	folder := t.TempDir()
	clock := &fakeClock{now: time.Unix(1_800_000_000, 0)}
	is.NoErr(CreateCA(folder, clock.now))
	issue := func(name string, role Role) *tls.Config {
		is.NoErr(IssueCertificate(folder, name, role, []string{"127.0.0.1"}, clock.now, time.Hour))
		c, err := LoadTLSConfig(KeyFiles{
			CACert: filepath.Join(folder, CACertFile), Cert: filepath.Join(folder, name+".crt"), Key: filepath.Join(folder, name+".key"),
		}, clock)
		is.NoErr(err)
		return c
	}
	server, client := issue("i1", RoleInstance), issue("alice", RoleOperator)
	before, role := handshake(is, server, client)
	is.Equal(role, RoleOperator)
	clock.now = clock.now.Add(time.Minute)
	is.NoErr(IssueCertificate(folder, "i1", RoleInstance, []string{"127.0.0.1"}, clock.now, time.Hour))
	later := time.Now().Add(time.Minute) // so that the change is seen on a file system with coarse timestamps
	is.NoErr(os.Chtimes(filepath.Join(folder, "i1.crt"), later, later))
	after, _ := handshake(is, server, client)
	is.True(before != after)
	is.NoErr(os.WriteFile(filepath.Join(folder, "i1.crt"), []byte("damaged"), 0o600))
	clock.now = clock.now.Add(time.Minute)
	afterDamage, _ := handshake(is, server, client) // the old certificate stays in use
	is.Equal(afterDamage, after)
}

func TestExistingCAUnknownRoleAndBadKeyFileAreRejected(t *testing.T) {
	is := is.New(t)
	folder := t.TempDir()
	now := time.Unix(1_800_000_000, 0)
	is.NoErr(CreateCA(folder, now))
	var exists *CAExistsError
	is.True(errors.As(CreateCA(folder, now), &exists))
	var role *RoleError
	is.True(errors.As(IssueCertificate(folder, "x", "king", nil, now, time.Hour), &role))
	key, err := ReadGroupKey(filepath.Join(folder, GroupKeyFile))
	is.NoErr(err)
	is.Equal(len(key), 32)
	var format *KeyFileFormatError
	_, err = ReadGroupKey(filepath.Join(folder, CACertFile))
	is.True(errors.As(err, &format))
}
