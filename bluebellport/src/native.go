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

// nativeMaxLogRate is how many log lines a second an instance writes at most.
const nativeMaxLogRate = 100

// nativeTimestampFormat is the form of the time in log lines: milliseconds, so that lines of
// several instances can be put in order.
const nativeTimestampFormat = "2006-01-02T15:04:05.000Z07:00"

// Gossip between instances on the platform.
const (
	nativeGossipPeriod     = time.Second
	nativeSuspicionTimeout = 5 * time.Second
)

// memoryLimitFraction is the part of the instance's memory that the runtime may fill
// before it collects garbage at any cost.
const memoryLimitFraction = 0.7

// Native runs an instance on the platform, whose settings file tells it all,
// until ctx ends. A SIGHUP reads the settings anew.
func Native(ctx context.Context, logs io.Writer) error {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP) // first, since it ends a process that has not asked for it
	defer signal.Stop(hup)
	out, flush := bblog.NewWriter(logs, nativeMaxLogRate)
	defer flush(time.Second)
	log := logrus.New()
	log.SetOutput(out)
	log.SetFormatter(&logrus.JSONFormatter{TimestampFormat: nativeTimestampFormat})
	settings, err := readSettings(log)
	if err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	debug.SetMemoryLimit(int64(float64(settings.MemoryMB) * memoryLimitFraction * (1 << 20)))
	go func() {
		for range hup {
			reloadSettings(log, settings)
		}
	}()
	instanceLog := log.WithField("instance", settings.Instance)
	deps := nativeDeps(settings, instanceLog)
	peers, closePeers, err := NewPeers(deps)
	if err != nil {
		return fmt.Errorf("peers: %w", err)
	}
	defer closePeers()
	return bbproxy.Serve(ctx, settings, peers, deps.Metrics, instanceLog)
}

func readSettings(log logrus.FieldLogger) (bbplatform.Settings, error) {
	settings, warnings, err := bbplatform.ReadSettings()
	for _, line := range warnings {
		log.WithField("event", "settings").Warn(line)
	}
	return settings, err
}

// reloadSettings reads the settings anew and tells what changed. What is in force at
// the start stays: addresses and bounds do not change under open requests.
func reloadSettings(log logrus.FieldLogger, current bbplatform.Settings) {
	settings, err := readSettings(log)
	if err != nil {
		log.WithError(err).WithField("event", "reload").Error("settings not readable; the old ones stay")
		return
	}
	log.WithFields(logrus.Fields{"event": "reload", "changed": !reflect.DeepEqual(settings, current)}).Info("settings read anew; changes hold from the next start")
}

// nativeDeps returns what the peers are built from. On the platform an instance
// is known to the others by the address at which they reach it.
func nativeDeps(settings bbplatform.Settings, log logrus.FieldLogger) Deps {
	opts := &Options{
		Self: SelfOptions{Instance: settings.PeerAddress, Domain: string(settings.Domain), StoreAddress: settings.StoreAddress},
		Peer: PeerOptions{ListenAddress: settings.PeerAddress, GossipPeriod: nativeGossipPeriod, SuspicionTimeout: nativeSuspicionTimeout},
	}
	return newDeps(opts, log)
}

// View returns the live fleet.
func (p *Peers) View() *bbmember.View { return p.deps.Board.View.Load() }

// UpdateList takes the platform's list of instances.
func (p *Peers) UpdateList(list []bbmember.ListEntry) {
	p.members.dispatch(func(f *bbmember.Fleet, now time.Time) bbmember.Actions { return f.UpdateList(now, list) })
}
