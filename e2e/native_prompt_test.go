package bbe2e

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"bluebellport.example/platform"
	bbplatformstand "bluebellport.example/platform/stand"
)

var (
	promptRows = flag.String("prompt-rows", "", "rows of TestNativeFleetRefusesACrashingPart to play, by words of their names; empty: the short ones")
	promptCalm = flag.Duration("prompt-calm", 4*time.Second, "how long only sound requests come before the crashing ones")
	promptSeed = flag.Uint64("prompt-seed", 1, "seed of its callers and kills")
)

const (
	// promptWarmUp is how long the instances find each other, promptStorm how long
	// crashing requests come beside the sound ones.
	promptWarmUp = 2 * time.Second
	promptStorm  = 12 * time.Second
	// promptContact is after how long an instance that runs has to know what the
	// fleet knows. More than maxLatePromptSends sends by such instances, later than
	// that after the fifth crash, break the platform's rule.
	promptContact      = 3 * time.Second
	maxLatePromptSends = 3
	promptRuleCrashes  = 5
	// minServedShare is the least share of the sound requests served from
	// 2 x promptContact after the fifth crash, of the share before.
	minServedShare  = 0.9
	promptDownTime  = 3 * time.Second
	promptPause     = 20 * time.Millisecond // of a target before each event
	promptDeadline  = 3 * time.Second
	promptSessions  = 120
	promptKillShare = 0.25
	massInterval    = 4 * time.Second
	// promptRepeats is how often a caller sends a request again that failed.
	promptRepeats     = 2
	promptRepeatDelay = 150 * time.Millisecond
)

// promptRow is a play of requests of which some have a part that crashes targets.
type promptRow struct {
	name                       string
	instanceCount, targetCount int
	sound, crashing            float64 // requests a second
	path                       string  // of all requests
	unframed, byClose          bool
	position                   int // of the culprit: 0 first, 1 in the middle, 2 before the last
	culprits                   int
	ownEnds                    bool // a target ends by itself each second
	massCrashes                bool // half of the targets end at once, each massInterval
	kills                      bool
	fillers                    int  // parts of each request that no other has
	odd                        bool // sound requests have lists that name a culprit without harm
	short                      bool // runs without flags
}

// promptTable returns the rows. The first words of a name are those that a user
// selects it by.
func promptTable() []promptRow {
	base := promptRow{instanceCount: 8, targetCount: 16, sound: 40, crashing: 8, path: "/draft/", position: 1, culprits: 1}
	row := func(name string, change func(r *promptRow)) promptRow {
		r := base
		r.name = name
		change(&r)
		return r
	}
	return []promptRow{
		row("middle", func(r *promptRow) { r.short, r.odd = true, true }),
		row("first", func(r *promptRow) { r.position = 0 }),
		row("before-last", func(r *promptRow) { r.position = 2 }),
		row("unframed-close", func(r *promptRow) { r.short, r.unframed, r.byClose = true, true, true }),
		row("unframed-reset", func(r *promptRow) { r.unframed = true }),
		row("framed-close", func(r *promptRow) { r.byClose = true }),
		row("plain", func(r *promptRow) { r.path = "/press/" }),
		row("plain-unframed-close", func(r *promptRow) { r.path, r.unframed, r.byClose = "/press/", true, true }),
		row("once", func(r *promptRow) { r.path = "/book/" }),
		row("two", func(r *promptRow) { r.culprits = 2 }),
		row("own-ends", func(r *promptRow) { r.crashing, r.ownEnds = 2, true }),
		row("own-ends-unframed-close", func(r *promptRow) { r.crashing, r.ownEnds, r.unframed, r.byClose = 2, true, true, true }),
		row("kills", func(r *promptRow) { r.kills = true }),
		row("long-lists", func(r *promptRow) { r.fillers, r.position = 100, 2 }),
		row("long-lists-unframed-close", func(r *promptRow) { r.fillers, r.position, r.unframed, r.byClose = 100, 2, true, true }),
		row("mass-crashes", func(r *promptRow) { r.crashing, r.massCrashes = 0, true }),
		row("mass-crashes-unframed-close", func(r *promptRow) { r.crashing, r.massCrashes, r.unframed, r.byClose = 0, true, true, true }),
		row("seldom", func(r *promptRow) { r.crashing = 0.7 }),
		row("busy", func(r *promptRow) { r.sound, r.crashing = 200, 20 }),
		row("fleet-30", func(r *promptRow) { r.instanceCount, r.targetCount = 30, 40 }),
		row("fleet-30-first-unframed-close-kills", func(r *promptRow) {
			r.instanceCount, r.targetCount, r.position, r.unframed, r.byClose, r.kills = 30, 40, 0, true, true, true
		}),
		row("fleet-84", func(r *promptRow) { r.instanceCount, r.targetCount = 84, 94 }),
		row("fleet-84-unframed-close", func(r *promptRow) { r.instanceCount, r.targetCount, r.unframed, r.byClose = 84, 94, true, true }),
	}
}

