package replication

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
	"sync"
	"time"
)

// reloadInterval is the minimum time between two checks of the key files.
const reloadInterval = time.Second

type (
	// KeyFiles holds the paths of PEM files: the certificate chain and private
	// key of this VM, and the certificates of the authorities that sign the
	// certificates of all replicas. The certificate of a VM must contain the id
	// of that VM as a DNS name.
	KeyFiles struct {
		Cert string `toml:"Cert"`
		Key  string `toml:"Key"`
		CA   string `toml:"CA"`
	}

	// KeyError reports a key file that can't be read or is invalid.
	KeyError struct {
		File string
		Err  error
	}

	// NoCertificateError reports a file without a PEM certificate.
	NoCertificateError struct{}

	// KeyStore holds the loaded keys and reloads them after a file has changed.
	// The files are replaced one after the other, so they may be inconsistent
	// for a while; until they are valid, the KeyStore keeps the old keys.
	KeyStore struct {
		files KeyFiles

		mu           sync.Mutex
		lastCheck    time.Time
		fileVersions [3]fileVersion
		version      uint64
		cert         tls.Certificate
		caPool       *x509.CertPool
		err          error
	}

	fileVersion struct {
		modTime time.Time
		size    int64
	}
)

// Error implements the error interface.
func (NoCertificateError) Error() string { return "file contains no PEM certificate" }

// Error returns the file and the cause.
func (e *KeyError) Error() string { return fmt.Sprintf("key file %s: %v", e.File, e.Err) }

// Unwrap returns the cause.
func (e *KeyError) Unwrap() error { return e.Err }

// LoadKeys loads the key files. It returns a KeyError if a file can't be used.
func LoadKeys(files KeyFiles) (*KeyStore, error) {
	s := &KeyStore{files: files}
	s.refresh(time.Now())
	return s, s.err
}

// Version returns the number of successful loads. It first reloads the files if
// they have changed, but checks them at most once per reloadInterval.
func (s *KeyStore) Version() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refresh(time.Now())
	return s.version
}

// Err returns the KeyError of the last failed load or check, or nil if none has
// failed since the last successful load.
func (s *KeyStore) Err() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.err
}

func (s *KeyStore) serverConfig() *tls.Config {
	cert, caPool := s.current()
	return &tls.Config{
		MinVersion:             tls.VersionTLS13,
		Certificates:           []tls.Certificate{cert},
		ClientAuth:             tls.RequireAndVerifyClientCert,
		ClientCAs:              caPool,
		SessionTicketsDisabled: true,
	}
}

func (s *KeyStore) clientConfig(peer string) *tls.Config {
	cert, caPool := s.current()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{cert},
		RootCAs:      caPool,
		ServerName:   peer,
	}
}

func (s *KeyStore) current() (tls.Certificate, *x509.CertPool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refresh(time.Now())
	return s.cert, s.caPool
}

// refresh checks the files at most once per reloadInterval. It loads them if
// one has changed since the last successful load, so a failed load is retried
// at the next check.
func (s *KeyStore) refresh(now time.Time) {
	if now.Sub(s.lastCheck) < reloadInterval {
		return
	}
	s.lastCheck = now
	versions, err := s.files.statFiles()
	if err != nil {
		s.err = err
		return
	}
	if versions == s.fileVersions {
		return
	}
	if s.err = s.load(); s.err == nil {
		s.fileVersions = versions
		s.version++
	}
}

func (s *KeyStore) load() error {
	cert, err := tls.LoadX509KeyPair(s.files.Cert, s.files.Key)
	if err != nil {
		return &KeyError{File: s.files.Cert, Err: err}
	}
	pemData, err := os.ReadFile(s.files.CA)
	if err != nil {
		return &KeyError{File: s.files.CA, Err: err}
	}
	caPool := x509.NewCertPool()
	if !caPool.AppendCertsFromPEM(pemData) {
		return &KeyError{File: s.files.CA, Err: NoCertificateError{}}
	}
	s.cert, s.caPool = cert, caPool
	return nil
}

func (f *KeyFiles) statFiles() ([3]fileVersion, error) {
	var versions [3]fileVersion
	for i, name := range []string{f.Cert, f.Key, f.CA} {
		info, err := os.Stat(name)
		if err != nil {
			return versions, &KeyError{File: name, Err: err}
		}
		versions[i] = fileVersion{modTime: info.ModTime(), size: info.Size()}
	}
	return versions, nil
}
