package settings

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"bamboowalk.org/bamboowalk/pkg/fleet"
)

const (
	zoneText    = "Weight = 1.0\nState = \"In\"\nCouncil = [\"monza-1\"]\nCouncilRevision = 1\n[[EntryVMs]]\nID = \"monza-1\"\nControl = \"127.0.0.1:1\"\nData = \"127.0.0.1:2\"\nHTTP = \"127.0.0.1:3\"\n"
	serviceText = "Credential = \"0000000000000000000000000000000000000000000000000000000000000000\"\nZones = [\"Monza\"]\n[[Kinds]]\nName = \"Order\"\nWeight = 2.0\nShare = 0.5\nDeadline = \"300ms\"\nIdleTimeout = \"2s\"\n"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// testWriter applies writes to a state machine. Each write has a new operation
// id.
type testWriter struct {
	m   *StateMachine
	n   uint64
	now time.Time
}

func newTestWriter() *testWriter { return &testWriter{m: NewStateMachine(), now: start} }

func (tw *testWriter) write(p Path, expect fleet.Revision, text string) Write {
	tw.n++
	return Write{Operation: NewOperationID(tw.now, tw.n), Path: p, Expect: expect, Text: text, Root: true}
}

func (tw *testWriter) apply(t testing.TB, w Write) *Result {
	t.Helper()
	r, err := DecodeResult(tw.m.Apply(w.Encode(), tw.now))
	if err != nil {
		t.Fatalf("result of %s: got %v, want no error", w.Path, err)
	}
	return r
}

func (tw *testWriter) put(t testing.TB, p Path, expect fleet.Revision, text string) fleet.Revision {
	t.Helper()
	r := tw.apply(t, tw.write(p, expect, text))
	if err := r.Err(); err != nil {
		t.Fatalf("put %s: got %v, want no error", p, err)
	}
	return r.Revision
}

func listenerText(port int) string {
	return fmt.Sprintf("Address = \"10.0.0.1:%d\"\nProtocol = \"tcp\"\nService = \"Counter\"\nKind = \"Order\"\nAnswers = \"Direct\"\n", port)
}

func newSeededWriter(t testing.TB) *testWriter {
	tw := newTestWriter()
	tw.put(t, "/Zones/Monza", 0, zoneText)
	tw.put(t, "/Teams/Nastrificio/Services/Counter", 0, serviceText)
	tw.put(t, "/Teams/Nastrificio/Listeners/Web", 0, listenerText(443))
	return tw
}

// Guards against invalid documents that are accepted, or rejected without
// naming each fault. Comments in the testdata files state the path of the
// document and the expected faults.
func TestInvalidDocuments(t *testing.T) {
	files, err := filepath.Glob("testdata/invalid/*.toml")
	if err != nil || len(files) == 0 {
		t.Fatalf("got files %v, %v, want some", files, err)
	}
	wantPattern := regexp.MustCompile(`# want ([^:]*): (.*)`)
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		first, _, _ := strings.Cut(string(text), "\n")
		tw := newSeededWriter(t)
		p := Path(strings.TrimPrefix(first, "# Path: "))
		expect := fleet.Revision(0)
		if d, err := tw.m.Get(p); err == nil {
			expect = d.Revision
		}
		before := tw.m.Digest()
		var ie *InvalidError
		if err := tw.apply(t, tw.write(p, expect, string(text))).Err(); !errors.As(err, &ie) {
			t.Errorf("%s: got %v, want InvalidError", file, err)
			continue
		}
		matches := wantPattern.FindAllStringSubmatch(string(text), -1)
		if len(ie.Faults) != len(matches) {
			t.Errorf("%s: got faults %v, want %d", file, ie.Faults, len(matches))
		}
		for _, m := range matches {
			if !hasFault(ie.Faults, m[1], m[2]) {
				t.Errorf("%s: got faults %v, want %s: %s", file, ie.Faults, m[1], m[2])
			}
		}
		if tw.m.Digest() != before {
			t.Errorf("%s: digest changed by a rejected write", file)
		}
	}
}

func hasFault(faults []Fault, key, reason string) bool {
	for _, f := range faults {
		if f.Key == key && strings.HasPrefix(f.Reason, reason) {
			return true
		}
	}
	return false
}

// Guards against a document that is deleted while another refers to it.
func TestDeleteInUse(t *testing.T) {
	tw := newSeededWriter(t)
	for _, p := range []Path{"/Zones/Monza", "/Teams/Nastrificio/Services/Counter"} {
		d, err := tw.m.Get(p)
		if err != nil {
			t.Fatal(err)
		}
		w := tw.write(p, d.Revision, "")
		w.Delete = true
		var ie *InvalidError
		if err := tw.apply(t, w).Err(); !errors.As(err, &ie) {
			t.Errorf("delete %s: got %v, want InvalidError", p, err)
		}
	}
}

