package bbproxy

import (
	"context"
	"fmt"
	"io"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"bluebellport.example/shared/bbmember"
	"bluebellport.example/shared/bbplan"
	"bluebellport.example/shared/bbshare"
	"bluebellport.example/shared/bbstore"
	"bluebellport.example/shared/bbunit"
)

// moneyPlay is a large fleet whose instances serve requests of several prepaid
// accounts while they are restarted one after another.
type moneyPlay struct {
	mem        *bbstore.Mem
	plan       *bbplan.Plan
	accounts   []*bbplan.Account
	calls      atomic.Int64
	lateWrites float64 // probability that a write gets no answer
	loss       float64 // probability that a message to a peer is lost
	beginAt    time.Time
	mostHeld   float64 // of held, looked at once a second
	fleet      int64   // how many instances each of them counts
	// cut reports whether an instance of a failure domain does not reach the store, or an
	// instance of another failure domain if to is not empty. It may be nil.
	cut func(from, to bbunit.DomainID) bool

	mu      sync.Mutex // guards the rest
	random  *rand.Rand
	peers   map[bbunit.InstanceID]*moneyPeer
	lives   bbunit.Incarnation
	used    map[bbunit.AccountID]bbunit.Tokens // by requests that ran
	running map[bbunit.AccountID]bbunit.Tokens // reserved by requests that run
	windows map[int]*moneyWindow
	reasons map[string]int
}

// moneyWindow counts the requests of moneyWindowLength.
type moneyWindow struct{ asked, refused int }

const moneyWindowLength = 2 * time.Second

// newMoneyPlay returns a fleet in four failure domains. The demand of the k-th account
// is proportional to 1/k, its balance lasts for the play two times.
func newMoneyPlay(seed uint64, instances, accounts int, asked bbunit.Tokens) *moneyPlay {
	p := &moneyPlay{
		mem: bbstore.NewMem(), plan: &bbplan.Plan{Accounts: map[bbunit.AccountID]*bbplan.Account{}}, random: rand.New(rand.NewPCG(seed, 0)), beginAt: time.Now(), fleet: 84,
		peers: map[bbunit.InstanceID]*moneyPeer{}, used: map[bbunit.AccountID]bbunit.Tokens{}, running: map[bbunit.AccountID]bbunit.Tokens{}, windows: map[int]*moneyWindow{}, reasons: map[string]int{},
	}
	sum := 0.0
	for k := range accounts {
		sum += 1 / float64(k+1)
	}
	for k := range accounts {
		id := bbunit.AccountID(fmt.Sprint("account-", k))
		a := &bbplan.Account{ID: id, Prepaid: true, Paid: bbunit.Tokens(2*float64(asked)/float64(k+1)/sum) + 100_000}
		p.plan.Accounts[id] = a
		p.accounts = append(p.accounts, a)
	}
	for i := range instances {
		p.start(bbunit.InstanceID(fmt.Sprint("i", i)), bbunit.DomainID(fmt.Sprint("d", i%4)), 0)
	}
	return p
}

// isCut reports whether two failure domains, or one and the store, are cut off from each
// other now.
func (p *moneyPlay) isCut(from, to bbunit.DomainID) bool { return p.cut != nil && p.cut(from, to) }

// chance returns a random number below 1.
func (p *moneyPlay) chance() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.random.Float64()
}

// between returns a random time in [least, most).
func (p *moneyPlay) between(least, most time.Duration) time.Duration {
	return least + time.Duration(p.chance()*float64(most-least))
}

func (p *moneyPlay) peer(id bbunit.InstanceID) *moneyPeer {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.peers[id]
}

func (p *moneyPlay) all() []*moneyPeer {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []*moneyPeer
	for _, id := range slices.Sorted(maps.Keys(p.peers)) {
		out = append(out, p.peers[id])
	}
	return out
}

