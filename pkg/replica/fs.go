package replica

import (
	"io"
	"os"
	"path/filepath"
)

type (
	// FS is a data directory without subdirectories. The content of a file is
	// durable after File.Sync. Created, renamed and removed names are durable
	// after SyncDir.
	FS interface {
		List() ([]string, error)
		ReadFile(name string) ([]byte, error)
		// Create creates a file for writing, and truncates it if it exists.
		Create(name string) (File, error)
		Rename(from, to string) error
		Remove(name string) error
		SyncDir() error
	}

	// File is a file that is written sequentially.
	File interface {
		io.WriteCloser
		Sync() error
	}

	// DirFS is an FS for the operating system directory with this path.
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

// Create creates or truncates a file. A new file has mode 0600.
func (d DirFS) Create(name string) (File, error) {
	return os.OpenFile(d.path(name), os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
}

// Rename renames a file and replaces any existing file with the new name.
func (d DirFS) Rename(from, to string) error { return os.Rename(d.path(from), d.path(to)) }

// Remove deletes a file.
func (d DirFS) Remove(name string) error { return os.Remove(d.path(name)) }

// SyncDir makes created, renamed and removed names durable.
func (d DirFS) SyncDir() error {
	f, err := os.Open(string(d))
	if err != nil {
		return err
	}
	defer f.Close()
	return f.Sync()
}

func (d DirFS) path(name string) string { return filepath.Join(string(d), name) }

// replaceFile atomically creates or replaces a file with the content that write
// writes, and makes it durable. A crash leaves the old content, if any, or the new
// content, and possibly a temporary file. The returned file is open, so that the caller
// can append to it.
func replaceFile(fs FS, name string, write func(io.Writer) error) (File, error) {
	tmp := name + tmpSuffix
	f, err := fs.Create(tmp)
	if err != nil {
		return nil, &DiskError{Op: "create", File: tmp, Err: err}
	}
	if err := writeAndRename(fs, f, tmp, name, write); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

func writeAndRename(fs FS, f File, tmp, name string, write func(io.Writer) error) error {
	if err := write(f); err != nil {
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
