package bbport

import (
	"context"
	"fmt"
	"io"
	"math"
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

// nativeMaxLogRate limits an instance's log, in lines per second.
const nativeMaxLogRate = 100

// nativeTimestampFormat has milliseconds, so that the log lines of several
// instances can be put in order.
const nativeTimestampFormat = "2006-01-02T15:04:05.000Z07:00"

// Settings of the gossip between instances on the platform.
const (
	nativeGossipPeriod     = time.Second
	nativeSuspicionTimeout = 5 * time.Second
)

// memoryLimitFraction is the fraction of the instance's memory above which the
// Go runtime collects garbage as often as needed (its soft memory limit).
const memoryLimitFraction = 0.7

// Native runs an instance on the platform until ctx ends. All its settings come
// from the platform's settings file, which SIGHUP makes it read again. Log
// lines go to logs as JSON.
func Native(ctx context.Context, logs io.Writer) error {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP) // before anything else: by default SIGHUP ends the process
	defer signal.Stop(hup)
	out, flush := bblog.NewWriter(logs, nativeMaxLogRate)
	defer flush(time.Second)
	log := logrus.New()
	log.SetOutput(out)
	log.SetFormatter(&logrus.JSONFormatter{TimestampFormat: nativeTimestampFormat})
	settings, err := readSettings(log)
	if err != nil {
		return fmt.Errorf("read settings: %w", err)
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
		return fmt.Errorf("start peers: %w", err)
	}
	defer closePeers()
	defer context.AfterFunc(ctx, peers.Leave)() // others take over at once what this instance does for them
	return bbproxy.Serve(ctx, settings, peers, deps.Metrics, instanceLog)
}

func readSettings(log logrus.FieldLogger) (bbplatform.Settings, error) {
	settings, warnings, err := bbplatform.ReadSettings()
	for _, line := range warnings {
		log.WithField("event", "settings").Warn(line)
	}
	return settings, err
}

// reloadSettings reads the settings file again and logs whether it changed. The
// instance keeps running with the settings that it started with, so that
// addresses and limits do not change under requests in flight.
func reloadSettings(log logrus.FieldLogger, current bbplatform.Settings) {
	settings, err := readSettings(log)
	if err != nil {
		log.WithError(err).WithField("event", "reload").Error("cannot read the settings file; keeping the current settings")
		return
	}
	log.WithFields(logrus.Fields{"event": "reload", "changed": !reflect.DeepEqual(settings, current)}).Info("settings file read again; changes take effect at the next start")
}

// nativeDeps returns the dependencies of Peers. On the platform, the id of an
// instance is the address at which other instances reach it.
func nativeDeps(settings bbplatform.Settings, log logrus.FieldLogger) Deps {
	opts := &Options{
		Self: SelfOptions{Instance: settings.PeerAddress, Domain: string(settings.Domain), StoreAddress: settings.StoreAddress, LinkMbps: uint32(min(settings.LinkMbps, math.MaxUint32))},
		Peer: PeerOptions{ListenAddress: settings.PeerAddress, GossipPeriod: nativeGossipPeriod, SuspicionTimeout: nativeSuspicionTimeout},
	}
	return newDeps(opts, log)
}

// View returns the current membership view.
func (p *Peers) View() *bbmember.View { return p.deps.Board.View.Load() }

// SetCrowded tells the failure domain whether this instance is short of a resource.
func (p *Peers) SetCrowded(crowded bool) {
	p.members.apply(func(f *bbmember.Fleet, now time.Time) bbmember.Actions { return f.SetCrowded(now, crowded) })
}

// UpdateList updates the membership from the platform's list of instances.
func (p *Peers) UpdateList(list []bbmember.ListEntry) {
	p.members.apply(func(f *bbmember.Fleet, now time.Time) bbmember.Actions { return f.UpdateList(now, list) })
}
