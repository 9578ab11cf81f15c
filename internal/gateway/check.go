package gateway

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"bamboowalk.org/bamboowalk/internal/logging"
	"bamboowalk.org/bamboowalk/pkg/steering"
)

const (
	// checkTimeout bounds one health check. A target in another zone answers
	// within some milliseconds, a busy one when a slot is free.
	checkTimeout = 400 * time.Millisecond
	// firstRecheck and lastRecheck bound the pause between two checks of a
	// target that does not answer; it doubles in between.
	firstRecheck = 250 * time.Millisecond
	lastRecheck  = 2 * time.Second
	// maxChecks bounds the checks that run at once: where this VM has lost its
	// own links, all targets seem to fail.
	maxChecks = 16
)

type (
	// checker checks the health of targets that are in doubt, until they answer
	// or are gone. Fields with capitals are set before use.
	checker struct {
		Core *steering.Core
		// Matches reports whether a response comes from a target.
		Matches func(r *http.Response, t *steering.Target) bool
		// Changed is called when a target begins or ceases to be in doubt.
		Changed func()
		Log     *zap.Logger

		ctx   context.Context
		slots chan struct{}
		wg    sync.WaitGroup
		// passed and failed count checks.
		passed, failed atomic.Uint64
	}

	// checkError reports a health check that a target has not passed.
	checkError struct {
		target string
		status int
	}
)

// Error names the target and the status of the response.
func (e *checkError) Error() string {
	return fmt.Sprintf("health check of %s: status %d, or the response of another target", e.target, e.status)
}

// run ends all checks with ctx.
func (c *checker) run(ctx context.Context) error {
	<-ctx.Done()
	c.wg.Wait()
	return nil
}

// begin starts the checks of a target; it does not wait.
func (c *checker) begin(t *steering.Target) {
	c.Log.Info("target in doubt", target(logging.Target, t), zap.Uint64(logging.Sequence, uint64(t.Sequence)))
	c.wg.Go(func() { c.check(t) })
}

func (c *checker) check(t *steering.Target) {
	c.Changed()
	defer c.Changed()
	started := time.Now()
	pause := firstRecheck
	for n := 1; ; n++ {
		path, doubted := c.Core.SuspectHealthPath(t.Cookie)
		if !doubted {
			return
		}
		err := c.once(t, path)
		if c.ctx.Err() != nil {
			return
		}
		if err == nil {
			c.passed.Add(1)
			c.Core.ReportHealth(t.Cookie, true)
			c.Log.Info("target answers", target(logging.Target, t), zap.Int("Checks", n), zap.Duration(logging.After, time.Since(started)))
			return
		}
		c.failed.Add(1)
		if n == 1 {
			c.Log.Warn("target fails its health check", target(logging.Target, t), zap.Error(err))
		}
		select {
		case <-c.ctx.Done():
			return
		case <-time.After(pause):
		}
		pause = min(2*pause, lastRecheck)
	}
}

// once runs one health check.
func (c *checker) once(t *steering.Target, path string) error {
	select {
	case c.slots <- struct{}{}:
		defer func() { <-c.slots }()
	case <-c.ctx.Done():
		return c.ctx.Err()
	}
	ctx, cancel := context.WithTimeout(c.ctx, checkTimeout)
	defer cancel()
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", t.ID.Address.String())
	if err != nil {
		return err
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(checkTimeout)); err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+t.ID.Address.String()+path, nil)
	if err != nil {
		return err
	}
	request.Close = true
	if err := request.Write(conn); err != nil {
		return err
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK || !c.Matches(response, t) {
		return &checkError{t.ID.String(), response.StatusCode}
	}
	return nil
}
