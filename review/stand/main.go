// Command stand plays the scripts of the review: stand-ins of the platform, of servers
// and of clients, and the project's own processes on loopback addresses.
//
//	stand CASE FOLDER
//
// It writes FOLDER/record.txt and exits with 1 if the rule was broken, 0 if it held and
// 2 if the case could not run. With TROUBLE=0 in the environment it leaves the
// disruption out.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// maxRun is the longest that a case may take.
const maxRun = 110 * time.Second

// record writes what happened to record.txt, with the time since the start.
type record struct {
	mu    sync.Mutex
	file  *os.File
	begin time.Time
}

func (r *record) say(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.begin).Seconds(), fmt.Sprintf(format, args...))
}

// play is what a case gets.
type play struct {
	*record
	dir       string // a temporary folder
	trouble   bool
	store     *Store
	storeAddr string
	instances []*Instance
	servers   []*Server
	// tenants of the manifest; nil: those of late-return.
	tenants  []any
	seeds    []string
	manifest map[string]any
}

// cases are the scripts by name. Each returns whether the rule was broken.
var cases = map[string]func(*play) (bool, error){"late-return": lateReturn, "whole-budget": wholeBudget, "late-stream": lateStream}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand CASE FOLDER")
		return 2
	}
	file, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer func() { _ = file.Close() }()
	p := &play{record: &record{file: file, begin: time.Now()}, trouble: os.Getenv("TROUBLE") != "0"}
	p.dir = os.Getenv("REVIEW_LOGS")
	if p.dir == "" {
		if p.dir, err = os.MkdirTemp("", "review"); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return 2
		}
		defer func() { _ = os.RemoveAll(p.dir) }()
	}
	type result struct {
		broken bool
		err    error
	}
	done := make(chan result, 1)
	go func() {
		broken, err := cases[os.Args[1]](p)
		done <- result{broken, err}
	}()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, os.Interrupt, syscall.SIGTERM)
	var res result
	select {
	case res = <-done:
	case sig := <-stopped:
		res.err = fmt.Errorf("%s", sig)
	case <-time.After(maxRun):
		res.err = fmt.Errorf("not over after %s", maxRun)
	}
	for _, in := range p.instances {
		in.kill()
	}
	for _, s := range p.servers {
		s.sayRuns(p.record)
	}
	switch {
	case res.err != nil:
		p.say("the case could not run: %s", res.err)
		fmt.Println("could not run:", res.err)
		return 2
	case res.broken:
		p.say("RULE BROKEN")
		fmt.Println("rule broken")
		return 1
	}
	p.say("rule held")
	fmt.Println("rule held")
	return 0
}
