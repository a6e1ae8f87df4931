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

// CredentialFiles names the files of the credentials. Cert and Key are optional: the nodes may not require
// them.
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
	k := &Credentials{files: files}
	_, err := k.Reload()
	return k, err
}

// Reload reads the files again and reports whether the credentials have changed. An error is reported once
// per content of the files.
func (k *Credentials) Reload() (bool, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	var texts [3][]byte
	for i, path := range []string{k.files.CA, k.files.Cert, k.files.Key} {
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
	if k.current.Load() != nil && bytes.Equal(all, k.lastRead) {
		return false, nil
	}
	k.lastRead = all
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(texts[0]) {
		return false, fmt.Errorf("%s: no certificate in it", k.files.CA)
	}
	c := &tls.Config{RootCAs: roots, MinVersion: tls.VersionTLS12, NextProtos: []string{"h2"}}
	if k.files.Cert != "" {
		pair, err := tls.X509KeyPair(texts[1], texts[2])
		if err != nil {
			return false, fmt.Errorf("%s, %s: %w", k.files.Cert, k.files.Key, err)
		}
		if pair.Leaf == nil {
			return false, errors.New("the certificate cannot be read")
		}
		if time.Now().After(pair.Leaf.NotAfter) {
			return false, fmt.Errorf("%s: expired on %s", k.files.Cert, pair.Leaf.NotAfter.Format(time.DateOnly))
		}
		c.Certificates = []tls.Certificate{pair}
	}
	k.current.Store(c)
	return true, nil
}

// Config returns the TLS configuration for a connection to a server of the given name.
func (k *Credentials) Config(name string) *tls.Config {
	c := k.current.Load().Clone()
	c.ServerName = name
	return c
}
