package replication

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"encoding/pem"
	"errors"
	"math/big"
	"net"
	"net/rpc"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"bamboowalk.org/bamboowalk/pkg/fleet"
	"bamboowalk.org/bamboowalk/pkg/replica"
	"go.uber.org/goleak"
	"go.uber.org/zap"
)

type (
	// keyPair is a private key with its certificate, of an authority or a VM.
	keyPair struct {
		cert *x509.Certificate
		key  *ecdsa.PrivateKey
	}

	// testTransport is a running transport. The channel received holds the
	// senders of the received messages. The function in deliver, if any, replaces it.
	testTransport struct {
		*Transport
		received chan fleet.VMID
		deliver  atomic.Value
	}
)

func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

// sign returns a key and a certificate for name. The certificate is signed by
// issuer, or self-signed if issuer is nil.
func (issuer *keyPair) sign(name string) *keyPair {
	key := must(ecdsa.GenerateKey(elliptic.P256(), rand.Reader))
	c := &x509.Certificate{SerialNumber: big.NewInt(1), DNSNames: []string{name},
		NotAfter: time.Now().Add(time.Hour), IsCA: issuer == nil, BasicConstraintsValid: true}
	if issuer == nil {
		issuer = &keyPair{cert: c, key: key}
	}
	der := must(x509.CreateCertificate(rand.Reader, c, issuer.cert, &key.PublicKey, issuer.key))
	return &keyPair{cert: must(x509.ParseCertificate(der)), key: key}
}

// writeKeyFiles signs a certificate for name. It writes this certificate, its
// private key and the certificate of the issuer into dir.
func (issuer *keyPair) writeKeyFiles(dir, name string) KeyFiles {
	leaf := issuer.sign(name)
	write := func(file, kind string, data []byte) string {
		file = filepath.Join(dir, file)
		pemData := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: data})
		if err := os.WriteFile(file, pemData, 0o600); err != nil {
			panic(err)
		}
		return file
	}
	return KeyFiles{
		Cert: write("cert", "CERTIFICATE", leaf.cert.Raw),
		Key:  write("key", "EC PRIVATE KEY", must(x509.MarshalECPrivateKey(leaf.key))),
		CA:   write("ca", "CERTIFICATE", issuer.cert.Raw),
	}
}

// open runs a transport on a loopback port, and stores its address in addresses.
func open(t *testing.T, self fleet.VMID, keys *KeyStore, addresses *sync.Map) *testTransport {
	t.Helper()
	return openWith(t, self, keys, addresses, senderIdleTimeout, nil)
}

// openIdle is open with a timeout for idle peers.
func openIdle(t *testing.T, self fleet.VMID, keys *KeyStore, addresses *sync.Map, idleTimeout time.Duration) *testTransport {
	t.Helper()
	return openWith(t, self, keys, addresses, idleTimeout, nil)
}

// openLogged is open with a log.
func openLogged(t *testing.T, self fleet.VMID, keys *KeyStore, addresses *sync.Map, log *zap.Logger) *testTransport {
	t.Helper()
	return openWith(t, self, keys, addresses, senderIdleTimeout, log)
}

func openWith(t *testing.T, self fleet.VMID, keys *KeyStore, addresses *sync.Map, idleTimeout time.Duration, log *zap.Logger) *testTransport {
	t.Helper()
	listener := must(net.Listen("tcp", "127.0.0.1:0"))
	addresses.Store(self, listener.Addr().String())
	ctx, cancel := context.WithCancel(context.Background())
	tr := &testTransport{received: make(chan fleet.VMID, 100)}
	tr.Transport = &Transport{Self: self, Listener: listener, Keys: keys, Log: log, idleTimeout: idleTimeout,
		Address: func(vm fleet.VMID) string { address, _ := addresses.Load(vm); return address.(string) },
		Deliver: func(from fleet.VMID, m replica.Message) bool {
			if deliver, ok := tr.deliver.Load().(func(replica.Message) bool); ok {
				return deliver(m)
			}
			// Deliver must not block once Run ends.
			select {
			case tr.received <- from:
			case <-ctx.Done():
			}
			return true
		}}
	done := make(chan error, 1)
	go func() { done <- tr.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Errorf("Run: got %v, want no error", err)
		}
	})
	running := func() bool {
		tr.mu.Lock()
		defer tr.mu.Unlock()
		return tr.queue(self) != nil
	}
	if !eventually(running) {
		t.Fatal("the transport is not running")
	}
	return tr
}