// selectedPromptRows returns the rows that the flags select.
func selectedPromptRows() []promptRow {
	var out []promptRow
	for _, r := range promptTable() {
		for _, name := range strings.Split(*promptRows, ",") {
			if name == r.name || name == "all" || name == "" && r.short {
				out = append(out, r)
			}
		}
	}
	return out
}

// culpritPart returns the name of a part that crashes targets.
func culpritPart(i int) string { return fmt.Sprintf("c%07d", i) }

// newPromptPlay starts the processes of a row.
func newPromptPlay(t *testing.T, row promptRow) *promptPlay {
	p := &promptPlay{nativeFleet: newNativeStore(t), promptRow: row, rng: rand.New(rand.NewPCG(*promptSeed, 0)), sent: map[string]promptSend{}, up: map[*nativeInstance][]upSpan{}}
	plan := strings.NewReplacer(`"version":1`, `"version":2`, `"prepaid":30000`, `"prepaid":1000000000`,
		`"max-attempts":1}`, `"max-attempts":3,"resumable":true}`, `"max-attempts":2}`, `"max-attempts":3}`).Replace(nativePlan)
	old, err := p.memStore.Get(t.Context(), bbplatform.KeyPlan)
	is.New(t).NoErr(err)
	_, err = p.memStore.CAS(t.Context(), bbplatform.KeyPlan, []byte(plan), old.Rev, 0)
	is.New(t).NoErr(err)
	service := map[string]string{"/draft/": "llm", "/book/": "desk", "/press/": "press"}[row.path]
	o := bbplatformstand.TargetOptions{
		Service: service, Engine: service == "llm", EventCount: nativeEventCount, Pause: promptPause, DropBodies: true,
		Unframed: row.unframed, CrashByClose: row.byClose, RestartAfter: promptDownTime,
	}
	for i := range row.culprits {
		o.CrashParts = append(o.CrashParts, culpritPart(i))
	}
	for i := range row.targetCount {
		o.ID, o.Domain = fmt.Sprint(service, "-", i), fmt.Sprint("domain-", i%3)
		p.startTarget(o)
	}
	domains := make([]string, row.instanceCount)
	for i := range domains {
		domains[i] = fmt.Sprint("domain-", i%3)
	}
	p.startInstances(domains...)
	for _, inst := range p.instances {
		p.up[inst] = []upSpan{{from: time.Now()}}
	}
	return p
}

// TestNativeFleetRefusesACrashingPart guards against requests that share a part of
// their prompts going on to crash targets, and against refusing sound requests that
// share everything else with them.
func TestNativeFleetRefusesACrashingPart(t *testing.T) {
	stop := make(chan struct{})
	t.Cleanup(func() { close(stop) })
	rows := selectedPromptRows()
	if *promptRows != "" { // long rows, one after the other
		for _, row := range rows {
			t.Run(row.name, func(t *testing.T) {
				p := newPromptPlay(t, row)
				go p.heartbeats(stop)
				p.play()
				p.check(t)
			})
		}
		return
	}
	var plays []*promptPlay
	for _, row := range rows {
		plays = append(plays, newPromptPlay(t, row))
		go plays[len(plays)-1].heartbeats(stop)
	}
	var wg sync.WaitGroup
	for _, p := range plays {
		wg.Go(p.play)
	}
	wg.Wait()
	for _, p := range plays {
		t.Run(p.name, p.check)
	}
}

// check reports what was counted, and fails the test where it breaks a bound.
func (p *promptPlay) check(t *testing.T) {
	is := is.New(t)
	sum := p.count()
	t.Logf("%s, seed %d: %s", p.name, *promptSeed, sum)
	t.Logf("in calm, %s", p.inCalm)
	t.Logf("in the storm, %s", p.inStorm)
	is.Equal(sum.refused, 0) // sound requests refused by verdict
	if p.crashing == 0 {
		return
	}
	is.True(sum.crashes >= 3)
	is.True(sum.before.sent >= 20)
	is.True(sum.after.sent >= 20)
	is.True(sum.late <= maxLatePromptSends)
	is.True(sum.after.share() >= minServedShare*sum.before.share())
}

// statusRefusedByVerdict is the part of an answer's text that shows that the request
// was refused for crashes of targets.
const statusRefusedByVerdict = "have crashed"

// isServed reports whether a target's whole answer to the attempt came.
func (p *promptPlay) isServed(status int, text, attempt string) bool {
	if p.path == "/draft/" {
		return status == http.StatusOK && strings.Contains(text, fmt.Sprintf("data: token %d\n\n", nativeEventCount))
	}
	return status == http.StatusOK && text == "ran "+attempt
}
