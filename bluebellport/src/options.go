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

// Options holds all settings of an instance. Each component has a group of its
// own, which declares its flags and checks their values.
type Options struct {
	Self     SelfOptions
	Frontend FrontendOptions
	Peer     PeerOptions
	Budget   BudgetOptions
	Record   RecordOptions
	Route    RouteOptions
}

// optionGroup holds the settings of one component.
type optionGroup interface {
	// flags declares the group's flags and environment variables.
	flags(cmd *kingpin.CmdClause)
	// check returns one line for each invalid value, with its flag.
	check() []string
}

func (o *Options) groups() []optionGroup {
	return []optionGroup{&o.Self, &o.Frontend, &o.Peer, &o.Budget, &o.Record, &o.Route}
}

// Check returns one line for each invalid setting of all groups.
func (o *Options) Check() []string {
	var problems []string
	for _, g := range o.groups() {
		problems = append(problems, g.check()...)
	}
	return problems
}

// SelfOptions holds the instance's identity, the addresses of the platform's
// services, and the settings of logs and traces.
type SelfOptions struct {
	Instance     string
	Domain       string
	StoreAddress string // host:port of the key-value service
	ListAddress  string // host:port of the list of instances; empty: not polled
	LogLevel     string
	TraceAddress string // host:port of an OTLP/HTTP collector; empty: no export
	// LinkMbps is what this instance's network link carries in each direction, in
	// Mbit/s, 0 if unknown. The platform's settings name it.
	LinkMbps uint32
}

func (o *SelfOptions) flags(cmd *kingpin.CmdClause) {
	cmd.Flag("instance", "Name of this instance, unique in the fleet.").Envar("BLUEBELLPORT_INSTANCE").StringVar(&o.Instance)
	cmd.Flag("domain", "Failure domain of this instance.").Envar("BLUEBELLPORT_DOMAIN").StringVar(&o.Domain)
	cmd.Flag("store", "Address of the platform's key-value service.").Envar("BLUEBELLPORT_STORE").StringVar(&o.StoreAddress)
	cmd.Flag("list", "Address of the platform's list of instances.").Envar("BLUEBELLPORT_LIST").StringVar(&o.ListAddress)
	cmd.Flag("log-level", "Least level that is logged.").Envar("BLUEBELLPORT_LOG_LEVEL").Default("info").StringVar(&o.LogLevel)
	cmd.Flag("trace-otlp", "Address of an OTLP/HTTP trace collector; empty exports nothing.").Envar("BLUEBELLPORT_TRACE_OTLP").StringVar(&o.TraceAddress)
}

func (o *SelfOptions) check() []string {
	var problems []string
	if o.Instance == "" {
		problems = append(problems, "--instance: must not be empty")
	}
	if o.Domain == "" {
		problems = append(problems, "--domain: must not be empty")
	}
	if _, err := logrus.ParseLevel(o.LogLevel); err != nil {
		problems = append(problems, fmt.Sprintf("--log-level: %q: panic, fatal, error, warning, info, debug or trace", o.LogLevel))
	}
	problems = append(problems, checkAddress("--store", o.StoreAddress, true)...)
	problems = append(problems, checkAddress("--list", o.ListAddress, false)...)
	return append(problems, checkAddress("--trace-otlp", o.TraceAddress, false)...)
}

// ID returns the instance's name as an id.
func (o *SelfOptions) ID() bbunit.InstanceID { return bbunit.InstanceID(o.Instance) }

// FrontendOptions holds the settings of the interfaces for callers and operators,
// and of the requests that callers send.
type FrontendOptions struct {
	CallerAddress string
	AdminAddress  string
	// Cert and Key are PEM files; without them the interface for callers is
	// plain HTTP.
	Cert, Key    string
	MaxBodyBytes int64
	// DrainTimeout bounds a planned stop.
	DrainTimeout time.Duration
	// DefaultDeadline applies to requests that set none.
	DefaultDeadline time.Duration
	// LingerTime is how long a leaving instance still accepts new requests.
	LingerTime time.Duration
	// SilenceTimeout is how long a target may send nothing before it is probed
	// over a new connection.
	SilenceTimeout time.Duration
	// LateAnswerTimeout is how long the instance waits, after the deadline of a
	// request that is not idempotent, for its answer.
	LateAnswerTimeout time.Duration
}

