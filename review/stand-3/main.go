// Command stand-3 plays the cases of the second review that its second sitting added: it
// starts instances of the system with the command of the deploy file, and stand-ins of the
// platform's store, servers and clients, all on loopback addresses.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// maxTime is the longest that a case may run.
const maxTime = 115 * time.Second

// options are those of all cases.
type options struct {
	program, out string
	trouble      bool
}

// cases are the plays by name. Each returns 0 if the rule held, 1 if it was broken and 2 if
// the case could not run.
var cases = map[string]func(o *options) int{
	"added":   addedCase,
	"entry":   entryCase,
	"lastend": lastEndCase,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand-3 CASE FOLDER")
		os.Exit(2)
	}
	o := &options{program: "target/bluebellport", out: filepath.Join(os.Args[2], "record.txt"), trouble: os.Getenv("TROUBLE") != "0"}
	os.Exit(cases[os.Args[1]](o))
}

// m is an object of a manifest or an entry.
type m = map[string]any

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
	w.note("with the disruption: %v", o.trouble)
	end := func() {
		for _, i := range w.instances {
			i.end()
		}
		_ = os.RemoveAll(dir)
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	go func() {
		select {
		case <-stop:
		case <-time.After(maxTime):
			w.note("the case took too long")
		}
		end()
		os.Exit(2)
	}()
	return w, func() {
		end()
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