// Guards against two accepted writes that expect the same revision, against a
// retry that applies its write again or gets a result other than the first, and
// against an operation id that is accepted for another write.
func TestRaceAndRetry(t *testing.T) {
	tw := newSeededWriter(t)
	d, err := tw.m.Get("/Zones/Monza")
	if err != nil {
		t.Fatal(err)
	}
	first := tw.write(d.Path, d.Revision, zoneText+"# first\n")
	second := tw.write(d.Path, d.Revision, zoneText+"# second\n")
	firstResult := tw.apply(t, first)
	if firstResult.Err() != nil {
		t.Fatalf("first write: got %v, want no error", firstResult.Err())
	}
	var ce *ConflictError
	if err := tw.apply(t, second).Err(); !errors.As(err, &ce) || ce.Current != firstResult.Revision {
		t.Errorf("second write: got %v, want ConflictError at revision %d", err, firstResult.Revision)
	}
	tw.put(t, d.Path, firstResult.Revision, zoneText+"# third\n")
	if got := tw.apply(t, first); got.Revision != firstResult.Revision || got.Code != "" {
		t.Errorf("retry: got %+v, want the first result %+v", got, firstResult)
	}
	reused := first
	reused.Text = zoneText
	var re *OperationReusedError
	if err := tw.apply(t, reused).Err(); !errors.As(err, &re) {
		t.Errorf("reused id: got %v, want OperationReusedError", err)
	}
}

// Guards against an operation that is applied again after the operation's
// record has been removed, even if a new leader's clock is behind. Also guards
// against an operation id from the future that is accepted.
func TestExpiredOperation(t *testing.T) {
	tw := newSeededWriter(t)
	w := tw.write("/Zones/Lecco", 0, zoneText)
	if err := tw.apply(t, w).Err(); err != nil {
		t.Fatal(err)
	}
	tw.now = start.Add(OperationLifetime + time.Second)
	d, _ := tw.m.Get("/Zones/Lecco")
	del := tw.write("/Zones/Lecco", d.Revision, "")
	del.Delete = true
	if err := tw.apply(t, del).Err(); err != nil {
		t.Fatal(err)
	}
	for _, now := range []time.Time{tw.now, start} {
		tw.now = now
		var ee *OperationExpiredError
		if err := tw.apply(t, w).Err(); !errors.As(err, &ee) {
			t.Errorf("retry at %v: got %v, want OperationExpiredError", now, err)
		}
	}
	w.Operation = NewOperationID(tw.now.Add(time.Hour), 1)
	var oe *OperationError
	if err := tw.apply(t, w).Err(); !errors.As(err, &oe) {
		t.Errorf("id from the future: got %v, want OperationError", err)
	}
}

// Guards against a key that can write outside its path prefixes.
func TestAccess(t *testing.T) {
	tw := newSeededWriter(t)
	tw.put(t, "/Access/nastrificio", 0, fmt.Sprintf("KeyHash = %q\nWrite = [\"/Teams/Nastrificio\"]\n", HashKey("k")))
	tests := []struct {
		path Path
		key  string
		code Code
	}{
		{"/Teams/Nastrificio/Listeners/A", "k", ""},
		{"/Teams/Nastrificio/Listeners/B", "other", CodeForbidden},
		{"/Teams/Nastrificio2/Listeners/B", "k", CodeForbidden},
		{"/Access/nastrificio", "k", CodeForbidden},
		{"/Teams/Nastrificio/Listeners/C", "", CodeForbidden},
	}
	for i, tt := range tests {
		w := tw.write(tt.path, 0, listenerText(1000+i))
		w.Root = false
		if tt.key != "" {
			w.KeyHash = HashKey(tt.key)
		}
		if got := tw.apply(t, w).Code; got != tt.code {
			t.Errorf("%s with key %q: got code %q, want %q", tt.path, tt.key, got, tt.code)
		}
	}
}

// Guards against a missing limit on the size of a document, the total size of a
// team's documents, or the rate of writes.
func TestLimits(t *testing.T) {
	tw := newSeededWriter(t)
	var le *LimitError
	if err := tw.apply(t, tw.write("/Teams/A/Listeners/A", 0, strings.Repeat(" ", MaxDocumentSize+1))).Err(); !errors.As(err, &le) {
		t.Errorf("large document: got %v, want LimitError", err)
	}
	limited := 0
	for i := range WriteBurst + 10 {
		r := tw.apply(t, tw.write(Path(fmt.Sprintf("/Teams/Nastrificio/Listeners/L%d", i)), 0, listenerText(2000+i)))
		if errors.As(r.Err(), &le) {
			limited++
		}
	}
	if limited == 0 {
		t.Error("a burst above the limit: got no LimitError, want some")
	}
	tw.now = tw.now.Add(time.Minute)
	text := listenerText(9000) + "#" + strings.Repeat("x", MaxDocumentSize-300) + "\n"
	var err error
	for i := 0; err == nil && i < 2*MaxTeamSize/MaxDocumentSize; i++ {
		tw.now = tw.now.Add(time.Second)
		err = tw.apply(t, tw.write(Path(fmt.Sprintf("/Teams/Nastrificio/Listeners/S%d", i)), 0, strings.Replace(text, "9000", fmt.Sprint(9000+i), 1))).Err()
	}
	if !errors.As(err, &le) {
		t.Errorf("large total size of a team's documents: got %v, want LimitError", err)
	}
}

