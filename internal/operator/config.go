package operator

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/pmezard/go-difflib/difflib"

	"bamboowalk.org/bamboowalk/pkg/fleet"
	"bamboowalk.org/bamboowalk/pkg/settings"
)

// Exit codes of the commands.
const (
	ExitFailure     = 1
	ExitInvalid     = 2
	ExitConflict    = 3
	ExitNotFound    = 4
	ExitForbidden   = 5
	ExitLimit       = 6
	ExitUnavailable = 7
	// ExitDifference is the exit code of diff if the documents differ.
	ExitDifference = 8
	// ExitLagging is the exit code of zone orders that are committed but were not in
	// force everywhere in time.
	ExitLagging = 9
)

type (
	// ConfigCommand reads and writes settings.
	ConfigCommand struct {
		Servers []string      `help:"Base URLs of the control replicas." env:"BAMBOOWALK_SERVERS" default:"http://127.0.0.1:9200"`
		KeyFile string        `help:"File that holds the key." type:"path" env:"BAMBOOWALK_KEY_FILE"`
		Timeout time.Duration `help:"Time for one call with all attempts." default:"10s"`

		Get     getCommand     `cmd:"" help:"Print a document."`
		Put     putCommand     `cmd:"" help:"Write a document from a file or standard input."`
		List    listCommand    `cmd:"" help:"List documents below a prefix."`
		Delete  deleteCommand  `cmd:"" help:"Delete a document."`
		History historyCommand `cmd:"" help:"Print the kept versions of a document."`
		Diff    diffCommand    `cmd:"" help:"Compare a document with a file; exit code 8 where they differ."`
		Edit    editCommand    `cmd:"" help:"Write a document to a file, wait for your edit, and put it."`
	}

	getCommand struct {
		Path string `arg:"" help:"Path of the document."`
		Out  output `kong:"-"`
	}

	putCommand struct {
		Path           string  `arg:"" help:"Path of the document."`
		File           string  `arg:"" optional:"" default:"-" help:"File with the document, - for standard input."`
		ExpectRevision *uint64 `help:"Revision that the write is made against, 0 for a new document; without it the current one is read first."`
		Out            output  `kong:"-"`
	}

	listCommand struct {
		Prefix string `arg:"" optional:"" help:"Prefix of the paths."`
		Out    output `kong:"-"`
	}

	deleteCommand struct {
		Path           string  `arg:"" help:"Path of the document."`
		ExpectRevision *uint64 `help:"Revision that the write is made against."`
		Out            output  `kong:"-"`
	}

	historyCommand struct {
		Path string `arg:"" help:"Path of the document."`
		Out  output `kong:"-"`
	}

	diffCommand struct {
		Path string `arg:"" help:"Path of the document."`
		File string `arg:"" help:"File to compare with, - for standard input."`
		Out  output `kong:"-"`
	}

	editCommand struct {
		Path string `arg:"" help:"Path of the document."`
		Out  output `kong:"-"`
		In   input  `kong:"-"`
	}

	// DifferenceError reports that diff found a difference.
	DifferenceError struct {
		Path settings.Path
	}

	// EditCancelledError reports an edit that the operator cancelled.
	EditCancelledError struct {
		Err error
	}

	// output is the writer of a command; nil is standard output. Tests set it.
	output struct{ io.Writer }

	// input is the reader of a command; nil is standard input. Tests set it.
	input struct{ io.Reader }
)

// Error names the path.
func (e *DifferenceError) Error() string { return fmt.Sprintf("%s differs", e.Path) }

// Error says that nothing was written.
func (e *EditCancelledError) Error() string { return "edit cancelled, nothing was written" }

// Unwrap returns the cause.
func (e *EditCancelledError) Unwrap() error { return e.Err }

