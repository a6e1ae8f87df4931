package grpcnode

// The keys of TLS towards the nodes, and their change in service. A set of files that does not hold together
// is turned down whole, and what was there before stays in use.

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

// CredentialFiles names the files of a keyring. The pair may be left out: then the node asks for none.
type CredentialFiles struct {
	CA   string // who signs the nodes' certificates
	Cert string // our own, and its key
	Key  string
}

// Credentials holds what connections are opened with from now on.
type Credentials struct {
	files   CredentialFiles
	mu      sync.Mutex // guards last: one reload at a time
	last    []byte     // what the files held when they were last looked at
	current atomic.Pointer[tls.Config]
}

// LoadCredentials reads the files for the first time.
func LoadCredentials(files CredentialFiles) (*Credentials, error) {
	k := &Credentials{files: files}
	_, err := k.Reload()
	return k, err
}

// Reload reads the files again. It tells whether something else is in force now. An error is told once for
// each state of the files.
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
	if k.current.Load() != nil && bytes.Equal(all, k.last) {
		return false, nil
	}
	k.last = all
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

// Config is what a connection to a server of that name is opened with.
func (k *Credentials) Config(name string) *tls.Config {
	c := k.current.Load().Clone()
	c.ServerName = name
	return c
}
