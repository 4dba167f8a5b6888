package bbproxy

import (
	"context"
	"flag"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"bluebellport.example/shared/bbunit"
)

var (
	moneySeed      = flag.Uint64("money-seed", 1, "seed of the play of money in a large fleet")
	moneyInstances = flag.Int("money-instances", 84, "instances of that play")
	moneyStep      = flag.Duration("money-step", 250*time.Millisecond, "time between two restarts of that play")
)

const (
	moneyPerSecond = 300.0
	moneyPlayTime  = 10 * time.Second
	moneyAccounts  = 20
	// moneyAsked is about what all requests of a play ask for.
	moneyAsked bbunit.Tokens = 3_750_000
	// maxRefusedMoney bounds the requests of a window that are refused for money that
	// their account has, maxMoreCalls the calls to the store with restarts as a multiple
	// of those without.
	maxRefusedMoney = 0.01
	maxMoreCalls    = 1.5
	// maxHeldMoney is the quarter that may be held, and the fourth above which it is
	// given back.
	maxHeldMoney = 0.25 * 1.25
)

// finish gives back what the process has, as Proxy.Run does at its end.
func (p *moneyPeer) finish(end time.Time) {
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	p.shares.handOver(end)
	p.end()
	p.writer.Wait()
	p.shares.close(ctx)
}

// play plays a fleet, and restarts its instances if step is not 0. Each killEvery-th
// restart is a kill.
func (p *moneyPlay) play(step time.Duration, killEvery int) {
	var restarts sync.WaitGroup
	restarts.Go(func() {
		time.Sleep(2 * time.Second)
		for i, life := range p.all() {
			if step == 0 || time.Since(p.beginAt) > moneyPlayTime {
				return
			}
			restarts.Go(func() {
				if killEvery > 0 && i%killEvery == 0 {
					p.kill(life)
				} else {
					p.restart(life)
				}
			})
			time.Sleep(step)
		}
	})
	for range int(moneyPlayTime / time.Second) {
		p.load(moneyPerSecond, time.Second)
		p.mostHeld = max(p.mostHeld, p.held())
	}
	restarts.Wait()
	time.Sleep(3 * time.Second)
}

// stop ends all processes.
func (p *moneyPlay) stop() {
	for _, life := range p.all() {
		life.end()
	}
	time.Sleep(5 * time.Second)
}

// moneyCase is one way to play.
type moneyCase struct {
	balance          bbunit.Tokens // what the accounts last for, about
	step             time.Duration // between restarts, 0 for none
	killEvery        int           // which restarts are kills
	loss, lateWrites float64       // of messages, of writes
}

// playMoney plays a case in a time of its own and calls check at its end.
func playMoney(t *testing.T, c moneyCase, check func(is *is.I, p *moneyPlay)) {
	synctest.Test(t, func(t *testing.T) {
		p := newMoneyPlay(*moneySeed, *moneyInstances, moneyAccounts, c.balance)
		p.loss, p.lateWrites = c.loss, c.lateWrites
		p.play(c.step, c.killEvery)
		worst, refused, asked := p.worst()
		t.Logf("step %v, a kill each %d: refused %d of %d, worst 2 s %.4f, lost %.4f, held %.4f, %d calls, %v", c.step, c.killEvery, refused, asked, worst, p.lost(), p.mostHeld, p.calls.Load(), p.reasons)
		check(is.NewRelaxed(t), p)
		p.stop()
	})
}

// TestRestartsInSeriesRefuseNoMoney guards against requests that are refused for money
// that their account has while the instances of a large fleet are restarted.
func TestRestartsInSeriesRefuseNoMoney(t *testing.T) {
	quiet := int64(0)
	for _, c := range []moneyCase{
		{balance: moneyAsked},
		{balance: moneyAsked, step: *moneyStep},
		{balance: moneyAsked, step: *moneyStep, killEvery: 12, loss: 0.002},
	} {
		playMoney(t, c, func(is *is.I, p *moneyPlay) {
			worst, _, _ := p.worst()
			is.True(worst < maxRefusedMoney)
			is.True(p.leastLeft() >= 0)
			if c.killEvery == 0 {
				is.True(p.lost() <= 0) // what ended holders count as spent was spent
			}
			if c.step == 0 {
				quiet = p.calls.Load()
			}
			is.True(float64(p.calls.Load()) <= maxMoreCalls*float64(quiet))
		})
	}
}

// TestUnansweredWritesRefuseNoMoney guards against requests that are refused for money
// that their account has because the write of a home has no answer.
func TestUnansweredWritesRefuseNoMoney(t *testing.T) {
	quiet := int64(0)
	playMoney(t, moneyCase{balance: moneyAsked}, func(_ *is.I, p *moneyPlay) { quiet = p.calls.Load() })
	playMoney(t, moneyCase{balance: moneyAsked, step: *moneyStep, killEvery: 12, loss: 0.002, lateWrites: 0.002}, func(is *is.I, p *moneyPlay) {
		worst, _, _ := p.worst()
		is.True(worst < maxRefusedMoney)
		is.True(p.leastLeft() >= 0)
		is.True(float64(p.calls.Load()) <= maxMoreCalls*float64(quiet))
	})
}

// TestKillOfALargeFleetLosesAtMostWhatMayBeHeld guards against balances that lie unused
// at the instances of a large fleet, where a kill of all loses them.
func TestKillOfALargeFleetLosesAtMostWhatMayBeHeld(t *testing.T) {
	playMoney(t, moneyCase{balance: 8 * moneyAsked, step: *moneyStep}, func(is *is.I, p *moneyPlay) {
		is.True(p.mostHeld <= maxHeldMoney)
	})
}
