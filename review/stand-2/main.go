// Command stand-2 plays the cases of the second review: it starts instances of the system
// with the command of the deploy file, and stand-ins for the platform's store, servers and
// clients, all on loopback addresses.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// play plays a case and reports how often its rule was broken. Without trouble it leaves
// the disruption out.
type play func(rec *record, trouble bool) (broken int, err error)

var plays = map[string]play{}

// maxTime is the longest that a case may run.
const maxTime = 115 * time.Second

func main() {
	if len(os.Args) != 3 || plays[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand-2 CASE FOLDER")
		os.Exit(exitNotRun)
	}
	rec, err := newRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	time.AfterFunc(maxTime, func() {
		rec.say("the case took too long")
		os.Exit(exitNotRun) // the instances end with this process
	})
	trouble := os.Getenv("TROUBLE") != "0"
	rec.say("case %s, disruption %t", os.Args[1], trouble)
	broken, err := plays[os.Args[1]](rec, trouble)
	switch {
	case err != nil:
		rec.say("could not run: %v", err)
		os.Exit(exitNotRun)
	case broken > 0:
		rec.say("BROKEN: %d", broken)
		os.Exit(exitBroken)
	}
	rec.say("held")
	os.Exit(exitHeld)
}

type object = map[string]any

// route returns a route of a manifest.
func route(name, prefix, kind, service string, attempts int) object {
	return object{
		"name": name, "host": "desk.example", "path-prefix": prefix, "kind": kind, "timeout-ms": 10000, "target-latency-ms": 400, "priority": 0,
		"service": service, "max-attempts": attempts, "public": false, "sticky-sessions": kind == "streaming", "resumable": false, "target-gap-ms": 300,
	}
}

// engineService returns a service of model servers.
func engineService(name string) object {
	return object{
		"name": name, "health-path": "/health", "max-connections": 360, "protocol": "h1", "tls": false,
		"engine": object{
			"slots": 64, "kv-cache-tokens": 444000, "kv-token-bytes": 131072, "link-mbps": 1100000.0, "moves": true, "backups": true, "stride": eventTokens,
			"most": 12, "pin-ms": 4000.0, "hold-ms": 2000.0, "handle-ttl-s": 5.0, "models": []object{{"name": "m"}},
		},
	}
}

// plainService returns a service of other servers.
func plainService(name string) object {
	return object{"name": name, "health-path": "/health", "max-connections": 96, "protocol": "h1", "tls": false}
}

// manifest returns a manifest.
func manifest(version int, routes, services, tenants []object) object {
	return object{
		"version": version, "routes": routes, "services": services, "tenants": tenants,
		"limits": object{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	}
}

// sortTimes sorts times, the earliest first.
func sortTimes(times []time.Time) { slices.SortFunc(times, time.Time.Compare) }