func (o *FrontendOptions) flags(cmd *kingpin.CmdClause) {
	cmd.Flag("listen", "Address for callers.").Envar("BLUEBELLPORT_LISTEN").Default("127.0.0.1:8080").StringVar(&o.CallerAddress)
	cmd.Flag("admin", "Address for health, metrics and status.").Envar("BLUEBELLPORT_ADMIN").Default("127.0.0.1:8081").StringVar(&o.AdminAddress)
	cmd.Flag("tls-cert", "Certificate for callers, a PEM file; empty serves plain HTTP.").Envar("BLUEBELLPORT_TLS_CERT").StringVar(&o.Cert)
	cmd.Flag("tls-key", "Key of --tls-cert, a PEM file.").Envar("BLUEBELLPORT_TLS_KEY").StringVar(&o.Key)
	cmd.Flag("max-body", "Largest request body, in bytes.").Envar("BLUEBELLPORT_MAX_BODY").Default("1048576").Int64Var(&o.MaxBodyBytes)
	cmd.Flag("drain", "Longest time that a planned stop waits for streams to end.").Envar("BLUEBELLPORT_DRAIN").Default("60s").DurationVar(&o.DrainTimeout)
	cmd.Flag("timeout", "Deadline of a request that sets none.").Envar("BLUEBELLPORT_TIMEOUT").Default("120s").DurationVar(&o.DefaultDeadline)
	cmd.Flag("linger", "How long a leaving instance still takes requests while the balancer learns of it.").Envar("BLUEBELLPORT_LINGER").Default("3s").DurationVar(&o.LingerTime)
	cmd.Flag("silence", "How long a target may send nothing before it is asked about over a fresh connection.").Envar("BLUEBELLPORT_SILENCE").Default("2s").DurationVar(&o.SilenceTimeout)
	cmd.Flag("late", "How long past its deadline the answer to a request that may not be repeated is waited for.").Envar("BLUEBELLPORT_LATE").Default("60s").DurationVar(&o.LateAnswerTimeout)
}

func (o *FrontendOptions) check() []string {
	problems := checkAddress("--listen", o.CallerAddress, true)
	problems = append(problems, checkAddress("--admin", o.AdminAddress, true)...)
	if (o.Cert == "") != (o.Key == "") {
		problems = append(problems, fmt.Sprintf("--tls-cert, --tls-key: only one is set: %q, %q", o.Cert, o.Key))
	} else if o.Cert != "" {
		if _, err := tls.LoadX509KeyPair(o.Cert, o.Key); err != nil {
			problems = append(problems, fmt.Sprintf("--tls-cert, --tls-key: %s", err))
		}
	}
	if o.MaxBodyBytes <= 0 {
		problems = append(problems, fmt.Sprintf("--max-body: must be above 0, is %d", o.MaxBodyBytes))
	}
	problems = append(problems, bbcli.CheckDuration("--drain", o.DrainTimeout)...)
	problems = append(problems, bbcli.CheckDuration("--silence", o.SilenceTimeout)...)
	problems = append(problems, bbcli.CheckDuration("--late", o.LateAnswerTimeout)...)
	if o.LingerTime < 0 || o.LingerTime >= o.DrainTimeout {
		problems = append(problems, fmt.Sprintf("--linger: must be from 0 to below --drain (%s), is %s", o.DrainTimeout, o.LingerTime))
	}
	return append(problems, bbcli.CheckDuration("--timeout", o.DefaultDeadline)...)
}

// PeerOptions holds the settings of the sessions and the gossip between
// instances.
type PeerOptions struct {
	ListenAddress     string
	AdvertisedAddress string // empty: ListenAddress
	GossipPeriod      time.Duration
	SuspicionTimeout  time.Duration
	Cert              string // Cert, Key and CA are PEM files: all three or none
	Key               string
	CA                string
}

func (o *PeerOptions) flags(cmd *kingpin.CmdClause) {
	cmd.Flag("peer", "Address for other instances.").Envar("BLUEBELLPORT_PEER").Default("127.0.0.1:8082").StringVar(&o.ListenAddress)
	cmd.Flag("peer-advertise", "Address that other instances connect to; empty is the one of --peer.").Envar("BLUEBELLPORT_PEER_ADVERTISE").StringVar(&o.AdvertisedAddress)
	cmd.Flag("gossip-period", "Time between two rounds of gossip.").Envar("BLUEBELLPORT_GOSSIP_PERIOD").Default("1s").DurationVar(&o.GossipPeriod)
	cmd.Flag("suspicion", "Silence after which an instance is taken out of the view.").Envar("BLUEBELLPORT_SUSPICION").Default("5s").DurationVar(&o.SuspicionTimeout)
	cmd.Flag("peer-cert", "Certificate shown to other instances, a PEM file; turns mutual TLS on.").Envar("BLUEBELLPORT_PEER_CERT").StringVar(&o.Cert)
	cmd.Flag("peer-key", "Private key of --peer-cert, a PEM file.").Envar("BLUEBELLPORT_PEER_KEY").StringVar(&o.Key)
	cmd.Flag("peer-ca", "Certificates that other instances' must be signed by, a PEM file.").Envar("BLUEBELLPORT_PEER_CA").StringVar(&o.CA)
}