// start starts an instance. It reads its plan after planDelay.
func (p *moneyPlay) start(id bbunit.InstanceID, domain bbunit.DomainID, planDelay time.Duration) {
	p.mu.Lock()
	p.lives++
	life := &moneyPeer{play: p, self: bbmember.Member{ID: id, Domain: domain, Inc: p.lives}, known: map[bbunit.InstanceID]bbmember.Member{}, board: &Board{}}
	life.ctx, life.end = context.WithCancel(context.Background())
	p.peers[id] = life
	p.mu.Unlock()
	for _, other := range p.all() {
		if other.ctx.Err() == nil {
			life.known[other.self.ID] = other.self
			time.AfterFunc(p.between(50*time.Millisecond, 400*time.Millisecond), func() {
				if now := other.self; other.leaves.Load() {
					now.Leaving = true
					life.learn(now.ID, &now)
				}
			})
		}
	}
	life.learn(id, &life.self)
	log := logrus.New()
	log.SetOutput(io.Discard)
	life.shares = newShareController(&moneyStore{p, life.ctx, domain}, life.board, log, func() time.Time { return time.Now() }, bbshare.NewHolderID(id, id, fmt.Sprint(life.self.Inc)))
	life.shares.loans = newPeerLoans(life.shares, life)
	life.board.Instances.Store(p.fleet)
	p.tell(life.self, &life.self, 50*time.Millisecond, 400*time.Millisecond)
	life.writer.Go(func() {
		time.Sleep(planDelay)
		life.board.Plan.Store(p.plan)
		life.shares.readAll(life.ctx)
		life.shares.run(life.ctx)
	})
}

// tell tells the living the state of a member, each after a time of its own.
func (p *moneyPlay) tell(member bbmember.Member, state *bbmember.Member, least, most time.Duration) {
	if state != nil {
		copied := *state
		state = &copied
	}
	for _, other := range p.all() {
		if other.self.ID == member.ID {
			continue
		}
		delay := p.between(least, most)
		go func() {
			time.Sleep(delay)
			if now := p.peer(member.ID); state != nil || now == nil || now.self.Inc == member.Inc {
				other.learn(member.ID, state)
			}
		}()
	}
}

// restart stops an instance as the proxy does, and starts it again.
func (p *moneyPlay) restart(life *moneyPeer) {
	life.leaves.Store(true)
	leaving := life.self
	leaving.Leaving = true
	life.learn(leaving.ID, &leaving)
	p.tell(life.self, &leaving, 50*time.Millisecond, 400*time.Millisecond)
	life.board.Leaving.Store(true)
	life.shares.drain()
	end := time.Now().Add(8 * time.Second)
	time.Sleep(3 * time.Second)
	for life.open.Load() > 0 && time.Now().Before(end) {
		time.Sleep(10 * time.Millisecond)
	}
	life.finish(end)
	life.end()
	p.tell(life.self, nil, time.Second, 2*time.Second)
	time.Sleep(p.between(300*time.Millisecond, time.Second))
	p.start(life.self.ID, life.self.Domain, p.between(200*time.Millisecond, 1500*time.Millisecond))
}

// kill ends a process without a stop, and starts the instance again.
func (p *moneyPlay) kill(life *moneyPeer) {
	life.end()
	p.tell(life.self, nil, time.Second, 2*time.Second)
	time.Sleep(3 * time.Second)
	p.start(life.self.ID, life.self.Domain, p.between(200*time.Millisecond, 1500*time.Millisecond))
}

// reachable returns what is free of an account and what the living have at hand.
func (p *moneyPlay) reachable(a *bbplan.Account) bbunit.Tokens {
	e, err := p.mem.Get(context.Background(), sharesPrefix+string(a.ID))
	if err != nil {
		return 0
	}
	row, _ := bbshare.ParseRow(e.Value)
	sum := a.Paid - row.TotalGranted()
	for _, life := range p.all() {
		if life.ctx.Err() == nil {
			sum += max(life.shares.balance(a.ID).Available(), 0)
		}
	}
	return sum
}

// request sends one request to an instance that is ready.
func (p *moneyPlay) request(life *moneyPeer, a *bbplan.Account, n, used bbunit.Tokens, takes time.Duration) {
	defer life.open.Add(-1)
	window := p.count()
	balance, refusal := life.shares.reserve(a, n, time.Now().Add(8*time.Second), nil)
	if life.ctx.Err() != nil {
		return
	}
	if refusal != nil {
		if p.reachable(a) >= n {
			p.mu.Lock()
			window.refused++
			p.reasons[fmt.Sprint(refusal.Reason, " / ", refusal.LogFields["ended"], " / ", life.leaves.Load())]++
			p.mu.Unlock()
		}
		return
	}
	p.run(life, a, balance, n, used, takes)
}

