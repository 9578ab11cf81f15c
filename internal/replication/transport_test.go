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
	"testing"
	"time"

	"bamboowalk.org/bamboowalk/pkg/fleet"
	"bamboowalk.org/bamboowalk/pkg/replica"
	"go.uber.org/goleak"
)

type (
	authority struct {
		cert *x509.Certificate
		key  *ecdsa.PrivateKey
	}

	// link is a running transport; got holds the senders of its messages.
	link struct {
		*Transport
		got chan fleet.VMID
	}
)

func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

// sign returns a certificate for name, signed by itself without an authority.
func (a *authority) sign(name string) *authority {
	key := must(ecdsa.GenerateKey(elliptic.P256(), rand.Reader))
	c := &x509.Certificate{SerialNumber: big.NewInt(1), DNSNames: []string{name},
		NotAfter: time.Now().Add(time.Hour), IsCA: a == nil, BasicConstraintsValid: true}
	if a == nil {
		a = &authority{cert: c, key: key}
	}
	der := must(x509.CreateCertificate(rand.Reader, c, a.cert, &key.PublicKey, a.key))
	return &authority{cert: must(x509.ParseCertificate(der)), key: key}
}

// files writes the key files of name into dir.
func (a *authority) files(dir, name string) KeyFiles {
	leaf := a.sign(name)
	write := func(file, kind string, data []byte) string {
		file = filepath.Join(dir, file)
		text := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: data})
		if err := os.WriteFile(file, text, 0o600); err != nil {
			panic(err)
		}
		return file
	}
	return KeyFiles{
		Cert: write("cert", "CERTIFICATE", leaf.cert.Raw),
		Key:  write("key", "EC PRIVATE KEY", must(x509.MarshalECPrivateKey(leaf.key))),
		CA:   write("ca", "CERTIFICATE", a.cert.Raw),
	}
}

// open runs a transport on a loopback port; addresses maps peers to ports.
func open(t *testing.T, self fleet.VMID, keys *KeyStore, addresses *sync.Map) *link {
	listener := must(net.Listen("tcp", "127.0.0.1:0"))
	addresses.Store(self, listener.Addr().String())
	l := &link{got: make(chan fleet.VMID, 100)}
	l.Transport = &Transport{Self: self, Listener: listener, Keys: keys,
		Address: func(vm fleet.VMID) string { address, _ := addresses.Load(vm); return address.(string) },
		Deliver: func(from fleet.VMID, m replica.Message) { l.got <- from }}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- l.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Errorf("Run: got %v, want no error", err)
		}
	})
	if !becomes(func() bool { return l.queue(self) != nil }) {
		t.Fatal("the transport does not run")
	}
	return l
}

func (l *link) join(to fleet.VMID) {
	l.Send(replica.Envelope{To: to, Message: replica.Message{Kind: replica.Join}})
}

// reaches sends until a message arrives or the time is over.
func (l *link) reaches(to *link) bool {
	return becomes(func() bool {
		l.join(to.Self)
		select {
		case vm := <-to.got:
			return vm == l.Self
		default:
			return false
		}
	})
}

// becomes polls a condition until it holds or the time is over.
func becomes(ok func() bool) bool {
	deadline := time.Now().Add(5 * time.Second)
	for time.Now().Before(deadline) {
		if ok() {
			return true
		}
		time.Sleep(time.Millisecond)
	}
	return false
}

// Guards against replicas that accept peers without a certificate of their
// authority, or messages in the name of another replica, and against a change
// of keys that needs a restart.
func TestMutualTLS(t *testing.T) {
	t.Cleanup(func() { goleak.VerifyNone(t) })
	ca, addresses := (*authority)(nil).sign("ca"), &sync.Map{}
	dirs := []string{t.TempDir(), t.TempDir()}
	keys := []*KeyStore{must(LoadKeys(ca.files(dirs[0], "a"))), must(LoadKeys(ca.files(dirs[1], "b")))}
	a, b := open(t, "a", keys[0], addresses), open(t, "b", keys[1], addresses)
	if !a.reaches(b) || !b.reaches(a) {
		t.Error("valid certificates: got no message, want messages in both directions")
	}
	stranger := (*authority)(nil).sign("other ca").files(t.TempDir(), "c")
	open(t, "c", must(LoadKeys(stranger)), addresses).join("b")
	open(t, "x", must(LoadKeys(ca.files(t.TempDir(), "y"))), addresses).join("b")
	open(t, "p", nil, addresses).join("b")
	if !becomes(func() bool { s := b.Stats(); return s.Invalid == 1 && s.Rejected == 2 }) {
		t.Errorf("bad senders: got %+v, want 1 invalid and 2 rejected", b.Stats())
	}
	next := (*authority)(nil).sign("next ca")
	next.files(dirs[0], "a")
	next.files(dirs[1], "b")
	for _, k := range keys {
		k.mu.Lock()
		k.refresh(time.Now().Add(2 * reloadInterval))
		k.mu.Unlock()
		if k.Version() != 2 || k.Err() != nil {
			t.Errorf("changed keys: got version %d and %v, want 2 and no error", k.Version(), k.Err())
		}
	}
	if !becomes(func() bool { return a.reaches(b) && a.Stats().Dials >= 2 }) {
		t.Errorf("changed keys: got %d dials, want messages by a new connection", a.Stats().Dials)
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

// Guards against undecodable messages that reach the replica, and against a
// peer that is down and delays messages to others.
func TestPlainTransport(t *testing.T) {
	addresses := &sync.Map{}
	addresses.Store(fleet.VMID("down"), "127.0.0.1:1")
	a, b := open(t, "a", nil, addresses), open(t, "b", nil, addresses)
	for range 2 * queueLength {
		a.join("down")
	}
	if !a.reaches(b) {
		t.Error("got no message, want one in spite of the peer that is down")
	}
	client := must(rpc.Dial("tcp", b.Listener.Addr().String()))
	defer client.Close()
	if err := client.Call(deliverCall, &Batch{From: "a", Messages: [][]byte{{0xff}, nil}}, &Empty{}); err != nil {
		t.Errorf("Deliver: got %v, want no error", err)
	}
	if s := b.Stats(); s.Invalid != 2 {
		t.Errorf("invalid messages: got %d, want 2", s.Invalid)
	}
}
