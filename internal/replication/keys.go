package replication

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
	"sync"
	"time"
)

// reloadInterval bounds how often the key files are examined.
const reloadInterval = time.Second

type (
	// KeyFiles names PEM files: the certificate chain and key of this VM, and
	// the authorities that sign the certificates of all replicas. A certificate
	// must name its VM id as DNS name.
	KeyFiles struct {
		Cert string `toml:"Cert"`
		Key  string `toml:"Key"`
		CA   string `toml:"CA"`
	}

	// KeyError reports a key file that can't be used.
	KeyError struct {
		File string
		Err  error
	}

	// NoCertificateError reports a file without a PEM certificate.
	NoCertificateError struct{}

	// KeyStore holds the loaded keys, and loads them again when a file has
	// changed. While the changed files are invalid it keeps the old keys, since
	// files are replaced one after the other.
	KeyStore struct {
		files KeyFiles

		mu      sync.Mutex
		checked time.Time
		marks   [3]fileMark
		version uint64
		cert    tls.Certificate
		pool    *x509.CertPool
		err     error
	}

	fileMark struct {
		changed time.Time
		size    int64
	}
)

// Error says that the file has no certificate.
func (NoCertificateError) Error() string { return "no certificate in the file" }

// Error names the file.
func (e *KeyError) Error() string { return fmt.Sprintf("key file %s: %v", e.File, e.Err) }

// Unwrap returns the cause.
func (e *KeyError) Unwrap() error { return e.Err }

// LoadKeys reads the key files; it returns a KeyError.
func LoadKeys(files KeyFiles) (*KeyStore, error) {
	s := &KeyStore{files: files}
	s.refresh(time.Now())
	return s, s.err
}

// Version counts the successful loads.
func (s *KeyStore) Version() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refresh(time.Now())
	return s.version
}

// Err returns the failure of the last load as a KeyError, or nil.
func (s *KeyStore) Err() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.err
}

func (s *KeyStore) serverConfig() *tls.Config {
	cert, pool := s.current()
	return &tls.Config{
		MinVersion:             tls.VersionTLS13,
		Certificates:           []tls.Certificate{cert},
		ClientAuth:             tls.RequireAndVerifyClientCert,
		ClientCAs:              pool,
		SessionTicketsDisabled: true,
	}
}

func (s *KeyStore) clientConfig(peer string) *tls.Config {
	cert, pool := s.current()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{cert},
		RootCAs:      pool,
		ServerName:   peer,
	}
}

func (s *KeyStore) current() (tls.Certificate, *x509.CertPool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refresh(time.Now())
	return s.cert, s.pool
}

// refresh loads the files if one has changed since the last load. A failed
// load is tried again at the next check.
func (s *KeyStore) refresh(now time.Time) {
	if now.Sub(s.checked) < reloadInterval {
		return
	}
	s.checked = now
	marks, err := s.files.marks()
	if err != nil {
		s.err = err
		return
	}
	if marks == s.marks {
		return
	}
	if s.err = s.load(); s.err == nil {
		s.marks = marks
		s.version++
	}
}

func (s *KeyStore) load() error {
	cert, err := tls.LoadX509KeyPair(s.files.Cert, s.files.Key)
	if err != nil {
		return &KeyError{File: s.files.Cert, Err: err}
	}
	text, err := os.ReadFile(s.files.CA)
	if err != nil {
		return &KeyError{File: s.files.CA, Err: err}
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return &KeyError{File: s.files.CA, Err: NoCertificateError{}}
	}
	s.cert, s.pool = cert, pool
	return nil
}

func (f *KeyFiles) marks() ([3]fileMark, error) {
	var marks [3]fileMark
	for i, name := range []string{f.Cert, f.Key, f.CA} {
		info, err := os.Stat(name)
		if err != nil {
			return marks, &KeyError{File: name, Err: err}
		}
		marks[i] = fileMark{changed: info.ModTime(), size: info.Size()}
	}
	return marks, nil
}