func (o *PeerOptions) check() []string {
	problems := checkAddress("--peer", o.ListenAddress, true)
	problems = append(problems, checkReachableAddress(o.ReachableAddress())...)
	problems = append(problems, bbcli.CheckDuration("--gossip-period", o.GossipPeriod)...)
	if o.SuspicionTimeout < 3*o.GossipPeriod {
		problems = append(problems, fmt.Sprintf("--suspicion: must be at least 3 times --gossip-period, is %s", o.SuspicionTimeout))
	}
	if _, err := o.tlsConfig(); err != nil {
		problems = append(problems, err.Error())
	}
	return problems
}

// ReachableAddress returns the IP address and port that other instances connect
// to.
func (o *PeerOptions) ReachableAddress() string {
	if o.AdvertisedAddress != "" {
		return o.AdvertisedAddress
	}
	return o.ListenAddress
}

// checkReachableAddress returns a line when other instances cannot connect to
// the address.
func checkReachableAddress(address string) []string {
	a, err := netip.ParseAddrPort(address)
	if err != nil || a.Addr().IsUnspecified() {
		return []string{fmt.Sprintf("--peer-advertise: not an IP number and port that others can reach: %q", address)}
	}
	return nil
}

// RecordOptions holds the settings of claims, bills and kept answers.
type RecordOptions struct {
	Retention              time.Duration // of request ids
	ClaimPeriod            time.Duration // longest wait of a claim to share a write with others
	BillPeriod             time.Duration // longest wait of a bill to share a write with others
	ClaimTimeout           time.Duration
	TakeoverDelay          time.Duration // until peers submit the records of a missing instance
	MaxUnacknowledgedBills int
	ClaimWriteRate         float64 // writes per second in the failure domain
	BillWriteRate          float64 // writes per second in the failure domain
	AnswerTTL              time.Duration
	CallerlessTimeout      time.Duration // from when the last caller leaves
	MaxAnswerBytes         int64
	MaxTotalAnswerBytes    int64
}

func (o *RecordOptions) flags(cmd *kingpin.CmdClause) {
	cmd.Flag("record-retention", "How long request ids are remembered.").Envar("BLUEBELLPORT_RECORD_RETENTION").Default("24h").DurationVar(&o.Retention)
	cmd.Flag("claim-period", "Longest wait of a claim for others to share its write.").Envar("BLUEBELLPORT_CLAIM_PERIOD").Default("50ms").DurationVar(&o.ClaimPeriod)
	cmd.Flag("bill-period", "Longest wait of a bill for others to share its write.").Envar("BLUEBELLPORT_BILL_PERIOD").Default("200ms").DurationVar(&o.BillPeriod)
	cmd.Flag("claim-timeout", "Longest wait for a claim to be written before the request is refused.").Envar("BLUEBELLPORT_CLAIM_TIMEOUT").Default("2s").DurationVar(&o.ClaimTimeout)
	cmd.Flag("record-takeover", "How long an instance is missing before its peers submit its records.").Envar("BLUEBELLPORT_RECORD_TAKEOVER").Default("5s").DurationVar(&o.TakeoverDelay)
	cmd.Flag("record-queue", "Unacknowledged bills above which new work is refused.").Envar("BLUEBELLPORT_RECORD_QUEUE").Default("100000").IntVar(&o.MaxUnacknowledgedBills)
	cmd.Flag("claim-writes", "Writes of claims a second in a failure domain above which claims wait longer for others.").Envar("BLUEBELLPORT_CLAIM_WRITES").Default("40").Float64Var(&o.ClaimWriteRate)
	cmd.Flag("bill-writes", "Most writes of bills alone a second in a failure domain.").Envar("BLUEBELLPORT_BILL_WRITES").Default("10").Float64Var(&o.BillWriteRate)
	cmd.Flag("answer-keep", "How long an answer is kept for repeated requests.").Envar("BLUEBELLPORT_ANSWER_KEEP").Default("10m").DurationVar(&o.AnswerTTL)
	cmd.Flag("answer-grace", "How long a request goes on when all its callers have left.").Envar("BLUEBELLPORT_ANSWER_GRACE").Default("2s").DurationVar(&o.CallerlessTimeout)
	cmd.Flag("answer-max", "Bytes of one answer that are buffered for repeated requests.").Envar("BLUEBELLPORT_ANSWER_MAX").Default("1048576").Int64Var(&o.MaxAnswerBytes)
	cmd.Flag("answer-total", "Bytes of all kept answers.").Envar("BLUEBELLPORT_ANSWER_TOTAL").Default("67108864").Int64Var(&o.MaxTotalAnswerBytes)
}

