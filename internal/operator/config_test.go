package operator

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/alecthomas/kong"

	"bamboowalk.org/bamboowalk/internal/control"
	"bamboowalk.org/bamboowalk/pkg/settings"
)

const (
	rootKey  = "root"
	zoneText = "Weight = 1.0\nState = \"In\"\nCouncil = [\"a\"]\nCouncilRevision = 1\n[[EntryVMs]]\nID = \"a\"\nControl = \"127.0.0.1:1\"\nData = \"127.0.0.1:2\"\nHTTP = \"127.0.0.1:3\"\n"
)

// fakeLog simulates the replicated log of a control replica. It applies writes
// to the state machine immediately. It can lose answers, or redirect to the
// leader as a follower does.
type fakeLog struct {
	mu            sync.Mutex
	machine       *settings.StateMachine
	answersToLose int // number of upcoming writes that are applied but whose answers are lost
	leader        string
	isFollower    bool
}

func (l *fakeLog) Write(_ context.Context, w *settings.Write) (*settings.Result, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.isFollower {
		return nil, &control.NotLeaderError{Leader: l.leader}
	}
	r, err := settings.DecodeResult(l.machine.Apply(w.Encode(), time.Now()))
	if l.answersToLose > 0 {
		l.answersToLose--
		return nil, &control.UnavailableError{}
	}
	return r, err
}

func (l *fakeLog) Read(_ context.Context, f func(*settings.StateMachine)) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.isFollower {
		return &control.NotLeaderError{Leader: l.leader}
	}
	f(l.machine)
	return nil
}

func (l *fakeLog) Status() control.Status { return control.Status{} }

// testCluster is a leader and a follower against which commands run.
type testCluster struct {
	leader, follower *fakeLog
	servers          []string
	dir              string
}

func newTestCluster(t *testing.T) *testCluster {
	c := &testCluster{leader: &fakeLog{machine: settings.NewStateMachine()}, follower: &fakeLog{isFollower: true}, dir: t.TempDir()}
	for _, log := range []*fakeLog{c.leader, c.follower} {
		api := &control.API{ReplicatedLog: log, RootKeyHash: settings.HashKey(rootKey)}
		server := httptest.NewServer(api.Handler())
		t.Cleanup(server.Close)
		c.servers = append(c.servers, server.URL)
	}
	c.follower.leader = c.servers[0]
	return c
}

func (c *testCluster) writeFile(t *testing.T, name, text string) string {
	file := filepath.Join(c.dir, name)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}

func (c *testCluster) run(t *testing.T, in io.Reader, args ...string) (string, error) {
	t.Helper()
	var cmd ConfigCommand
	parser, err := kong.New(&cmd, kong.Exit(func(int) {}))
	if err != nil {
		t.Fatal(err)
	}
	key := c.writeFile(t, "key", rootKey+"\n")
	args = append([]string{"--servers", strings.Join(c.servers, ","), "--key-file", key, "--timeout", "5s"}, args...)
	ctx, err := parser.Parse(args)
	if err != nil {
		t.Fatal(err)
	}
	client, err := cmd.Client()
	if err != nil {
		t.Fatal(err)
	}
	var out strings.Builder
	for _, o := range []*output{&cmd.Get.Out, &cmd.Put.Out, &cmd.List.Out, &cmd.Delete.Out, &cmd.History.Out, &cmd.Diff.Out, &cmd.Edit.Out} {
		o.Writer = &out
	}
	cmd.Edit.In.Reader = in
	ctx.BindTo(context.Background(), (*context.Context)(nil))
	err = ctx.Run(client)
	return out.String(), err
}

