package bbport

import (
	"crypto/tls"
	"fmt"
	"net/netip"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/sirupsen/logrus"

	"bluebellport.example/shared/bbcli"
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
	if _, err := logrus.ParseLevel(o.LogLevel); err != nil {
		bad = append(bad, fmt.Sprintf("--log-level: %q: panic, fatal, error, warning, info, debug or trace", o.LogLevel))
	}
	bad = append(bad, badAddress("--store", o.Store, true)...)
	bad = append(bad, badAddress("--list", o.List, false)...)
	return append(bad, badAddress("--trace-otlp", o.TraceOTLP, false)...)
}

// ID returns the instance's id.
func (o *SelfOptions) ID() bbunit.InstanceID { return bbunit.InstanceID(o.Instance) }

// FrontOptions set where callers and operators reach an instance.
type FrontOptions struct {
	Listen string
	Admin  string
	// Cert and Key are PEM files; without them callers speak plain HTTP.
	Cert, Key string
	Body      int64 // bytes
	Drain     time.Duration
	Timeout   time.Duration
	// Linger is how long a leaving instance still takes new requests.
	Linger time.Duration
	// Silence is how long a target may send nothing before it is asked about.
	Silence time.Duration
	// Late is how long after its deadline the answer to a request that may not
	// be repeated is still waited for.
	Late time.Duration
}

func (o *FrontOptions) flags(cmd *kingpin.CmdClause) {
	cmd.Flag("listen", "Address for callers.").Envar("BLUEBELLPORT_LISTEN").Default("127.0.0.1:8080").StringVar(&o.Listen)
	cmd.Flag("admin", "Address for health, metrics and status.").Envar("BLUEBELLPORT_ADMIN").Default("127.0.0.1:8081").StringVar(&o.Admin)
	cmd.Flag("tls-cert", "Certificate for callers, a PEM file; empty serves plain HTTP.").Envar("BLUEBELLPORT_TLS_CERT").StringVar(&o.Cert)
	cmd.Flag("tls-key", "Key of --tls-cert, a PEM file.").Envar("BLUEBELLPORT_TLS_KEY").StringVar(&o.Key)
	cmd.Flag("max-body", "Largest request body, in bytes.").Envar("BLUEBELLPORT_MAX_BODY").Default("1048576").Int64Var(&o.Body)
	cmd.Flag("drain", "Longest time that a planned stop waits for streams to end.").Envar("BLUEBELLPORT_DRAIN").Default("60s").DurationVar(&o.Drain)
	cmd.Flag("timeout", "Deadline of a request that sets none.").Envar("BLUEBELLPORT_TIMEOUT").Default("120s").DurationVar(&o.Timeout)
	cmd.Flag("linger", "How long a leaving instance still takes requests while the balancer learns of it.").Envar("BLUEBELLPORT_LINGER").Default("3s").DurationVar(&o.Linger)
	cmd.Flag("silence", "How long a target may send nothing before it is asked about over a fresh connection.").Envar("BLUEBELLPORT_SILENCE").Default("2s").DurationVar(&o.Silence)
	cmd.Flag("late", "How long past its deadline the answer to a request that may not be repeated is waited for.").Envar("BLUEBELLPORT_LATE").Default("60s").DurationVar(&o.Late)
}

func (o *FrontOptions) check() []string {
	bad := badAddress("--listen", o.Listen, true)
	bad = append(bad, badAddress("--admin", o.Admin, true)...)
	if (o.Cert == "") != (o.Key == "") {
		bad = append(bad, fmt.Sprintf("--tls-cert, --tls-key: only one is set: %q, %q", o.Cert, o.Key))
	} else if o.Cert != "" {
		if _, err := tls.LoadX509KeyPair(o.Cert, o.Key); err != nil {
			bad = append(bad, fmt.Sprintf("--tls-cert, --tls-key: %s", err))
		}
	}
	if o.Body <= 0 {
		bad = append(bad, fmt.Sprintf("--max-body: must be above 0, is %d", o.Body))
	}
	bad = append(bad, bbcli.CheckDuration("--drain", o.Drain)...)
	bad = append(bad, bbcli.CheckDuration("--silence", o.Silence)...)
	bad = append(bad, bbcli.CheckDuration("--late", o.Late)...)
	if o.Linger < 0 || o.Linger >= o.Drain {
		bad = append(bad, fmt.Sprintf("--linger: must be from 0 to below --drain (%s), is %s", o.Drain, o.Linger))
	}
	return append(bad, bbcli.CheckDuration("--timeout", o.Timeout)...)
}

// PeerOptions set how instances reach each other.
type PeerOptions struct {
	Listen    string
	Advertise string // empty: the address listened on
	Period    time.Duration
	Suspicion time.Duration
	Cert      string // files in PEM; all three or none
	Key       string
	CA        string
}

