package fakedisk

import (
	"sync"
	"sync/atomic"
	"syscall"

	"bamboowalk.org/bamboowalk/pkg/replica"
)

type (
	// Disk is a disk with room for everything, unless it is full. A full disk refuses to
	// create files and to write to them, with the error ENOSPC; a write may have written
	// a part of its bytes. A sync of a file waits while the disk hangs. It is safe for
	// concurrent use.
	Disk struct {
		full    atomic.Bool
		refused atomic.Int64
		hanging sync.RWMutex
	}

	directory struct {
		replica.FS
		disk *Disk
	}

	file struct {
		replica.File
		disk *Disk
	}
)

var _ replica.FS = (*directory)(nil)

// Open returns a directory on the disk.
func (d *Disk) Open(dir string) replica.FS { return &directory{replica.DirFS(dir), d} }

// SetFull makes the disk full, or makes room.
func (d *Disk) SetFull(full bool) { d.full.Store(full) }

// Hang makes the disk hang until the returned function is called.
func (d *Disk) Hang() (resume func()) {
	d.hanging.Lock()
	return d.hanging.Unlock
}

// Refused returns the number of operations that were refused so far.
func (d *Disk) Refused() int64 { return d.refused.Load() }

func (d *Disk) check() error {
	if !d.full.Load() {
		return nil
	}
	d.refused.Add(1)
	return syscall.ENOSPC
}

// Create creates or truncates a file.
func (d *directory) Create(name string) (replica.File, error) {
	if err := d.disk.check(); err != nil {
		return nil, err
	}
	f, err := d.FS.Create(name)
	if err != nil {
		return nil, err
	}
	return &file{f, d.disk}, nil
}

// Sync waits while the disk hangs.
func (f *file) Sync() error {
	f.disk.hanging.RLock()
	defer f.disk.hanging.RUnlock()
	return f.File.Sync()
}

// Write writes p, or half of it if the disk is full.
func (f *file) Write(p []byte) (int, error) {
	if err := f.disk.check(); err != nil {
		n, _ := f.File.Write(p[:len(p)/2])
		return n, err
	}
	return f.File.Write(p)
}