// Guards against commands that lose a write, overwrite a newer document, or
// return a wrong exit code for a failure.
func TestConfigCommands(t *testing.T) {
	c := newTestCluster(t)
	zone := c.writeFile(t, "zone.toml", zoneText)
	changed := c.writeFile(t, "changed.toml", strings.Replace(zoneText, "1.0", "2.0", 1))
	bad := c.writeFile(t, "bad.toml", "Weight = 0.0\n")
	tests := []struct {
		args   []string
		exit   int
		output string
	}{
		{[]string{"put", "/Zones/Monza", zone}, 0, "1\n"},
		{[]string{"get", "/Zones/Monza"}, 0, zoneText},
		{[]string{"get", "/Zones/Lecco"}, ExitNotFound, ""},
		{[]string{"get", "/Nowhere"}, ExitInvalid, ""},
		{[]string{"diff", "/Zones/Monza", zone}, 0, ""},
		{[]string{"diff", "/Zones/Monza", changed}, ExitDifference, "+Weight = 2.0"},
		{[]string{"put", "--expect-revision", "1", "/Zones/Monza", changed}, 0, "2\n"},
		{[]string{"put", "--expect-revision", "1", "/Zones/Monza", zone}, ExitConflict, ""},
		{[]string{"put", "/Zones/Monza", bad}, ExitInvalid, ""},
		{[]string{"history", "/Zones/Monza"}, 0, "revision 2 written"},
		{[]string{"list", "/Zones"}, 0, "2\t/Zones/Monza\n"},
		{[]string{"delete", "/Zones/Monza"}, 0, "3\n"},
		{[]string{"delete", "/Zones/Monza"}, ExitNotFound, ""},
	}
	for _, tt := range tests {
		out, err := c.run(t, nil, tt.args...)
		if got := ExitCode(err); got != tt.exit {
			t.Errorf("%v: got exit code %d (%v), want %d", tt.args, got, err, tt.exit)
		}
		if !strings.Contains(out, tt.output) {
			t.Errorf("%v: got output %q, want %q", tt.args, out, tt.output)
		}
	}
}

// Guards against a put that applies its write again, or fails, when the answer
// to an earlier attempt was lost.
func TestPutRetriesOnce(t *testing.T) {
	c := newTestCluster(t)
	c.leader.answersToLose = 2
	if _, err := c.run(t, nil, "put", "--expect-revision", "0", "/Zones/Monza", c.writeFile(t, "zone.toml", zoneText)); err != nil {
		t.Errorf("put: got %v, want no error", err)
	}
	if got, want := c.leader.machine.Revision(), uint64(1); uint64(got) != want {
		t.Errorf("revision: got %d, want %d", got, want)
	}
}

// Guards against an edit that overwrites a change made while the operator was
// editing.
func TestEditConflict(t *testing.T) {
	c := newTestCluster(t)
	if _, err := c.run(t, nil, "put", "/Zones/Monza", c.writeFile(t, "zone.toml", zoneText)); err != nil {
		t.Fatal(err)
	}
	concurrentEditor := editor(func(file string) {
		w := settings.Write{Operation: settings.NewOperationID(time.Now(), 9), Path: "/Zones/Monza", Expect: 1, Text: zoneText + "# other\n", Root: true}
		if r, err := c.leader.Write(context.Background(), &w); err != nil || r.Err() != nil {
			t.Errorf("other write: got %v, %v, want no error", err, r.Err())
		}
		if err := os.WriteFile(file, []byte(zoneText+"# mine\n"), 0o600); err != nil {
			t.Error(err)
		}
	})
	t.Setenv("TMPDIR", c.dir)
	_, err := c.run(t, concurrentEditor.reader(c.dir), "edit", "/Zones/Monza")
	if got, want := ExitCode(err), ExitConflict; got != want {
		t.Errorf("edit: got exit code %d (%v), want %d", got, err, want)
	}
	if _, err := c.run(t, strings.NewReader(""), "edit", "/Zones/Monza"); err == nil {
		t.Error("edit without Enter: got no error, want EditCancelledError")
	}
}

// editor simulates the operator, who changes the file and then presses Enter.
type editor func(file string)

func (e editor) reader(dir string) io.Reader { return &editReader{edit: e, dir: dir} }

type editReader struct {
	edit editor
	dir  string
	done bool
}

func (r *editReader) Read(p []byte) (int, error) {
	if r.done {
		return 0, io.EOF
	}
	r.done = true
	files, err := filepath.Glob(filepath.Join(r.dir, "bamboowalk-*.toml"))
	if err != nil || len(files) != 1 {
		return 0, &os.PathError{Op: "find", Path: fmt.Sprint(files), Err: os.ErrNotExist}
	}
	r.edit(files[0])
	return copy(p, "\n"), nil
}

// Guards against a client that hangs, or an error that maps to a wrong exit
// code, when no replica answers.
func TestNoServer(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	server.Close()
	c := Client{Servers: []string{server.URL}, HTTP: http.DefaultClient, Timeout: 200 * time.Millisecond}
	_, err := c.Get(context.Background(), "/Zones/Monza")
	if got, want := ExitCode(err), ExitUnavailable; got != want {
		t.Errorf("got exit code %d (%v), want %d", got, err, want)
	}
}
