package bbport

import (
	"fmt"
	"net"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"bluebellport.example/shared/bbroute"
	"bluebellport.example/shared/bbunit"
)

// Options are all settings of an instance. Each part has its own group, which
// declares its flags and checks its values.
type Options struct {
	Self   SelfOptions
	Front  FrontOptions
	Peer   PeerOptions
	Money  MoneyOptions
	Record RecordOptions
	Route  RouteOptions
}

// optionGroup is one part's settings.
type optionGroup interface {
	// flags declares the group's flags and environment variables.
	flags(cmd *kingpin.CmdClause)
	// check returns one line for each bad value, naming flag and value.
	check() []string
}

func (o *Options) groups() []optionGroup {
	return []optionGroup{&o.Self, &o.Front, &o.Peer, &o.Money, &o.Record, &o.Route}
}

// Check returns one line for each bad setting of all groups.
func (o *Options) Check() []string {
	var bad []string
	for _, g := range o.groups() {
		bad = append(bad, g.check()...)
	}
	return bad
}

// SelfOptions tell an instance who and where it is, and where the platform is.
type SelfOptions struct {
	Instance  string
	Domain    string
	Store     string // host:port of the key-value service
	List      string // host:port of the list of instances
	LogLevel  string
	TraceOTLP string // host:port of an OTLP/HTTP collector
}

func (o *SelfOptions) flags(cmd *kingpin.CmdClause) {
	cmd.Flag("instance", "Name of this instance, unique in the fleet.").Envar("BLUEBELLPORT_INSTANCE").StringVar(&o.Instance)
	cmd.Flag("domain", "Failure domain of this instance.").Envar("BLUEBELLPORT_DOMAIN").StringVar(&o.Domain)
	cmd.Flag("store", "Address of the platform's key-value service.").Envar("BLUEBELLPORT_STORE").StringVar(&o.Store)
	cmd.Flag("list", "Address of the platform's list of instances.").Envar("BLUEBELLPORT_LIST").StringVar(&o.List)
	cmd.Flag("log-level", "Least level that is logged.").Envar("BLUEBELLPORT_LOG_LEVEL").Default("info").StringVar(&o.LogLevel)
	cmd.Flag("trace-otlp", "Address of an OTLP/HTTP trace collector; empty exports nothing.").Envar("BLUEBELLPORT_TRACE_OTLP").StringVar(&o.TraceOTLP)
}

func (o *SelfOptions) check() []string {
	var bad []string
	if o.Instance == "" {
		bad = append(bad, "--instance: must not be empty")
	}
	if o.Domain == "" {
		bad = append(bad, "--domain: must not be empty")
	}
	bad = append(bad, badAddress("--store", o.Store, true)...)
	bad = append(bad, badAddress("--list", o.List, false)...)
	return append(bad, badAddress("--trace-otlp", o.TraceOTLP, false)...)
}

// ID returns the instance's id.
func (o *SelfOptions) ID() bbunit.InstanceID { return bbunit.InstanceID(o.Instance) }

// FrontOptions set where callers and operators reach an instance.
type FrontOptions struct {
	Listen  string
	Admin   string
	Body    int64 // bytes
	Drain   time.Duration
	Timeout time.Duration
}

func (o *FrontOptions) flags(cmd *kingpin.CmdClause) {
	cmd.Flag("listen", "Address for callers.").Envar("BLUEBELLPORT_LISTEN").Default("127.0.0.1:8080").StringVar(&o.Listen)
	cmd.Flag("admin", "Address for health, metrics and status.").Envar("BLUEBELLPORT_ADMIN").Default("127.0.0.1:8081").StringVar(&o.Admin)
	cmd.Flag("max-body", "Largest request body, in bytes.").Envar("BLUEBELLPORT_MAX_BODY").Default("1048576").Int64Var(&o.Body)
	cmd.Flag("drain", "Longest time that a planned stop waits for streams to end.").Envar("BLUEBELLPORT_DRAIN").Default("60s").DurationVar(&o.Drain)
	cmd.Flag("timeout", "Deadline of a request that sets none.").Envar("BLUEBELLPORT_TIMEOUT").Default("120s").DurationVar(&o.Timeout)
}

