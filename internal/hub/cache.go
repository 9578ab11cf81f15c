package hub

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"go.uber.org/zap"

	"bamboowalk.org/bamboowalk/internal/feed"
)

const (
	cacheFile = "published"
	// cacheInterval is the least time between two writes of the cache.
	cacheInterval = 500 * time.Millisecond
	fileMode      = 0o600
)

// CacheError reports that the file of what was published can't be read or
// written.
type CacheError struct {
	Op  string
	Err error
}

// Error names the operation.
func (e *CacheError) Error() string { return fmt.Sprintf("%s the published state: %v", e.Op, e.Err) }

// Unwrap returns the cause.
func (e *CacheError) Unwrap() error { return e.Err }

// restore publishes what a former life of this hub had published, so that entry
// VMs need not wait for an election and for the announcements of all targets
// after a loss of power everywhere. All of it had been committed or announced.
func (d *Daemon) restore(now time.Time) {
	b, err := os.ReadFile(d.cachePath())
	if errors.Is(err, os.ErrNotExist) {
		return
	}
	if err == nil {
		err = d.board.Restore(b, now)
	}
	if err != nil {
		d.Log.Warn("published state not restored", zap.Error(&CacheError{Op: "read", Err: err}))
		return
	}
	d.Log.Info("published state restored", zap.Int("Targets", d.board.Targets()), zap.Uint64("Number", uint64(d.board.Number())))
}

func (d *Daemon) cachePath() string { return filepath.Join(d.Settings.Data, cacheFile) }

// runCache writes what is published to the disk after each change.
func (d *Daemon) runCache(ctx context.Context) error {
	tick := time.NewTicker(cacheInterval)
	defer tick.Stop()
	var saved feed.Mark
	failing := false
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
		mark := d.board.Mark()
		if mark == saved {
			continue
		}
		err := d.save()
		if err == nil {
			saved = mark
		} else {
			d.unsaved.Add(1)
		}
		if (err != nil) != failing {
			failing = err != nil
			d.Log.Warn("cache of the published state", zap.Bool("Failing", failing), zap.Error(err))
		}
	}
}

func (d *Daemon) save() error {
	b, err := d.board.Encode(time.Now())
	if err != nil {
		return &CacheError{Op: "encode", Err: err}
	}
	temporary := d.cachePath() + ".new"
	f, err := os.OpenFile(temporary, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, fileMode)
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
	// A rename that a loss of power undoes leaves the former state.
	if err := os.Rename(temporary, d.cachePath()); err != nil {
		return &CacheError{Op: "rename", Err: err}
	}
	return nil
}
