package gateway

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"go.uber.org/zap"

	"bamboowalk.org/bamboowalk/internal/logging"
	"bamboowalk.org/bamboowalk/pkg/steering"
)

const (
	// checkTimeout bounds one health check. An idle target in another zone
	// responds within some milliseconds, and a busy target as soon as one of its
	// slots is free.
	checkTimeout = 400 * time.Millisecond
	// minRecheckDelay and maxRecheckDelay bound the delay between two checks of a
	// suspected target. The delay doubles after each failed check.
	minRecheckDelay = 250 * time.Millisecond
	maxRecheckDelay = 2 * time.Second
	// quickCheckTime is how long the delay does not double where VMs share their checks,
	// counted from the doubt or the time at which the target was last lost, so that a
	// failed check is recent when the hubs decide.
	quickCheckTime = 10 * time.Second
	// maxCheckBytes bounds the part of an answer that is read.
	maxCheckBytes = 64 << 10
	// maxChecks bounds the number of concurrent checks. If this VM has lost its
	// own links, all targets seem to fail and are checked.
	maxChecks = 16
	// maxSharedChecks is maxChecks where VMs check targets for each other. A check of a
	// target that is alive must not wait for those of many targets that are not.
	maxSharedChecks = 64
)

type (
	// checker checks the health of suspected targets until they pass a check or are
	// no longer suspected. Exported fields must be set before use.
	checker struct {
		Core *steering.Core
		// Matches reports whether a response comes from target t, and not from
		// another target at the same address.
		Matches func(r *http.Response, t *steering.Target) bool
		// Changed is called when the checks of a suspected target begin, and when
		// they end.
		Changed func()
		Log     *zap.Logger

		ctx       context.Context
		semaphore chan struct{}
		wg        sync.WaitGroup
		// passed and failed count health checks by result.
		passed, failed atomic.Uint64
	}

	// connectError reports a health check without a connection.
	connectError struct{ err error }

	// checkError reports a health check that was answered with a status other than
	// 200, or by another target.
	checkError struct {
		target string
		status int
	}
)

// Error returns the cause.
func (e *connectError) Error() string { return e.err.Error() }

// Unwrap returns the cause.
func (e *connectError) Unwrap() error { return e.err }

// Error returns the target and the status of the response.
func (e *checkError) Error() string {
	return fmt.Sprintf("health check of %s: got status %d, want status 200 from this target", e.target, e.status)
}

// run waits until ctx has ended and all checks have returned.
func (c *checker) run(ctx context.Context) error {
	<-ctx.Done()
	c.wg.Wait()
	return nil
}

// start starts checking a target in a new goroutine.
func (c *checker) start(t *steering.Target) {
	c.Log.Info("target in doubt", targetField(logging.Target, t), zap.Uint64(logging.Sequence, uint64(t.Sequence)))
	c.wg.Go(func() { c.check(t) })
}

func (c *checker) check(t *steering.Target) {
	c.Changed()
	defer c.Changed()
	started := time.Now()
	quickSince, delay := started, minRecheckDelay
	for n := 1; ; n++ {
		path, suspected := c.Core.SuspectHealthPath(t)
		if !suspected {
			return
		}
		err := c.checkOnce(t, path)
		if c.ctx.Err() != nil {
			return
		}
		if err == nil {
			c.passed.Add(1)
			c.Core.ReportCheck(t, steering.CheckPassed, time.Now())
			c.Log.Info("target passes its health check", targetField(logging.Target, t), zap.Int("Checks", n), zap.Duration(logging.After, time.Since(started)))
			return
		}
		c.failed.Add(1)
		c.Core.ReportCheck(t, checkResult(err), time.Now())
		if n == 1 {
			if c.Core.LoadReports {
				c.Changed()
			}
			c.Log.Warn("target fails its health check", targetField(logging.Target, t), zap.Error(err))
		}
		select {
		case <-c.ctx.Done():
			return
		case <-time.After(delay):
		}
		lost := c.Core.IsLost(t.Cookie)
		if lost {
			quickSince = time.Now()
		}
		if lost || !c.Core.LoadReports || time.Since(quickSince) > quickCheckTime {
			delay = min(2*delay, maxRecheckDelay)
		} else {
			delay = minRecheckDelay
		}
	}
}

// checkResult returns the result of a check that has failed with err. Other failures to
// connect, such as a lack of file descriptors or of a network, are this VM's own.
func checkResult(err error) steering.CheckResult {
	var connect *connectError
	var netErr net.Error
	if errors.As(err, &connect) && (errors.Is(err, syscall.ECONNREFUSED) || errors.As(connect.err, &netErr) && netErr.Timeout()) {
		return steering.CheckUnreachable
	}
	return steering.CheckUnanswered
}

// checkOnce runs one health check. It returns a checkError, or the error of the
// connection.
func (c *checker) checkOnce(t *steering.Target, path string) error {
	select {
	case c.semaphore <- struct{}{}:
		defer func() { <-c.semaphore }()
	case <-c.ctx.Done():
		return c.ctx.Err()
	}
	ctx, cancel := context.WithTimeout(c.ctx, checkTimeout)
	defer cancel()
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", t.ID.Address.String())
	if err != nil {
		return &connectError{err}
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
	// A target whose answers break off halfway is not healthy.
	_, err = io.Copy(io.Discard, io.LimitReader(response.Body, maxCheckBytes))
	return err
}
