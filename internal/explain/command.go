package explain

import (
	"fmt"
	"io"
	"os"
)

// Command is the explain command. It reads the logs of all processes from files
// or standard input and prints the history of one flow.
type Command struct {
	ID    string   `arg:"" help:"Id of the flow, or the caller's address and port."`
	Files []string `arg:"" optional:"" type:"existingfile" help:"Files with log lines; left out, standard input."`
}

// Run reads the logs and prints the history of the flow. It returns a ReadError,
// a NoFlowError or the error of a write to standard output.
func (c *Command) Run() error {
	var lines []Line
	addLine := func(l Line) { lines = append(lines, l) }
	skipped := 0
	read := func(r io.Reader) error {
		n, err := Read(r, addLine)
		skipped += n
		return err
	}
	if len(c.Files) == 0 {
		if err := read(os.Stdin); err != nil {
			return err
		}
	}
	for _, name := range c.Files {
		if err := readFile(name, read); err != nil {
			return err
		}
	}
	if skipped > 0 {
		fmt.Fprintf(os.Stderr, "skipped %d lines that are not log lines\n", skipped)
	}
	history, err := SelectFlow(lines, c.ID)
	if err != nil {
		return err
	}
	return history.Print(os.Stdout, c.ID)
}

func readFile(name string, read func(io.Reader) error) error {
	f, err := os.Open(name)
	if err != nil {
		return &ReadError{Err: err}
	}
	defer f.Close()
	return read(f)
}
