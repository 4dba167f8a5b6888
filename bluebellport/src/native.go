package bbport

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"reflect"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	bbproxy "bluebellport.example/bluebellport/proxy"
	"bluebellport.example/platform"
	"bluebellport.example/shared/bblog"
	"bluebellport.example/shared/bbmember"
)

// nativeLines is how many log lines a second an instance writes at most.
const nativeLines = 100

// nativeTime is the form of the time in log lines: milliseconds, so that lines of
// several instances can be put in order.
const nativeTime = "2006-01-02T15:04:05.000Z07:00"

// Gossip between instances on the platform.
const (
	nativePeriod    = time.Second
	nativeSuspicion = 5 * time.Second
)

// memoryPart is the part of the instance's memory that the runtime may fill
// before it collects garbage at any cost.
const memoryPart = 0.7

// Native runs an instance on the platform, whose settings file tells it all,
// until ctx ends. A SIGHUP reads the settings anew.
func Native(ctx context.Context, logs io.Writer) error {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP) // first, since it ends a process that has not asked for it
	defer signal.Stop(hup)
	out, flush := bblog.NewWriter(logs, nativeLines)
	defer flush(time.Second)
	log := logrus.New()
	log.SetOutput(out)
	log.SetFormatter(&logrus.JSONFormatter{TimestampFormat: nativeTime})
	set, err := readSettings(log)
	if err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	debug.SetMemoryLimit(int64(float64(set.MemoryMB) * memoryPart * (1 << 20)))
	go func() {
		for range hup {
			reload(log, set)
		}
	}()
	entry := log.WithField("instance", set.Instance)
	parts := nativeParts(set, entry)
	peers, closePeers, err := NewPeers(parts)
	if err != nil {
		return fmt.Errorf("peers: %w", err)
	}
	defer closePeers()
	return bbproxy.Serve(ctx, set, peers, parts.Metrics, entry)
}

func readSettings(log logrus.FieldLogger) (bbplatform.Settings, error) {
	set, bad, err := bbplatform.ReadSettings()
	for _, line := range bad {
		log.WithField("event", "settings").Warn(line)
	}
	return set, err
}

// reload reads the settings anew and tells what changed. What is in force at
// the start stays: addresses and bounds do not change under open requests.
func reload(log logrus.FieldLogger, old bbplatform.Settings) {
	set, err := readSettings(log)
	if err != nil {
		log.WithError(err).WithField("event", "reload").Error("settings not readable; the old ones stay")
		return
	}
	log.WithFields(logrus.Fields{"event": "reload", "changed": !reflect.DeepEqual(set, old)}).Info("settings read anew; changes hold from the next start")
}

// nativeParts returns what the peers are built from. On the platform an instance
// is known to the others by the address at which they reach it.
func nativeParts(set bbplatform.Settings, log logrus.FieldLogger) Parts {
	opts := &Options{
		Self: SelfOptions{Instance: set.Peers, Domain: string(set.Domain), Store: set.Store},
		Peer: PeerOptions{Listen: set.Peers, Period: nativePeriod, Suspicion: nativeSuspicion},
	}
	return newParts(opts, log)
}

// View returns the live fleet.
func (p *Peers) View() *bbmember.View { return p.parts.Board.View.Load() }

// UpdateList takes the platform's list of instances.
func (p *Peers) UpdateList(list []bbmember.ListEntry) {
	p.members.do(func(f *bbmember.Fleet, now time.Time) bbmember.Actions { return f.UpdateList(now, list) })
}