func (o *PeerOptions) flags(cmd *kingpin.CmdClause) {
	cmd.Flag("peer", "Address for other instances.").Envar("BLUEBELLPORT_PEER").Default("127.0.0.1:8082").StringVar(&o.Listen)
	cmd.Flag("peer-advertise", "Address that other instances connect to; empty is the one of --peer.").Envar("BLUEBELLPORT_PEER_ADVERTISE").StringVar(&o.Advertise)
	cmd.Flag("gossip-period", "Time between two rounds of gossip.").Envar("BLUEBELLPORT_GOSSIP_PERIOD").Default("1s").DurationVar(&o.Period)
	cmd.Flag("suspicion", "Silence after which an instance is taken out of the view.").Envar("BLUEBELLPORT_SUSPICION").Default("5s").DurationVar(&o.Suspicion)
	cmd.Flag("peer-cert", "Certificate shown to other instances, a PEM file; turns mutual TLS on.").Envar("BLUEBELLPORT_PEER_CERT").StringVar(&o.Cert)
	cmd.Flag("peer-key", "Private key of --peer-cert, a PEM file.").Envar("BLUEBELLPORT_PEER_KEY").StringVar(&o.Key)
	cmd.Flag("peer-ca", "Certificates that other instances' must be signed by, a PEM file.").Envar("BLUEBELLPORT_PEER_CA").StringVar(&o.CA)
}

func (o *PeerOptions) check() []string {
	bad := badAddress("--peer", o.Listen, true)
	bad = append(bad, badAdvertise(o.Advertised())...)
	bad = append(bad, bbcli.CheckDuration("--gossip-period", o.Period)...)
	if o.Suspicion < 3*o.Period {
		bad = append(bad, fmt.Sprintf("--suspicion: must be at least 3 times --gossip-period, is %s", o.Suspicion))
	}
	if _, err := o.tlsConfig(); err != nil {
		bad = append(bad, err.Error())
	}
	return bad
}

// Advertised returns the address that other instances connect to.
func (o *PeerOptions) Advertised() string {
	if o.Advertise != "" {
		return o.Advertise
	}
	return o.Listen
}

// badAdvertise returns a line when others could not connect to the address.
func badAdvertise(v string) []string {
	a, err := netip.ParseAddrPort(v)
	if err != nil || a.Addr().IsUnspecified() {
		return []string{fmt.Sprintf("--peer-advertise: not an IP number and port that others can reach: %q", v)}
	}
	return nil
}

// RecordOptions set how claims and bills are kept.
type RecordOptions struct {
	Retention    time.Duration
	ClaimPeriod  time.Duration
	BillPeriod   time.Duration
	ClaimTimeout time.Duration
	Takeover     time.Duration
	Queue        int     // records
	ClaimWrites  float64 // a second in the failure domain
	BillWrites   float64 // a second in the failure domain
	AnswerKeep   time.Duration
	AnswerGrace  time.Duration
	AnswerMost   int64 // bytes
	AnswerTotal  int64 // bytes
}

func (o *RecordOptions) flags(cmd *kingpin.CmdClause) {
	cmd.Flag("record-retention", "How long request ids are remembered.").Envar("BLUEBELLPORT_RECORD_RETENTION").Default("24h").DurationVar(&o.Retention)
	cmd.Flag("claim-period", "Longest wait of a claim for others to share its write.").Envar("BLUEBELLPORT_CLAIM_PERIOD").Default("50ms").DurationVar(&o.ClaimPeriod)
	cmd.Flag("bill-period", "Longest wait of a bill for others to share its write.").Envar("BLUEBELLPORT_BILL_PERIOD").Default("200ms").DurationVar(&o.BillPeriod)
	cmd.Flag("claim-timeout", "Longest wait for a claim to be written before the request is refused.").Envar("BLUEBELLPORT_CLAIM_TIMEOUT").Default("2s").DurationVar(&o.ClaimTimeout)
	cmd.Flag("record-takeover", "How long an instance is missing before its peers submit its records.").Envar("BLUEBELLPORT_RECORD_TAKEOVER").Default("5s").DurationVar(&o.Takeover)
	cmd.Flag("record-queue", "Unacknowledged bills above which new work is refused.").Envar("BLUEBELLPORT_RECORD_QUEUE").Default("100000").IntVar(&o.Queue)
	cmd.Flag("claim-writes", "Writes of claims a second in a failure domain above which claims wait longer for others.").Envar("BLUEBELLPORT_CLAIM_WRITES").Default("40").Float64Var(&o.ClaimWrites)
	cmd.Flag("bill-writes", "Most writes of bills alone a second in a failure domain.").Envar("BLUEBELLPORT_BILL_WRITES").Default("10").Float64Var(&o.BillWrites)
	cmd.Flag("answer-keep", "How long an answer is kept for repeated requests.").Envar("BLUEBELLPORT_ANSWER_KEEP").Default("10m").DurationVar(&o.AnswerKeep)
	cmd.Flag("answer-grace", "How long a request goes on when all its callers have left.").Envar("BLUEBELLPORT_ANSWER_GRACE").Default("2s").DurationVar(&o.AnswerGrace)
	cmd.Flag("answer-max", "Bytes of one answer that are buffered for repeated requests.").Envar("BLUEBELLPORT_ANSWER_MAX").Default("1048576").Int64Var(&o.AnswerMost)
	cmd.Flag("answer-total", "Bytes of all kept answers.").Envar("BLUEBELLPORT_ANSWER_TOTAL").Default("67108864").Int64Var(&o.AnswerTotal)
}