func (o *FrontOptions) check() []string {
	bad := badAddress("--listen", o.Listen, true)
	bad = append(bad, badAddress("--admin", o.Admin, true)...)
	if o.Body <= 0 {
		bad = append(bad, fmt.Sprintf("--max-body: must be above 0, is %d", o.Body))
	}
	bad = append(bad, badDuration("--drain", o.Drain)...)
	return append(bad, badDuration("--timeout", o.Timeout)...)
}

// PeerOptions set how instances reach each other.
type PeerOptions struct{}

func (o *PeerOptions) flags(_ *kingpin.CmdClause) {}

func (o *PeerOptions) check() []string { return nil }

// MoneyOptions set how budget shares are drawn.
type MoneyOptions struct{}

func (o *MoneyOptions) flags(_ *kingpin.CmdClause) {}

func (o *MoneyOptions) check() []string { return nil }

// RecordOptions set how claims and bills are kept.
type RecordOptions struct{}

func (o *RecordOptions) flags(_ *kingpin.CmdClause) {}

func (o *RecordOptions) check() []string { return nil }

// RouteOptions set how targets are chosen, limited and retried.
type RouteOptions struct {
	CircuitFails   int
	CircuitOpen    time.Duration
	CircuitLongest time.Duration
	CircuitProbe   time.Duration
	SlowStart      time.Duration
	Spill          time.Duration
	LoadEvery      time.Duration
	QueueMost      int
	QueueLongest   time.Duration
	Tries          int
	RetryRatio     float64
	RetryFloor     float64 // retries a second
	PoisonCrashes  int
}

func (o *RouteOptions) flags(cmd *kingpin.CmdClause) {
	cmd.Flag("circuit-fails", "Failures in a row that open a target's circuit.").Envar("BLUEBELLPORT_CIRCUIT_FAILS").Default("3").IntVar(&o.CircuitFails)
	cmd.Flag("circuit-open", "How long a circuit stays open at first; each failed probe doubles it.").Envar("BLUEBELLPORT_CIRCUIT_OPEN").Default("1s").DurationVar(&o.CircuitOpen)
	cmd.Flag("circuit-longest", "Longest time that a circuit stays open.").Envar("BLUEBELLPORT_CIRCUIT_LONGEST").Default("30s").DurationVar(&o.CircuitLongest)
	cmd.Flag("circuit-probe", "How long the probe of a half-open circuit may take before another follows.").Envar("BLUEBELLPORT_CIRCUIT_PROBE").Default("10s").DurationVar(&o.CircuitProbe)
	cmd.Flag("slow-start", "How long a new target takes to get its full share.").Envar("BLUEBELLPORT_SLOW_START").Default("10s").DurationVar(&o.SlowStart)
	cmd.Flag("spill", "Expected wait above which requests go to another failure domain.").Envar("BLUEBELLPORT_SPILL").Default("250ms").DurationVar(&o.Spill)
	cmd.Flag("load-every", "How often a target is asked for its load.").Envar("BLUEBELLPORT_LOAD_EVERY").Default("250ms").DurationVar(&o.LoadEvery)
	cmd.Flag("queue", "Most requests of a service that wait for a place.").Envar("BLUEBELLPORT_QUEUE").Default("256").IntVar(&o.QueueMost)
	cmd.Flag("queue-longest", "Longest expected wait for a place; requests beyond it are refused at once.").Envar("BLUEBELLPORT_QUEUE_LONGEST").Default("5s").DurationVar(&o.QueueLongest)
	cmd.Flag("tries", "Most attempts of one request.").Envar("BLUEBELLPORT_TRIES").Default("3").IntVar(&o.Tries)
	cmd.Flag("retry-ratio", "Retries that each success of a service pays for.").Envar("BLUEBELLPORT_RETRY_RATIO").Default("0.1").Float64Var(&o.RetryRatio)
	cmd.Flag("retry-floor", "Retries a second that a service has in any case.").Envar("BLUEBELLPORT_RETRY_FLOOR").Default("1").Float64Var(&o.RetryFloor)
	cmd.Flag("poison-crashes", "Targets that must crash before a request is refused for good.").Envar("BLUEBELLPORT_POISON_CRASHES").Default("2").IntVar(&o.PoisonCrashes)
}