func (o *RecordOptions) check() []string {
	problems := bbcli.CheckDuration("--claim-period", o.ClaimPeriod)
	problems = append(problems, bbcli.CheckDuration("--bill-period", o.BillPeriod)...)
	problems = append(problems, bbcli.CheckDuration("--record-takeover", o.TakeoverDelay)...)
	problems = append(problems, bbcli.CheckDuration("--answer-keep", o.AnswerTTL)...)
	problems = append(problems, bbcli.CheckDuration("--answer-grace", o.CallerlessTimeout)...)
	if o.Retention < minRetention {
		problems = append(problems, fmt.Sprintf("--record-retention: must be at least %s, is %s", minRetention, o.Retention))
	}
	if o.ClaimTimeout <= o.ClaimPeriod {
		problems = append(problems, fmt.Sprintf("--claim-timeout: must be above --claim-period (%s), is %s", o.ClaimPeriod, o.ClaimTimeout))
	}
	if o.MaxUnacknowledgedBills <= 0 {
		problems = append(problems, fmt.Sprintf("--record-queue: must be above 0, is %d", o.MaxUnacknowledgedBills))
	}
	if !(o.ClaimWriteRate > 0) {
		problems = append(problems, fmt.Sprintf("--claim-writes: must be above 0, is %g", o.ClaimWriteRate))
	}
	if !(o.BillWriteRate > 0) {
		problems = append(problems, fmt.Sprintf("--bill-writes: must be above 0, is %g", o.BillWriteRate))
	}
	if o.MaxAnswerBytes <= 0 {
		problems = append(problems, fmt.Sprintf("--answer-max: must be above 0, is %d", o.MaxAnswerBytes))
	}
	if o.MaxTotalAnswerBytes < o.MaxAnswerBytes {
		problems = append(problems, fmt.Sprintf("--answer-total: must be at least --answer-max (%d), is %d", o.MaxAnswerBytes, o.MaxTotalAnswerBytes))
	}
	return problems
}

// RouteOptions holds the settings of choosing targets, queueing and retries.
type RouteOptions struct {
	CircuitFailureThreshold int
	InitialCircuitOpen      time.Duration
	MaxCircuitOpen          time.Duration
	CircuitProbeTimeout     time.Duration
	SlowStart               time.Duration
	SpillWait               time.Duration
	LoadPollInterval        time.Duration
	MaxQueued               int
	MaxQueueWait            time.Duration
	MaxAttempts             int
	RetryRatio              float64
	MinRetryRate            float64 // retries per second and service
	PoisonCrashThreshold    int
}

func (o *RouteOptions) flags(cmd *kingpin.CmdClause) {
	cmd.Flag("circuit-fails", "Failures in a row that open a target's circuit.").Envar("BLUEBELLPORT_CIRCUIT_FAILS").Default("3").IntVar(&o.CircuitFailureThreshold)
	cmd.Flag("circuit-open", "How long a circuit stays open at first; each failed probe doubles it.").Envar("BLUEBELLPORT_CIRCUIT_OPEN").Default("1s").DurationVar(&o.InitialCircuitOpen)
	cmd.Flag("circuit-longest", "Longest time that a circuit stays open.").Envar("BLUEBELLPORT_CIRCUIT_LONGEST").Default("30s").DurationVar(&o.MaxCircuitOpen)
	cmd.Flag("circuit-probe", "How long the probe of a half-open circuit may take before another follows.").Envar("BLUEBELLPORT_CIRCUIT_PROBE").Default("10s").DurationVar(&o.CircuitProbeTimeout)
	cmd.Flag("slow-start", "How long a new target takes to get its full share.").Envar("BLUEBELLPORT_SLOW_START").Default("10s").DurationVar(&o.SlowStart)
	cmd.Flag("spill", "Expected wait above which requests go to another failure domain.").Envar("BLUEBELLPORT_SPILL").Default("250ms").DurationVar(&o.SpillWait)
	cmd.Flag("load-every", "How often a target is asked for its load.").Envar("BLUEBELLPORT_LOAD_EVERY").Default("250ms").DurationVar(&o.LoadPollInterval)
	cmd.Flag("queue", "Most requests of a service that wait for a place.").Envar("BLUEBELLPORT_QUEUE").Default("256").IntVar(&o.MaxQueued)
	cmd.Flag("queue-longest", "Longest expected wait for a place; requests beyond it are refused at once.").Envar("BLUEBELLPORT_QUEUE_LONGEST").Default("5s").DurationVar(&o.MaxQueueWait)
	cmd.Flag("tries", "Most targets that one request is sent to.").Envar("BLUEBELLPORT_TRIES").Default("3").IntVar(&o.MaxAttempts)
	cmd.Flag("retry-ratio", "Retries that each success of a service pays for.").Envar("BLUEBELLPORT_RETRY_RATIO").Default("0.1").Float64Var(&o.RetryRatio)
	cmd.Flag("retry-floor", "Retries a second that a service has in any case.").Envar("BLUEBELLPORT_RETRY_FLOOR").Default("1").Float64Var(&o.MinRetryRate)
	cmd.Flag("poison-crashes", "Targets that must crash before a request is refused for good.").Envar("BLUEBELLPORT_POISON_CRASHES").Default("2").IntVar(&o.PoisonCrashThreshold)
}