// Client returns a client with the command's options.
func (c *ConfigCommand) Client() (*Client, error) {
	key := ""
	if c.KeyFile != "" {
		text, err := os.ReadFile(c.KeyFile)
		if err != nil {
			return nil, fmt.Errorf("read key file: %w", err)
		}
		key = strings.TrimSpace(string(text))
	}
	return &Client{Servers: c.Servers, Key: key, HTTP: http.DefaultClient, Timeout: c.Timeout}, nil
}

// ExitCode maps the type of an error to the exit code of the process.
func ExitCode(err error) int {
	var difference *DifferenceError
	var noReplica *NoReplicaError
	var lagging *LaggingError
	var refused *ZoneCallError
	switch {
	case err == nil:
		return 0
	case errors.As(err, &difference):
		return ExitDifference
	case errors.As(err, &noReplica):
		return ExitUnavailable
	case errors.As(err, &lagging):
		return ExitLagging
	case errors.As(err, &refused) && refused.Status == http.StatusBadRequest:
		return ExitInvalid
	}
	result := settings.ResultOf(err)
	switch result.Code {
	case settings.CodeInvalid, settings.CodePath, settings.CodeOperation:
		return ExitInvalid
	case settings.CodeConflict, settings.CodeReused, settings.CodeExpired:
		return ExitConflict
	case settings.CodeNotFound:
		return ExitNotFound
	case settings.CodeForbidden:
		return ExitForbidden
	case settings.CodeLimit:
		return ExitLimit
	}
	return ExitFailure
}

// Run prints the document's text.
func (c *getCommand) Run(ctx context.Context, client *Client) error {
	p, err := settings.ParsePath(c.Path)
	if err != nil {
		return err
	}
	doc, err := client.Get(ctx, p)
	if err != nil {
		return err
	}
	c.Out.printf("%s", doc.Text)
	return nil
}

// Run writes the document and prints its revision.
func (c *putCommand) Run(ctx context.Context, client *Client) error {
	p, err := settings.ParsePath(c.Path)
	if err != nil {
		return err
	}
	text, err := readInput(c.File)
	if err != nil {
		return err
	}
	expect, err := expectedRevision(ctx, client, p, c.ExpectRevision)
	if err != nil {
		return err
	}
	revision, err := client.Put(ctx, p, expect, text)
	if err != nil {
		return err
	}
	c.Out.printf("%d\n", revision)
	return nil
}

// Run prints the revision and path of each document.
func (c *listCommand) Run(ctx context.Context, client *Client) error {
	docs, err := client.List(ctx, c.Prefix)
	if err != nil {
		return err
	}
	for _, d := range docs {
		c.Out.printf("%d\t%s\n", d.Revision, d.Path)
	}
	return nil
}

// Run deletes the document and prints the new revision.
func (c *deleteCommand) Run(ctx context.Context, client *Client) error {
	p, err := settings.ParsePath(c.Path)
	if err != nil {
		return err
	}
	expect, err := expectedRevision(ctx, client, p, c.ExpectRevision)
	if err != nil {
		return err
	}
	revision, err := client.Delete(ctx, p, expect)
	if err != nil {
		return err
	}
	c.Out.printf("%d\n", revision)
	return nil
}

// Run prints each version with a diff against the previous one.
func (c *historyCommand) Run(ctx context.Context, client *Client) error {
	p, err := settings.ParsePath(c.Path)
	if err != nil {
		return err
	}
	versions, err := client.History(ctx, p)
	if err != nil {
		return err
	}
	before := ""
	for _, v := range versions {
		state := "written"
		if v.Deleted {
			state = "deleted"
		}
		c.Out.printf("revision %d %s %s\n", v.Revision, state, v.At.UTC().Format(time.RFC3339Nano))
		text, err := unifiedDiff(before, v.Text, "before", "after")
		if err != nil {
			return err
		}
		c.Out.printf("%s", text)
		before = v.Text
	}
	return nil
}

