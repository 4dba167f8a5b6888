package bbstand

import (
	"fmt"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"bluebellport.example/shared/bbcli"
)

// flag declares a flag with its environment variable BLUEBELLSTAND_NAME.
func flag(cmd *kingpin.CmdClause, name, defaultValue, help string) *kingpin.FlagClause {
	env := "BLUEBELLSTAND_" + strings.ToUpper(strings.ReplaceAll(name, "-", "_"))
	f := cmd.Flag(name, help).Envar(env)
	if defaultValue != "" {
		f = f.Default(defaultValue)
	}
	return f
}

// StoreOptions configures the stand-in for the key-value service.
type StoreOptions struct {
	Listen              string
	ReadRate, WriteRate float64 // calls per second; 0 does not limit
	Progress            time.Duration
}

func (o *StoreOptions) flags(cmd *kingpin.CmdClause) {
	flag(cmd, "store", "127.0.0.1:2379", "Address of the key-value service.").StringVar(&o.Listen)
	flag(cmd, "read-rate", "0", "Reads a second that are served; 0 does not limit.").Float64Var(&o.ReadRate)
	flag(cmd, "write-rate", "0", "Writes a second that are served; 0 does not limit.").Float64Var(&o.WriteRate)
	flag(cmd, "progress", "5s", "Time between the notices on a silent watch.").DurationVar(&o.Progress)
}

func (o *StoreOptions) check() []string {
	bad := bbcli.CheckAddress("--store", o.Listen)
	bad = append(bad, checkMin("--read-rate", o.ReadRate, 0)...)
	bad = append(bad, checkMin("--write-rate", o.WriteRate, 0)...)
	return append(bad, bbcli.CheckDuration("--progress", o.Progress)...)
}

// ListOptions configures the stand-in for the list of instances.
type ListOptions struct {
	Listen string
	Lag    time.Duration
}

func (o *ListOptions) flags(cmd *kingpin.CmdClause) {
	flag(cmd, "list", "127.0.0.1:2380", "Address of the list of instances.").StringVar(&o.Listen)
	flag(cmd, "list-lag", "0s", "How far the list is behind.").DurationVar(&o.Lag)
}

func (o *ListOptions) check() []string {
	return append(bbcli.CheckAddress("--list", o.Listen), checkMin("--list-lag", o.Lag.Seconds(), 0)...)
}

// PlatformOptions configures the stand-ins for the key-value service and for
// the list of instances, which the platform command serves together.
type PlatformOptions struct {
	Store StoreOptions
	List  ListOptions
}

func (o *PlatformOptions) flags(cmd *kingpin.CmdClause) {
	o.Store.flags(cmd)
	o.List.flags(cmd)
}

func (o *PlatformOptions) check() []string { return append(o.Store.check(), o.List.check()...) }

// EngineOptions configures the stand-in for a model engine.
type EngineOptions struct {
	Listen            string
	Model             string
	Slots             int
	Queue             int
	Interval          time.Duration // between tokens
	Prefill           time.Duration // per prompt token
	Answer            int           // tokens, unless the prompt has another number
	LoadLag           time.Duration
	EventLag          time.Duration
	DropEventEvery    int           // every n-th cache event is lost; 0 loses none
	Cache             int           // prompt prefixes
	Linger            time.Duration // for a stream without a reader
	RejectStaleOrders bool          // by fencing number
	CrashWord         string        // in a prompt; empty never crashes
}

func (o *EngineOptions) flags(cmd *kingpin.CmdClause) {
	flag(cmd, "listen", "127.0.0.1:8000", "Address of the engine.").StringVar(&o.Listen)
	flag(cmd, "model", "", "Only model that is served; empty serves any.").StringVar(&o.Model)
	flag(cmd, "slots", "8", "Requests that run at once.").IntVar(&o.Slots)
	flag(cmd, "queue", "16", "Requests that wait for a slot at most.").IntVar(&o.Queue)
	flag(cmd, "interval", "5ms", "Time between two tokens.").DurationVar(&o.Interval)
	flag(cmd, "prefill", "100us", "Time for each prompt token before the first answer token.").DurationVar(&o.Prefill)
	flag(cmd, "answer", "20", "Tokens of an answer whose prompt tells no other number.").IntVar(&o.Answer)
	flag(cmd, "load-lag", "0s", "How far the reported load is behind.").DurationVar(&o.LoadLag)
	flag(cmd, "event-lag", "1s", "How far the cache events are behind.").DurationVar(&o.EventLag)
	flag(cmd, "event-gap", "0", "Every n-th cache event is lost; 0 loses none.").IntVar(&o.DropEventEvery)
	flag(cmd, "cache", "64", "Prompts whose prefix is cached.").IntVar(&o.Cache)
	flag(cmd, "linger", "10s", "How long a stream without a reader goes on.").DurationVar(&o.Linger)
	flag(cmd, "fence", "", "Refuse orders with an old fencing number.").BoolVar(&o.RejectStaleOrders)
	flag(cmd, "crash", "", "Word in a prompt that crashes the engine; empty never does.").StringVar(&o.CrashWord)
}

func (o *EngineOptions) check() []string {
	bad := bbcli.CheckAddress("--listen", o.Listen)
	bad = append(bad, checkMin("--slots", float64(o.Slots), 1)...)
	bad = append(bad, checkMin("--queue", float64(o.Queue), 0)...)
	bad = append(bad, bbcli.CheckDuration("--interval", o.Interval)...)
	bad = append(bad, checkMin("--prefill", o.Prefill.Seconds(), 0)...)
	bad = append(bad, checkMin("--answer", float64(o.Answer), 1)...)
	bad = append(bad, checkMin("--load-lag", o.LoadLag.Seconds(), 0)...)
	bad = append(bad, checkMin("--event-lag", o.EventLag.Seconds(), 0)...)
	bad = append(bad, checkMin("--event-gap", float64(o.DropEventEvery), 0)...)
	bad = append(bad, checkMin("--cache", float64(o.Cache), 0)...)
	return append(bad, checkMin("--linger", o.Linger.Seconds(), 0)...)
}

// PlainOptions configures the stand-in for a plain service.
type PlainOptions struct {
	Listen string
	Slots  int
	Queue  int
	Delay  time.Duration
}

func (o *PlainOptions) flags(cmd *kingpin.CmdClause) {
	flag(cmd, "listen", "127.0.0.1:8100", "Address of the service.").StringVar(&o.Listen)
	flag(cmd, "slots", "32", "Requests that run at once.").IntVar(&o.Slots)
	flag(cmd, "queue", "64", "Requests that wait for a slot at most.").IntVar(&o.Queue)
	flag(cmd, "delay", "2ms", "Time that a request takes.").DurationVar(&o.Delay)
}

func (o *PlainOptions) check() []string {
	bad := bbcli.CheckAddress("--listen", o.Listen)
	bad = append(bad, checkMin("--slots", float64(o.Slots), 1)...)
	bad = append(bad, checkMin("--queue", float64(o.Queue), 0)...)
	return append(bad, checkMin("--delay", o.Delay.Seconds(), 0)...)
}

// checkMin returns a line if the flag's value is below minimum.
func checkMin(flag string, v, minimum float64) []string {
	if v < minimum {
		return []string{fmt.Sprintf("%s: must be %v at least, is %v", flag, minimum, v)}
	}
	return nil
}