func (o *RecordOptions) check() []string {
	bad := bbcli.CheckDuration("--claim-period", o.ClaimPeriod)
	bad = append(bad, bbcli.CheckDuration("--bill-period", o.BillPeriod)...)
	bad = append(bad, bbcli.CheckDuration("--record-takeover", o.Takeover)...)
	bad = append(bad, bbcli.CheckDuration("--answer-keep", o.AnswerKeep)...)
	bad = append(bad, bbcli.CheckDuration("--answer-grace", o.AnswerGrace)...)
	if o.Retention < retentionLeast {
		bad = append(bad, fmt.Sprintf("--record-retention: must be at least %s, is %s", retentionLeast, o.Retention))
	}
	if o.ClaimTimeout <= o.ClaimPeriod {
		bad = append(bad, fmt.Sprintf("--claim-timeout: must be above --claim-period (%s), is %s", o.ClaimPeriod, o.ClaimTimeout))
	}
	if o.Queue <= 0 {
		bad = append(bad, fmt.Sprintf("--record-queue: must be above 0, is %d", o.Queue))
	}
	if !(o.ClaimWrites > 0) {
		bad = append(bad, fmt.Sprintf("--claim-writes: must be above 0, is %g", o.ClaimWrites))
	}
	if !(o.BillWrites > 0) {
		bad = append(bad, fmt.Sprintf("--bill-writes: must be above 0, is %g", o.BillWrites))
	}
	if o.AnswerMost <= 0 {
		bad = append(bad, fmt.Sprintf("--answer-max: must be above 0, is %d", o.AnswerMost))
	}
	if o.AnswerTotal < o.AnswerMost {
		bad = append(bad, fmt.Sprintf("--answer-total: must be at least --answer-max (%d), is %d", o.AnswerMost, o.AnswerTotal))
	}
	return bad
}

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
	cmd.Flag("tries", "Most targets that one request is sent to.").Envar("BLUEBELLPORT_TRIES").Default("3").IntVar(&o.Tries)
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
	bad = append(bad, bbcli.CheckDuration("--load-every", o.LoadEvery)...)
	bad = append(bad, bbcli.CheckDuration("--queue-longest", o.QueueLongest)...)
	bad = append(bad, bbcli.CheckDuration("--circuit-open", o.CircuitOpen)...)
	bad = append(bad, bbcli.CheckDuration("--circuit-longest", o.CircuitLongest)...)
	bad = append(bad, bbcli.CheckDuration("--circuit-probe", o.CircuitProbe)...)
	bad = append(bad, bbcli.CheckDuration("--slow-start", o.SlowStart)...)
	return append(bad, bbcli.CheckDuration("--spill", o.Spill)...)
}

// choice returns the rule by which targets are chosen.
func (o *RouteOptions) choice() bbroute.PickPolicy {
	return bbroute.PickPolicy{
		Circuit: bbroute.CircuitPolicy{
			FailureThreshold: o.CircuitFails,
			InitialOpen:      o.CircuitOpen,
			MaxOpen:          o.CircuitLongest,
			ProbeTimeout:     o.CircuitProbe,
		},
		SlowStart: o.SlowStart,
		SpillWait: o.Spill,
	}
}

// gate returns the rule of requests that wait.
func (o *RouteOptions) gate() bbroute.AdmissionPolicy {
	return bbroute.AdmissionPolicy{MaxQueued: o.QueueMost, MaxWait: o.QueueLongest}
}

// retry returns the rule of retries.
func (o *RouteOptions) retry() bbroute.RetryPolicy {
	return bbroute.RetryPolicy{MaxAttempts: o.Tries, Ratio: o.RetryRatio, MinPerSecond: o.RetryFloor}
}

// poison returns the rule of requests that crash targets.
func (o *RouteOptions) poison() bbroute.PoisonPolicy {
	return bbroute.PoisonPolicy{CrashThreshold: o.PoisonCrashes, SuspectTTL: suspectKeep, MaxFingerprints: poisonsMost}
}

// badAddress is bbcli.CheckAddress for a value that may be left out.
func badAddress(flag, v string, needed bool) []string {
	if v == "" && !needed {
		return nil
	}
	return bbcli.CheckAddress(flag, v)
}