func (o *RouteOptions) check() []string {
	var problems []string
	if o.CircuitFailureThreshold < 1 {
		problems = append(problems, fmt.Sprintf("--circuit-fails: must be at least 1, is %d", o.CircuitFailureThreshold))
	}
	if o.MaxQueued < 0 {
		problems = append(problems, fmt.Sprintf("--queue: must not be below 0, is %d", o.MaxQueued))
	}
	if o.MaxAttempts < 1 {
		problems = append(problems, fmt.Sprintf("--tries: must be at least 1, is %d", o.MaxAttempts))
	}
	if !(o.RetryRatio >= 0 && o.RetryRatio <= 1) {
		problems = append(problems, fmt.Sprintf("--retry-ratio: must be from 0 to 1, is %g", o.RetryRatio))
	}
	if !(o.MinRetryRate >= 0 && o.MinRetryRate <= 1e6) {
		problems = append(problems, fmt.Sprintf("--retry-floor: must be from 0 to 1000000, is %g", o.MinRetryRate))
	}
	if o.PoisonCrashThreshold < 1 || o.PoisonCrashThreshold > 8 {
		problems = append(problems, fmt.Sprintf("--poison-crashes: must be from 1 to 8, is %d", o.PoisonCrashThreshold))
	}
	problems = append(problems, bbcli.CheckDuration("--load-every", o.LoadPollInterval)...)
	problems = append(problems, bbcli.CheckDuration("--queue-longest", o.MaxQueueWait)...)
	problems = append(problems, bbcli.CheckDuration("--circuit-open", o.InitialCircuitOpen)...)
	problems = append(problems, bbcli.CheckDuration("--circuit-longest", o.MaxCircuitOpen)...)
	problems = append(problems, bbcli.CheckDuration("--circuit-probe", o.CircuitProbeTimeout)...)
	problems = append(problems, bbcli.CheckDuration("--slow-start", o.SlowStart)...)
	return append(problems, bbcli.CheckDuration("--spill", o.SpillWait)...)
}

// pickPolicy returns the policy for choosing targets.
func (o *RouteOptions) pickPolicy() bbroute.PickPolicy {
	return bbroute.PickPolicy{
		Circuit: bbroute.CircuitPolicy{
			FailureThreshold: o.CircuitFailureThreshold,
			InitialOpen:      o.InitialCircuitOpen,
			MaxOpen:          o.MaxCircuitOpen,
			ProbeTimeout:     o.CircuitProbeTimeout,
		},
		SlowStart: o.SlowStart,
		SpillWait: o.SpillWait,
	}
}

// admissionPolicy returns the limits of a service's queue.
func (o *RouteOptions) admissionPolicy() bbroute.AdmissionPolicy {
	return bbroute.AdmissionPolicy{MaxQueued: o.MaxQueued, MaxWait: o.MaxQueueWait}
}

// retryPolicy returns the retry budget of a service and the attempts of a
// request.
func (o *RouteOptions) retryPolicy() bbroute.RetryPolicy {
	return bbroute.RetryPolicy{MaxAttempts: o.MaxAttempts, Ratio: o.RetryRatio, MinPerSecond: o.MinRetryRate}
}

// checkAddress is bbcli.CheckAddress, and accepts an empty value unless it is
// required.
func checkAddress(flag, v string, required bool) []string {
	if v == "" && !required {
		return nil
	}
	return bbcli.CheckAddress(flag, v)
}