// count counts a request of the present window.
func (p *moneyPlay) count() *moneyWindow {
	p.mu.Lock()
	defer p.mu.Unlock()
	i := int(time.Since(p.beginAt) / moneyWindowLength)
	if p.windows[i] == nil {
		p.windows[i] = &moneyWindow{}
	}
	p.windows[i].asked++
	return p.windows[i]
}

// run lets a target run a request. One whose instance is killed costs all of it.
func (p *moneyPlay) run(life *moneyPeer, a *bbplan.Account, balance *bbshare.Balance, n, used bbunit.Tokens, takes time.Duration) {
	p.mu.Lock()
	p.running[a.ID] += n
	p.mu.Unlock()
	time.Sleep(takes)
	killed := life.ctx.Err() != nil
	if killed {
		used = n
	}
	p.mu.Lock()
	p.running[a.ID] -= n
	p.used[a.ID] += used
	p.mu.Unlock()
	if !killed {
		life.shares.settle(a, balance, n, used, bbshare.DeliveredWhole)
	}
}

// load sends requests until the time ends: perSecond to all instances together.
func (p *moneyPlay) load(perSecond float64, length time.Duration) {
	for end := time.Now().Add(length); time.Now().Before(end); {
		time.Sleep(time.Duration(-math.Log(1-p.chance()) / perSecond * float64(time.Second)))
		ready := slices.DeleteFunc(p.all(), func(l *moneyPeer) bool {
			return l.ctx.Err() != nil || l.board.Plan.Load() == nil || l.board.Leaving.Load() && p.chance() > 0.02
		})
		life := ready[int(p.chance()*float64(len(ready)))]
		k := min(int(math.Pow(float64(len(p.accounts)+1), p.chance())), len(p.accounts)) - 1
		n := bbunit.Tokens(400 * math.Exp(p.chance()*3))
		used, takes := bbunit.Tokens(float64(n)*(0.3+0.7*p.chance())), p.between(50*time.Millisecond, 2*time.Second)
		life.open.Add(1)
		go p.request(life, p.accounts[k], n, used, takes)
	}
}

// lost returns what no row and no living instance has, though nothing was run for it,
// as a part of what all accounts paid. It looks several times, as a loan is nowhere
// while its message is on its way.
func (p *moneyPlay) lost() float64 {
	least := 1.0
	for range 20 {
		var lost, paid bbunit.Tokens
		for _, a := range p.accounts {
			paid += a.Paid
			reachable := p.reachable(a)
			p.mu.Lock()
			lost += a.Paid - reachable - p.used[a.ID] - p.running[a.ID]
			p.mu.Unlock()
		}
		least = min(least, float64(lost)/float64(paid))
		time.Sleep(7 * time.Millisecond)
	}
	return least
}

// worst returns the largest part of requests that were refused in a window.
func (p *moneyPlay) worst() (worst float64, refused, asked int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, w := range p.windows {
		if float64(w.asked) < moneyPerSecond {
			continue // the last one is not whole
		}
		worst = max(worst, float64(w.refused)/float64(w.asked))
		refused += w.refused
		asked += w.asked
	}
	return worst, refused, asked
}

// leastLeft returns the least that an account has left of what it paid, by what was
// run.
func (p *moneyPlay) leastLeft() bbunit.Tokens {
	p.mu.Lock()
	defer p.mu.Unlock()
	least := p.accounts[0].Paid
	for _, a := range p.accounts {
		least = min(least, a.Paid-p.used[a.ID]-p.running[a.ID])
	}
	return least
}

// held returns what the living have at hand, as a part of what all accounts have left:
// a kill of all loses it.
func (p *moneyPlay) held() float64 {
	var held, left bbunit.Tokens
	for _, a := range p.accounts {
		for _, life := range p.all() {
			if life.ctx.Err() == nil {
				held += max(life.shares.balance(a.ID).Available(), 0)
			}
		}
		left += p.reachable(a)
	}
	return float64(held) / float64(left)
}
