package hub

import (
	"context"
	"errors"
	"fmt"
	"os"
	"time"

	"go.uber.org/zap"

	"bamboowalk.org/bamboowalk/internal/feed"
	"bamboowalk.org/bamboowalk/internal/logging"
)

const (
	cacheFile = "published"
	// cacheInterval is the minimum time between two writes of the cache.
	cacheInterval = 500 * time.Millisecond
)

// CacheError reports that the cache file, which holds the published state, can't
// be read or written.
type CacheError struct {
	Op  string
	Err error
}

// Error returns the operation and the cause.
func (e *CacheError) Error() string { return fmt.Sprintf("%s the published state: %v", e.Op, e.Err) }

// Unwrap returns the cause.
func (e *CacheError) Unwrap() error { return e.Err }

// restore publishes the state that an earlier run of this hub published, so that
// after a loss of power in all availability zones, entry VMs need not wait for an
// election and for the announcements of all targets. The restored state is valid,
// because the catalog was committed and the targets were announced before.
func (d *Daemon) restore(now time.Time) {
	b, err := d.files(d.Settings.Data).ReadFile(cacheFile)
	if errors.Is(err, os.ErrNotExist) {
		return
	}
	if err == nil {
		err = d.store.Restore(b, now)
	}
	if err != nil {
		d.Log.Warn("published state not restored", zap.Error(&CacheError{Op: "read", Err: err}))
		return
	}
	d.Log.Info("published state restored", zap.Int("Targets", d.store.Targets()), zap.Uint64("Number", uint64(d.store.Number())),
		zap.Uint64(logging.Revision, uint64(d.store.Zones().Revision)))
}

// cacheWriter writes the published state to the disk.
type cacheWriter struct {
	d *Daemon
	// saved is the version of the last successful write, and failing is set if the last
	// write failed.
	saved   feed.StateVersion
	failing bool
}

// runCache writes the published state to the disk if it has changed since the
// last successful write. It checks for changes every cacheInterval.
func (d *Daemon) runCache(ctx context.Context) error {
	w := &cacheWriter{d: d}
	return d.runTicks(ctx, cacheInterval, func(time.Time) { w.saveChanges() })
}

func (w *cacheWriter) saveChanges() {
	version := w.d.store.StateVersion()
	if version == w.saved {
		return
	}
	err := w.d.save()
	if err == nil {
		w.saved = version
	} else {
		w.d.failedSaves.Add(1)
	}
	if (err != nil) != w.failing {
		w.failing = err != nil
		w.d.Log.Warn("writes of the published state started or stopped failing", zap.Bool("Failing", w.failing), zap.Error(err))
	}
}

func (d *Daemon) save() error {
	b, err := d.store.Encode(time.Now())
	if err != nil {
		return &CacheError{Op: "encode", Err: err}
	}
	const temp = cacheFile + ".new"
	files := d.files(d.Settings.Data)
	f, err := files.Create(temp)
	if err != nil {
		return &CacheError{Op: "create", Err: err}
	}
	_, err = f.Write(b)
	if err == nil {
		err = f.Sync()
	}
	if err := errors.Join(err, f.Close()); err != nil {
		return &CacheError{Op: "write", Err: err}
	}
	// A loss of power may undo all renames since the last sync of the directory. If it
	// undoes this one, the previous file remains.
	if err := errors.Join(files.Rename(temp, cacheFile), files.SyncDir()); err != nil {
		return &CacheError{Op: "rename", Err: err}
	}
	return nil
}