// Guards against replicas that diverge: after a restore from a snapshot, the
// same commands must give the same encoded results. A store that applies
// deltas, some of them lost or late, must hold the same documents in the end,
// and its revision must never decrease.
func TestReplicasStayEqual(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, store := seededMachine(t), seededMachine(t), NewStore()
		var deltas []*Delta
		now := start
		for i := range rapid.IntRange(1, 40).Draw(t, "writes") {
			now = now.Add(time.Duration(rapid.Int64Range(-1e9, 1e12).Draw(t, "elapsed")))
			w := randomWrite(t, a, i, now)
			got, want := a.Apply(w.Encode(), now), b.Apply(w.Encode(), now)
			if !bytes.Equal(got, want) {
				t.Fatalf("result: got %x, want %x", got, want)
			}
			if rapid.IntRange(0, 4).Draw(t, "restore") == 0 {
				restore(t, b)
			}
			deltas = append(deltas, a.Delta(fleet.Revision(rapid.Uint64Range(0, uint64(a.Revision())).Draw(t, "from"))))
			d := deltas[rapid.IntRange(0, len(deltas)-1).Draw(t, "delta")]
			before := store.Revision()
			var re *RevisionError
			if _, err := store.Apply(d); err != nil && !errors.As(err, &re) {
				t.Fatalf("apply delta: got %v, want no error or RevisionError", err)
			}
			if store.Revision() < before {
				t.Fatalf("revision: got %d, want at least %d", store.Revision(), before)
			}
		}
		if _, err := store.Apply(a.Delta(store.Revision())); err != nil || store.Digest() != a.Digest() {
			t.Fatalf("store: got digest %x, %v, want %x", store.Digest(), err, a.Digest())
		}
		peer := NewStore()
		if _, err := peer.Apply(store.Delta(0)); err != nil || peer.Digest() != a.Digest() {
			t.Fatalf("peer: got digest %x, %v, want %x", peer.Digest(), err, a.Digest())
		}
	})
}

func seededMachine(t *rapid.T) *StateMachine {
	m := NewStateMachine()
	for i, w := range []Write{{Path: "/Zones/Monza", Text: zoneText}, {Path: "/Teams/T/Services/Counter", Text: serviceText}} {
		w.Operation, w.Root = NewOperationID(start, uint64(i)+1e6), true
		if r, err := DecodeResult(m.Apply(w.Encode(), start)); err != nil || r.Err() != nil {
			t.Fatalf("seed %s: got %v, %v, want no error", w.Path, err, r.Err())
		}
	}
	return m
}

func randomWrite(t *rapid.T, m *StateMachine, i int, now time.Time) Write {
	n := rapid.IntRange(0, 5).Draw(t, "name")
	w := Write{Operation: NewOperationID(now, uint64(i)), Path: Path(fmt.Sprintf("/Teams/T/Listeners/L%d", n)), Text: listenerText(1 + n), Root: true}
	if d, err := m.Get(w.Path); err == nil {
		w.Expect = d.Revision
		w.Delete = rapid.Bool().Draw(t, "delete")
	}
	return w
}

func restore(t *rapid.T, m *StateMachine) {
	snap, err := m.Snapshot()
	if err != nil {
		t.Fatalf("snapshot: got %v, want no error", err)
	}
	if err := m.Restore(snap); err != nil {
		t.Fatalf("restore: got %v, want no error", err)
	}
	again, err := m.Snapshot()
	if err != nil || !bytes.Equal(snap, again) {
		t.Fatalf("snapshot after restore differs: %v", err)
	}
}

// Guards against a store that applies a delta although the digest of the
// resulting documents differs from the digest in the delta.
func TestStoreRefusesWrongDigest(t *testing.T) {
	tw := newSeededWriter(t)
	s := NewStore()
	d := tw.m.Delta(0)
	d.Documents[0].Text += "\n"
	var de *DigestError
	if _, err := s.Apply(d); !errors.As(err, &de) || s.Revision() != 0 {
		t.Errorf("got %v at revision %d, want DigestError at 0", err, s.Revision())
	}
	if _, err := s.Apply(tw.m.Delta(0)); err != nil {
		t.Errorf("got %v, want no error", err)
	}
	if got := s.Config().Listeners; len(got) != 1 || got[0].Kind.Name != "Order" {
		t.Errorf("listeners: got %+v, want one of kind Order", got)
	}
}

// Guards against a panic on malformed commands, snapshots and deltas, and
// against a decoded delta that is not valid.
func FuzzDecode(f *testing.F) {
	w := Write{Operation: "1-a", Path: "/Zones/Monza"}
	f.Add(w.Encode())
	f.Add((&Delta{Full: true}).Encode())
	f.Fuzz(func(t *testing.T, b []byte) {
		m := NewStateMachine()
		_ = m.Apply(b, start)
		if err := m.Restore(b); err == nil && m.Revision() > 0 && len(b) == 0 {
			t.Error("restored a revision from an empty snapshot")
		}
		if d, err := DecodeDelta(b); err == nil && d.Validate() != nil {
			t.Error("decoded a delta that is not valid")
		}
	})
}
