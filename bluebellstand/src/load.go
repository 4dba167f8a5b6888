package bbstand

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"sync"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/juju/errors"
	"github.com/sourcegraph/conc/pool"

	"bluebellport.example/shared/bbcli"
)

// LoadOptions configures the load generator.
type LoadOptions struct {
	Instances     []string // used round-robin, as by a load balancer
	Keys          []string
	Service       string
	Plain         string
	StreamedShare float64 // share of the chats
	PlainShare    float64 // share of all requests
	WriteShare    float64 // share of the requests to the plain service
	Rate          float64 // requests per second; 0 is limited by Concurrency alone
	Concurrency   int
	Duration      time.Duration
	Count         int
	Tokens        int
	Retries       int
	Timeout       time.Duration
	Seed          uint64
	Prefix        string
	Output        string
	Records       string
}

func (o *LoadOptions) flags(cmd *kingpin.CmdClause) {
	flag(cmd, "instance", "", "Address of an instance; may be repeated.").StringsVar(&o.Instances)
	flag(cmd, "key", "", "API key; may be repeated.").StringsVar(&o.Keys)
	flag(cmd, "service", "", "Service that chats go to.").StringVar(&o.Service)
	flag(cmd, "plain", "", "Plain service that other requests go to.").StringVar(&o.Plain)
	flag(cmd, "streamed", "0.5", "Share of the chats that are streamed.").Float64Var(&o.StreamedShare)
	flag(cmd, "plain-share", "0", "Share of the requests that go to the plain service.").Float64Var(&o.PlainShare)
	flag(cmd, "write-share", "0.5", "Share of those that are not idempotent.").Float64Var(&o.WriteShare)
	flag(cmd, "rate", "0", "Requests a second; 0 sends as fast as the concurrency allows.").Float64Var(&o.Rate)
	flag(cmd, "concurrency", "8", "Requests open at once at most.").IntVar(&o.Concurrency)
	flag(cmd, "duration", "10s", "How long requests are sent.").DurationVar(&o.Duration)
	flag(cmd, "count", "0", "Requests sent at most; 0 does not limit.").IntVar(&o.Count)
	flag(cmd, "tokens", "20", "Tokens of each answer.").IntVar(&o.Tokens)
	flag(cmd, "retries", "3", "How often a request is sent again to another instance.").IntVar(&o.Retries)
	flag(cmd, "timeout", "30s", "Longest wait for one answer.").DurationVar(&o.Timeout)
	flag(cmd, "seed", "1", "Seed of the choices.").Uint64Var(&o.Seed)
	flag(cmd, "prefix", "load", "How the names of the requests begin.").StringVar(&o.Prefix)
	flag(cmd, "output", "table", "Form of the report: table or json.").EnumVar(&o.Output, "table", "json")
	flag(cmd, "records", "", "File that gets one JSON line for each request; empty writes none.").StringVar(&o.Records)
}

func (o *LoadOptions) check() []string {
	var bad []string
	if len(o.Instances) == 0 {
		bad = append(bad, "--instance: needed")
	}
	for _, a := range o.Instances {
		bad = append(bad, bbcli.CheckAddress("--instance", a)...)
	}
	if len(o.Keys) == 0 {
		bad = append(bad, "--key: needed")
	}
	if o.Service == "" && o.PlainShare < 1 {
		bad = append(bad, "--service: needed while --plain-share is below 1")
	}
	if o.Plain == "" && o.PlainShare > 0 {
		bad = append(bad, "--plain: needed while --plain-share is above 0")
	}
	bad = append(bad, checkShare("--streamed", o.StreamedShare)...)
	bad = append(bad, checkShare("--plain-share", o.PlainShare)...)
	bad = append(bad, checkShare("--write-share", o.WriteShare)...)
	bad = append(bad, checkMin("--rate", o.Rate, 0)...)
	bad = append(bad, checkMin("--concurrency", float64(o.Concurrency), 1)...)
	bad = append(bad, bbcli.CheckDuration("--duration", o.Duration)...)
	bad = append(bad, checkMin("--count", float64(o.Count), 0)...)
	bad = append(bad, checkMin("--tokens", float64(o.Tokens), 1)...)
	bad = append(bad, checkMin("--retries", float64(o.Retries), 0)...)
	return append(bad, bbcli.CheckDuration("--timeout", o.Timeout)...)
}

// checkShare returns a line if the flag's value is not from 0 to 1.
func checkShare(flag string, v float64) []string {
	if v < 0 || v > 1 {
		return []string{fmt.Sprintf("%s: must be from 0 to 1, is %v", flag, v)}
	}
	return nil
}

func (o *LoadOptions) run(ctx context.Context, s streams) error {
	records := io.Discard
	if o.Records != "" {
		f, err := os.Create(o.Records)
		if err != nil {
			return errors.Annotate(err, "--records")
		}
		defer func() { _ = f.Close() }()
		records = f
	}
	var mu sync.Mutex
	report := NewLoadReport()
	enc := json.NewEncoder(records)
	GenerateLoad(ctx, *o, func(r LoadResult) {
		mu.Lock()
		defer mu.Unlock()
		report.Add(r)
		_ = enc.Encode(r)
	})
	if err := report.print(s.out, o.Output); err != nil {
		return err
	}
	if report.Wrong > 0 || report.Truncated > 0 {
		return errors.Errorf("%d answers were wrong and %d were cut", report.Wrong, report.Truncated)
	}
	return nil
}

// GenerateLoad sends requests until the duration has passed, the count is reached
// or ctx is done, and returns when all requests have ended. It calls onResult
// with the result of each request, concurrently.
func GenerateLoad(ctx context.Context, o LoadOptions, onResult func(LoadResult)) {
	sender, stop := newSender(o.Instances, o.Timeout)
	defer stop()
	rng := rand.New(rand.NewPCG(o.Seed, 0))
	workers := pool.New().WithMaxGoroutines(o.Concurrency)
	defer workers.Wait()
	start := time.Now()
	for n := 0; o.Count == 0 || n < o.Count; n++ {
		scheduledAt := time.Now()
		if o.Rate > 0 {
			scheduledAt = start.Add(time.Duration(float64(n) / o.Rate * float64(time.Second)))
		}
		if scheduledAt.Sub(start) >= o.Duration {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(scheduledAt)):
		}
		r := o.newRequest(n, rng)
		workers.Go(func() { onResult(sender.sendWithRetries(r, o.Retries, scheduledAt)) })
	}
}
