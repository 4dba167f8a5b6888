// Command standthree holds stand-ins of the platform, of servers and of clients, and the
// cases that are played with them.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// options are those of all cases.
type options struct {
	program, out string
	trouble      bool
}

// cases are the plays by name. Each returns 0 if the rule held, 1 if it was broken and 2 if
// the case could not run.
var cases = map[string]func(o *options) int{
	"split":   splitCase,
	"added":   addedCase,
	"killed":  killedCase,
	"lastend": lastEndCase,
	"entry":   entryCase,
}

func main() {
	if len(os.Args) > 1 && os.Args[1] == "chaos" {
		os.Exit(chaos(os.Args[2:]))
	}
	o := &options{}
	flag.StringVar(&o.program, "program", "target/bluebellport", "the program of the deploy file")
	flag.StringVar(&o.out, "out", "record.txt", "where the record is written")
	flag.BoolVar(&o.trouble, "trouble", true, "with the disruption")
	flag.Parse()
	play, ok := cases[flag.Arg(0)]
	if !ok {
		fmt.Fprintln(os.Stderr, "usage: standthree [flags] CASE")
		os.Exit(2)
	}
	os.Exit(play(o))
}

// world returns an empty world, and a function that ends all its processes.
func (o *options) world() (*world, func()) {
	f, err := os.Create(o.out)
	if err != nil {
		panic(err)
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		panic(err)
	}
	program, err := filepath.Abs(o.program)
	if err != nil {
		panic(err)
	}
	w := &world{dir: dir, program: program, st: newStore(), begin: time.Now(), runs: map[string][]*run{}, sent: map[string]*request{}, paid: map[string]int64{}, used: map[string]int64{}, out: f, breaks: map[string]int{}, counts: map[string]int{}}
	end := func() {
		for _, i := range w.instances {
			i.end()
		}
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-stop
		end()
		os.Exit(2)
	}()
	return w, func() {
		end()
		_ = os.RemoveAll(dir)
		_ = f.Close()
	}
}

// verdict writes the end of the record and returns the exit code.
func (w *world) verdict() int {
	w.summary()
	if len(w.breaks) > 0 {
		return 1
	}
	return 0
}