func (o *RouteOptions) check() []string {
	var bad []string
	if o.CircuitFails < 1 {
		bad = append(bad, fmt.Sprintf("--circuit-fails: must be at least 1, is %d", o.CircuitFails))
	}
	if o.QueueMost < 0 {
		bad = append(bad, fmt.Sprintf("--queue: must not be below 0, is %d", o.QueueMost))
	}
	if o.Tries < 1 {
		bad = append(bad, fmt.Sprintf("--tries: must be at least 1, is %d", o.Tries))
	}
	if !(o.RetryRatio >= 0 && o.RetryRatio <= 1) {
		bad = append(bad, fmt.Sprintf("--retry-ratio: must be from 0 to 1, is %g", o.RetryRatio))
	}
	if !(o.RetryFloor >= 0 && o.RetryFloor <= 1e6) {
		bad = append(bad, fmt.Sprintf("--retry-floor: must be from 0 to 1000000, is %g", o.RetryFloor))
	}
	if o.PoisonCrashes < 1 || o.PoisonCrashes > 8 {
		bad = append(bad, fmt.Sprintf("--poison-crashes: must be from 1 to 8, is %d", o.PoisonCrashes))
	}
	bad = append(bad, badDuration("--load-every", o.LoadEvery)...)
	bad = append(bad, badDuration("--queue-longest", o.QueueLongest)...)
	bad = append(bad, badDuration("--circuit-open", o.CircuitOpen)...)
	bad = append(bad, badDuration("--circuit-longest", o.CircuitLongest)...)
	bad = append(bad, badDuration("--circuit-probe", o.CircuitProbe)...)
	bad = append(bad, badDuration("--slow-start", o.SlowStart)...)
	return append(bad, badDuration("--spill", o.Spill)...)
}

// choice returns the rule by which targets are chosen.
func (o *RouteOptions) choice() bbroute.ChoiceRule {
	return bbroute.ChoiceRule{
		Circuit: bbroute.CircuitRule{
			Fails:   o.CircuitFails,
			Open:    o.CircuitOpen,
			Longest: o.CircuitLongest,
			Probe:   o.CircuitProbe,
		},
		SlowStart: o.SlowStart,
		Spill:     o.Spill,
	}
}

// gate returns the rule of requests that wait.
func (o *RouteOptions) gate() bbroute.GateRule {
	return bbroute.GateRule{Most: o.QueueMost, Longest: o.QueueLongest}
}

// retry returns the rule of retries.
func (o *RouteOptions) retry() bbroute.RetryRule {
	return bbroute.RetryRule{Tries: o.Tries, Ratio: o.RetryRatio, Floor: o.RetryFloor}
}

// poison returns the rule of requests that crash targets.
func (o *RouteOptions) poison() bbroute.PoisonRule {
	return bbroute.PoisonRule{Crashes: o.PoisonCrashes, Suspect: suspectKeep, Most: poisonsMost}
}

// badAddress returns a line when the flag's value is not host:port.
func badAddress(flag, v string, needed bool) []string {
	if v == "" && !needed {
		return nil
	}
	if _, _, err := net.SplitHostPort(v); err != nil {
		return []string{fmt.Sprintf("%s: not host:port: %q", flag, v)}
	}
	return nil
}

// badDuration returns a line when the flag's value is not above zero.
func badDuration(flag string, d time.Duration) []string {
	if d <= 0 {
		return []string{fmt.Sprintf("%s: must be above 0, is %s", flag, d)}
	}
	return nil
}
