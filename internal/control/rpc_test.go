package control

import (
	"bytes"
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"math/big"
	"net"
	"net/rpc"
	"os"
	"path/filepath"
	"testing"
	"time"

	"bamboowalk.org/bamboowalk/pkg/fleet"
	"bamboowalk.org/bamboowalk/pkg/replica"
	"go.uber.org/goleak"
)

type authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newAuthority(t *testing.T) *authority {
	a := &authority{}
	a.cert, a.key, _ = a.sign(t, "authority")
	return a
}

func (a *authority) sign(t *testing.T, name string) (*x509.Certificate, *ecdsa.PrivateKey, []byte) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	c := &x509.Certificate{SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: name}, DNSNames: []string{name},
		NotAfter: time.Now().Add(time.Hour), IsCA: a.cert == nil, BasicConstraintsValid: true}
	parent, signer := a.cert, a.key
	if parent == nil {
		parent, signer = c, key
	}
	der, err := x509.CreateCertificate(rand.Reader, c, parent, &key.PublicKey, signer)
	if err != nil {
		t.Fatal(err)
	}
	c, err = x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	return c, key, der
}

// files writes key files for name into dir.
func (a *authority) files(t *testing.T, dir, name string) KeyFiles {
	_, key, der := a.sign(t, name)
	text, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	f := KeyFiles{Cert: filepath.Join(dir, "cert"), Key: filepath.Join(dir, "key"), CA: filepath.Join(dir, "ca")}
	write := func(file, kind string, data []byte) {
		var buf bytes.Buffer
		if err := pem.Encode(&buf, &pem.Block{Type: kind, Bytes: data}); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(file, buf.Bytes(), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write(f.Cert, "CERTIFICATE", der)
	write(f.Key, "EC PRIVATE KEY", text)
	write(f.CA, "CERTIFICATE", a.cert.Raw)
	return f
}

type link struct {
	*Transport
	got chan fleet.VMID
}

// open runs a transport on a loopback port; addresses maps peers to ports.
func open(t *testing.T, self fleet.VMID, keys *KeyStore, addresses map[fleet.VMID]string) *link {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addresses[self] = listener.Addr().String()
	l := &link{got: make(chan fleet.VMID, 100)}
	l.Transport = &Transport{Self: self, Listener: listener, Keys: keys,
		Address: func(vm fleet.VMID) string { return addresses[vm] },
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
	return l
}

// reaches sends until a message arrives or the time is over.
func reaches(from, to *link) bool {
	deadline := time.After(3 * time.Second)
	retry := time.NewTicker(20 * time.Millisecond)
	defer retry.Stop()
	for {
		from.Send(replica.Envelope{To: to.Self, Message: replica.Message{Kind: replica.Join}})
		select {
		case vm := <-to.got:
			return vm == from.Self
		case <-retry.C:
		case <-deadline:
			return false
		}
	}
}

// becomes polls a condition until it holds or the time is over.
func becomes(ok func() bool) bool {
	deadline := time.Now().Add(3 * time.Second)
	for !ok() && time.Now().Before(deadline) {
		time.Sleep(time.Millisecond)
	}
	return ok()
}

func load(t *testing.T, f KeyFiles) *KeyStore {
	t.Helper()
	keys, err := LoadKeys(f)
	if err != nil {
		t.Fatal(err)
	}
	return keys
}

// Guards against replicas that accept peers without a certificate of their
// authority, or messages in the name of another replica, and against a change
// of keys that needs a restart.
func TestMutualTLS(t *testing.T) {
	defer goleak.VerifyNone(t)
	t.Run("links", func(t *testing.T) {
		ca, addresses := newAuthority(t), map[fleet.VMID]string{}
		dirs := []string{t.TempDir(), t.TempDir()}
		keys := []*KeyStore{load(t, ca.files(t, dirs[0], "a")), load(t, ca.files(t, dirs[1], "b"))}
		a := open(t, "a", keys[0], addresses)
		b := open(t, "b", keys[1], addresses)
		stranger := open(t, "c", load(t, newAuthority(t).files(t, t.TempDir(), "c")), addresses)
		liar := open(t, "x", load(t, ca.files(t, t.TempDir(), "y")), addresses)
		plain := open(t, "p", nil, addresses)
		if !reaches(a, b) || !reaches(b, a) {
			t.Error("valid certificates: got no message, want messages in both directions")
		}
		for _, l := range []*link{stranger, liar, plain} {
			l.Send(replica.Envelope{To: "b", Message: replica.Message{Kind: replica.Join}})
		}
		if !reaches(a, b) || !becomes(func() bool { s := b.Stats(); return s.Invalid == 1 && s.Rejected == 2 }) {
			t.Errorf("bad senders: got %+v, want 1 invalid and 2 rejected", b.Stats())
		}
		next := newAuthority(t)
		next.files(t, dirs[0], "a")
		next.files(t, dirs[1], "b")
		for _, k := range keys {
			k.refresh(time.Now().Add(2 * reloadInterval))
			if k.version != 2 || k.Err() != nil {
				t.Errorf("changed keys: got version %d and %v, want 2 and no error", k.version, k.Err())
			}
		}
		if !reaches(a, b) || a.Stats().Dials < 2 {
			t.Errorf("changed keys: got %d dials, want a message by a new connection", a.Stats().Dials)
		}
		if err := os.Remove(filepath.Join(dirs[0], "key")); err != nil {
			t.Fatal(err)
		}
		keys[0].refresh(time.Now().Add(4 * reloadInterval))
		var ke *KeyError
		if err := keys[0].Err(); !errors.As(err, &ke) || keys[0].version != 2 {
			t.Errorf("missing key file: got %v, want KeyError and the old keys", err)
		}
	})
}

// Guards against undecodable messages that reach the replica, and against a
// peer that is down and delays messages to others.
func TestPlainTransport(t *testing.T) {
	addresses := map[fleet.VMID]string{"down": "127.0.0.1:1"}
	a, b := open(t, "a", nil, addresses), open(t, "b", nil, addresses)
	for range 2 * queueLength {
		a.Send(replica.Envelope{To: "down"})
	}
	if !reaches(a, b) {
		t.Error("got no message, want one in spite of the peer that is down")
	}
	client, err := rpc.Dial("tcp", addresses["b"])
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	if err := client.Call(deliverCall, &Batch{From: "a", Messages: [][]byte{{0xff}, nil}}, &Empty{}); err != nil {
		t.Errorf("Deliver: got %v, want no error", err)
	}
	if s := b.Stats(); s.Invalid != 2 {
		t.Errorf("invalid messages: got %d, want 2", s.Invalid)
	}
}
