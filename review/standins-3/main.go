// Command standins-3 plays the cases of review/11 and 12. It starts the
// project's daemons as processes on loopback addresses, and is itself the platform, the
// clients, the backends and the operator.
//
//	standins-3 CASE DIR
//
// DIR is the folder of the case, in which record.txt is written. With TROUBLE=0 in the
// environment the disruption is left out. The exit code is 1 if the rule was broken, 0 if
// it held and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
	// caseLimit ends a case that hangs.
	caseLimit = 110 * time.Second
)

// record is the record of one case.
type record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

type result struct {
	broken []string
	err    error
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standins-3 CASE DIR")
		os.Exit(exitFailed)
	}
	cases := map[string]func(w *world, trouble bool) result{"flow": playFlow, "crash": playCrash}
	play := cases[os.Args[1]]
	file, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if play == nil || err != nil {
		fmt.Fprintln(os.Stderr, "unknown case or folder:", os.Args[1:], err)
		os.Exit(exitFailed)
	}
	rec := &record{file: file, started: time.Now()}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.printf("case %s, disruption: %v", os.Args[1], trouble)
	w, err := newWorld(rec)
	if err != nil {
		rec.printf("could not run: %v", err)
		os.Exit(exitFailed)
	}
	done := make(chan result, 1)
	go func() { done <- play(w, trouble) }()
	var res result
	select {
	case res = <-done:
	case <-time.After(caseLimit):
		res.err = fmt.Errorf("not done after %v", caseLimit)
	}
	w.close()
	code := exitHeld
	for _, b := range res.broken {
		rec.printf("BROKEN: %s", b)
		fmt.Println("BROKEN:", b)
		code = exitBroken
	}
	if res.err != nil {
		rec.printf("could not run: %v", res.err)
		fmt.Println("could not run:", res.err)
		code = exitFailed
	}
	if code == exitHeld {
		rec.printf("the rule held")
		fmt.Println("the rule held")
	}
	os.Exit(code)
}