func (tr *testTransport) sendJoin(to fleet.VMID) {
	tr.Send(replica.Envelope{To: to, Message: replica.Message{Kind: replica.Join}})
}

// reaches sends messages until one arrives, and reports whether one arrived
// within 5 s.
func (tr *testTransport) reaches(to *testTransport) bool {
	return eventually(func() bool {
		tr.sendJoin(to.Self)
		select {
		case vm := <-to.received:
			return vm == tr.Self
		default:
			return false
		}
	})
}

// eventually polls a condition and reports whether it held within 5 s.
func eventually(condition func() bool) bool {
	deadline := time.Now().Add(5 * time.Second)
	for time.Now().Before(deadline) {
		if condition() {
			return true
		}
		time.Sleep(time.Millisecond)
	}
	return false
}

// Guards against a transport that accepts a peer without a certificate of the
// configured authority, accepts a message whose sender differs from the
// certificate, or needs a restart to use changed keys.
func TestMutualTLS(t *testing.T) {
	t.Cleanup(func() { goleak.VerifyNone(t) })
	ca, addresses := (*keyPair)(nil).sign("ca"), &sync.Map{}
	dirs := []string{t.TempDir(), t.TempDir()}
	keys := []*KeyStore{must(LoadKeys(ca.writeKeyFiles(dirs[0], "a"))), must(LoadKeys(ca.writeKeyFiles(dirs[1], "b")))}
	a, b := open(t, "a", keys[0], addresses), open(t, "b", keys[1], addresses)
	if !a.reaches(b) || !b.reaches(a) {
		t.Error("valid certificates: got no message, want messages in both directions")
	}
	untrusted := (*keyPair)(nil).sign("other ca").writeKeyFiles(t.TempDir(), "c")
	open(t, "c", must(LoadKeys(untrusted)), addresses).sendJoin("b")
	open(t, "x", must(LoadKeys(ca.writeKeyFiles(t.TempDir(), "y"))), addresses).sendJoin("b")
	open(t, "p", nil, addresses).sendJoin("b")
	if !eventually(func() bool { s := b.Stats(); return s.Invalid == 1 && s.Rejected == 2 }) {
		t.Errorf("senders without a matching certificate: got %+v, want 1 invalid and 2 rejected", b.Stats())
	}
	next := (*keyPair)(nil).sign("next ca")
	next.writeKeyFiles(dirs[0], "a")
	next.writeKeyFiles(dirs[1], "b")
	for _, k := range keys {
		k.mu.Lock()
		k.refresh(time.Now().Add(2 * reloadInterval))
		k.mu.Unlock()
		if k.Version() != 2 || k.Err() != nil {
			t.Errorf("changed keys: got version %d and %v, want 2 and no error", k.Version(), k.Err())
		}
	}
	if !eventually(func() bool { return a.reaches(b) && a.Stats().Dials >= 2 }) {
		t.Errorf("changed keys: got %d dials, want messages over a new connection", a.Stats().Dials)
	}
	if err := os.Remove(filepath.Join(dirs[0], "key")); err != nil {
		t.Fatal(err)
	}
	keys[0].mu.Lock()
	keys[0].refresh(time.Now().Add(4 * reloadInterval))
	keys[0].mu.Unlock()
	var ke *KeyError
	if err := keys[0].Err(); !errors.As(err, &ke) || keys[0].Version() != 2 {
		t.Errorf("missing key file: got %v, want KeyError and the old keys", err)
	}
}

// Guards against a transport that delivers malformed messages, or delays
// messages to other peers while one peer is down.
func TestPlainTransport(t *testing.T) {
	addresses := &sync.Map{}
	addresses.Store(fleet.VMID("down"), "127.0.0.1:1")
	a, b := open(t, "a", nil, addresses), open(t, "b", nil, addresses)
	for range 2 * queueLength {
		a.sendJoin("down")
	}
	if !a.reaches(b) {
		t.Error("got no message from a to b, want one while another peer is down")
	}
	client := must(rpc.Dial("tcp", b.Listener.Addr().String()))
	defer client.Close()
	if err := client.Call(deliverMethod, &Batch{From: "a", Messages: [][]byte{{0xff}, nil}}, &Empty{}); err != nil {
		t.Errorf("Deliver: got %v, want no error", err)
	}
	if s := b.Stats(); s.Invalid != 2 {
		t.Errorf("invalid messages: got %d, want 2", s.Invalid)
	}
}
