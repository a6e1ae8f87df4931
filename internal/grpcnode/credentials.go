package grpcnode

// TLS credentials for connections to the nodes, and their reload at run time. An inconsistent set of files is
// rejected as a whole, and the previous credentials stay in use.

import (
	"bytes"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// CredentialFiles names the files of the credentials. Cert and Key are left out where the nodes require no
// client certificate.
type CredentialFiles struct {
	CA   string // the authority that signs the nodes' certificates
	Cert string // this client's certificate
	Key  string
}

// Credentials holds the TLS configuration for new connections.
type Credentials struct {
	files    CredentialFiles
	mu       sync.Mutex // guards lastRead; allows one reload at a time
	lastRead []byte     // the files' contents when last read
	current  atomic.Pointer[tls.Config]
}

// LoadCredentials reads the files for the first time.
func LoadCredentials(files CredentialFiles) (*Credentials, error) {
	cr := &Credentials{files: files}
	_, err := cr.Reload()
	return cr, err
}

// Reload reads the files again and reports whether the credentials have changed. An error in
// the contents is reported once for each state of the files.
func (cr *Credentials) Reload() (bool, error) {
	cr.mu.Lock()
	defer cr.mu.Unlock()
	var texts [3][]byte
	for i, path := range []string{cr.files.CA, cr.files.Cert, cr.files.Key} {
		if path == "" {
			continue
		}
		text, err := os.ReadFile(path)
		if err != nil {
			return false, err
		}
		texts[i] = text
	}
	all := bytes.Join(texts[:], []byte{0})
	if cr.current.Load() != nil && bytes.Equal(all, cr.lastRead) {
		return false, nil
	}
	cr.lastRead = all
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(texts[0]) {
		return false, fmt.Errorf("%s: no certificate in it", cr.files.CA)
	}
	c := &tls.Config{RootCAs: roots, MinVersion: tls.VersionTLS12, NextProtos: []string{"h2"}}
	if cr.files.Cert != "" {
		pair, err := tls.X509KeyPair(texts[1], texts[2])
		if err != nil {
			return false, fmt.Errorf("%s, %s: %w", cr.files.Cert, cr.files.Key, err)
		}
		if pair.Leaf == nil {
			return false, errors.New("the certificate cannot be read")
		}
		if time.Now().After(pair.Leaf.NotAfter) {
			return false, fmt.Errorf("%s: expired on %s", cr.files.Cert, pair.Leaf.NotAfter.Format(time.DateOnly))
		}
		c.Certificates = []tls.Certificate{pair}
	}
	cr.current.Store(c)
	return true, nil
}

// Config returns the TLS configuration for a connection to a server of the given name.
func (cr *Credentials) Config(name string) *tls.Config {
	c := cr.current.Load().Clone()
	c.ServerName = name
	return c
}
