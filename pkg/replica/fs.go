package replica

import (
	"io"
	"os"
	"path/filepath"
)

type (
	// FS is one flat data directory. Contents of a file are durable after
	// File.Sync, and names of files after SyncDir.
	FS interface {
		List() ([]string, error)
		ReadFile(name string) ([]byte, error)
		// Create opens an empty file for writing and truncates an old one.
		Create(name string) (File, error)
		Rename(from, to string) error
		Remove(name string) error
		SyncDir() error
	}

	// File is a file that is written from its start to its end.
	File interface {
		io.WriteCloser
		Sync() error
	}

	// DirFS is the FS of the operating system for the directory that it names.
	DirFS string
)

var _ FS = DirFS("")

// List returns the names of the files in the directory.
func (d DirFS) List() ([]string, error) {
	entries, err := os.ReadDir(string(d))
	if err != nil {
		return nil, err
	}
	names := make([]string, 0, len(entries))
	for _, e := range entries {
		names = append(names, e.Name())
	}
	return names, nil
}

// ReadFile returns the content of a file.
func (d DirFS) ReadFile(name string) ([]byte, error) { return os.ReadFile(d.path(name)) }

// Create opens an empty file that only the owner can read.
func (d DirFS) Create(name string) (File, error) {
	return os.OpenFile(d.path(name), os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
}

// Rename replaces to by from.
func (d DirFS) Rename(from, to string) error { return os.Rename(d.path(from), d.path(to)) }

// Remove deletes a file.
func (d DirFS) Remove(name string) error { return os.Remove(d.path(name)) }

// SyncDir makes the names in the directory durable.
func (d DirFS) SyncDir() error {
	f, err := os.Open(string(d))
	if err != nil {
		return err
	}
	defer f.Close()
	return f.Sync()
}

func (d DirFS) path(name string) string { return filepath.Join(string(d), name) }

// replaceFile makes data durable under name: a crash leaves the old file, the
// new one, or none besides a temporary file. The file is left open.
func replaceFile(fs FS, name string, data []byte) (File, error) {
	tmp := name + tmpSuffix
	f, err := fs.Create(tmp)
	if err != nil {
		return nil, &DiskError{Op: "create", File: tmp, Err: err}
	}
	if err := writeAndPublish(fs, f, tmp, name, data); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

func writeAndPublish(fs FS, f File, tmp, name string, data []byte) error {
	if _, err := f.Write(data); err != nil {
		return &DiskError{Op: "write", File: tmp, Err: err}
	}
	if err := f.Sync(); err != nil {
		return &DiskError{Op: "sync", File: tmp, Err: err}
	}
	if err := fs.Rename(tmp, name); err != nil {
		return &DiskError{Op: "rename", File: tmp, Err: err}
	}
	if err := fs.SyncDir(); err != nil {
		return &DiskError{Op: "sync directory of", File: name, Err: err}
	}
	return nil
}