// Run prints a unified diff. It returns a DifferenceError if the documents differ.
func (c *diffCommand) Run(ctx context.Context, client *Client) error {
	p, err := settings.ParsePath(c.Path)
	if err != nil {
		return err
	}
	text, err := readInput(c.File)
	if err != nil {
		return err
	}
	doc, err := client.Get(ctx, p)
	if err != nil {
		return err
	}
	diff, err := unifiedDiff(doc.Text, text, c.Path, c.File)
	if err != nil {
		return err
	}
	if diff == "" {
		return nil
	}
	c.Out.printf("%s", diff)
	return &DifferenceError{Path: p}
}

// Run waits while the operator edits the document. It writes the text if the
// operator has changed it. The write fails if the document's revision has changed
// meanwhile, so that no other change is overwritten.
func (c *editCommand) Run(ctx context.Context, client *Client) error {
	p, err := settings.ParsePath(c.Path)
	if err != nil {
		return err
	}
	doc, err := client.Get(ctx, p)
	var notFound *settings.NotFoundError
	if err != nil && !errors.As(err, &notFound) {
		return err
	}
	text, err := c.edit(doc.Text)
	if err != nil {
		return err
	}
	if text == doc.Text {
		c.Out.printf("unchanged\n")
		return nil
	}
	revision, err := client.Put(ctx, p, doc.Revision, text)
	if err != nil {
		return err
	}
	c.Out.printf("%d\n", revision)
	return nil
}

// edit writes the text to a temporary file, waits until the operator has edited
// the file and pressed Enter, and returns the new text. It does not start an
// editor, because the operators' commands start no other process.
func (c *editCommand) edit(text string) (string, error) {
	f, err := os.CreateTemp("", "bamboowalk-*.toml")
	if err != nil {
		return "", fmt.Errorf("edit: %w", err)
	}
	defer os.Remove(f.Name())
	if _, err := f.WriteString(text); err != nil {
		f.Close()
		return "", fmt.Errorf("edit: %w", err)
	}
	if err := f.Close(); err != nil {
		return "", fmt.Errorf("edit: %w", err)
	}
	c.Out.printf("edit and save %s, then press Enter (Ctrl-C cancels)\n", f.Name())
	if _, err := bufio.NewReader(c.In.reader()).ReadString('\n'); err != nil {
		return "", &EditCancelledError{Err: err}
	}
	return readInput(f.Name())
}

// expectedRevision returns the explicit revision if there is one. Otherwise it
// reads the current revision of the document, which is 0 if the document does
// not exist.
func expectedRevision(ctx context.Context, client *Client, p settings.Path, explicit *uint64) (fleet.Revision, error) {
	if explicit != nil {
		return fleet.Revision(*explicit), nil
	}
	doc, err := client.Get(ctx, p)
	var notFound *settings.NotFoundError
	if errors.As(err, &notFound) {
		return 0, nil
	}
	return doc.Revision, err
}

func readInput(file string) (string, error) {
	if file == "-" {
		text, err := io.ReadAll(os.Stdin)
		if err != nil {
			return "", fmt.Errorf("read standard input: %w", err)
		}
		return string(text), nil
	}
	text, err := os.ReadFile(file)
	if err != nil {
		return "", fmt.Errorf("read document file: %w", err)
	}
	return string(text), nil
}

func unifiedDiff(a, b, nameA, nameB string) (string, error) {
	text, err := difflib.GetUnifiedDiffString(difflib.UnifiedDiff{
		A: difflib.SplitLines(a), B: difflib.SplitLines(b), FromFile: nameA, ToFile: nameB, Context: 3,
	})
	if err != nil {
		return "", fmt.Errorf("diff: %w", err)
	}
	return text, nil
}

func (o output) printf(format string, args ...any) {
	fmt.Fprintf(o.writer(), format, args...)
}

func (o output) writer() io.Writer {
	if o.Writer == nil {
		return os.Stdout
	}
	return o.Writer
}

func (i input) reader() io.Reader {
	if i.Reader == nil {
		return os.Stdin
	}
	return i.Reader
}
