package bbproxy

import (
	"context"
	"io"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protodesc"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/types/descriptorpb"
	"google.golang.org/protobuf/types/dynamicpb"

	"bluebellport.example/platform"
	"bluebellport.example/shared/bbstore"
	"bluebellport.example/shared/bbunit"
	"bluebellport.example/shared/bbwire"
)

// readStore is a store that runs a function before each read of the plan, counts the
// reads and the lists of evacuations, and can refuse these lists.
type readStore struct {
	*bbstore.Mem
	beforeRead   func()
	reads, lists atomic.Int64
	refusesLists atomic.Bool
}

func (s *readStore) Read(ctx context.Context, key string) (bbstore.Entry, bbstore.Revision, error) {
	if s.reads.Add(1); s.beforeRead != nil {
		s.beforeRead()
	}
	return s.Mem.Read(ctx, key)
}

func (s *readStore) List(ctx context.Context, prefix string) ([]bbstore.Entry, bbstore.Revision, error) {
	if bbplatform.IsEvacuation(prefix) {
		if s.lists.Add(1); s.refusesLists.Load() {
			return nil, 0, bbstore.ErrDown
		}
	}
	return s.Mem.List(ctx, prefix)
}

// newReadStore returns a store with a plan and a target.
func newReadStore(t *testing.T) *readStore {
	s := &readStore{Mem: bbstore.NewMem()}
	h := &harness{t: t, mem: s.Mem}
	h.startTarget(testTarget)
	h.declarePlan(1, 1000)
	return s
}

// TestReadOfThePlanSkipsNoEvacuation guards against an evacuation that is written between
// the list of the evacuations and the read of the plan, and lies before the revision from
// which the instance then polls.
func TestReadOfThePlanSkipsNoEvacuation(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	store := newReadStore(t)
	var written atomic.Bool
	store.beforeRead = func() {
		if written.CompareAndSwap(false, true) {
			evacuate(t, store.Mem, "uppsala", true)
		}
	}
	f, _ := startFollower(t, newFakeNetwork().newPeer("a", "d0"), store)
	await(t, "the evacuation is known", time.Second, func() bool { return f.board.isEvacuated("uppsala") })
	is.Equal(store.reads.Load(), int64(1)) // the plan is not read again
	is.Equal(store.lists.Load(), int64(1))
}

// TestNotReadyBeforeEvacuationsAreKnown guards against an instance that takes requests as
// it has the plan and the targets, but not what is evacuated.
func TestNotReadyBeforeEvacuationsAreKnown(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	store := newReadStore(t)
	evacuate(t, store.Mem, "uppsala", true)
	store.refusesLists.Store(true)
	f, _ := startFollower(t, newFakeNetwork().newPeer("a", "d0"), store)
	plan, err := store.Get(t.Context(), bbplatform.KeyPlan)
	is.NoErr(err)
	f.applyPlan(plan, wayPoll)
	await(t, "plan and targets are known", time.Second, func() bool { return f.board.Plan.Load() != nil && f.board.Services.Load() != nil })
	time.Sleep(300 * time.Millisecond)
	is.True(!f.board.Ready())
	store.refusesLists.Store(false)
	await(t, "it is ready", evacuationTimeout, f.board.Ready)
	is.True(f.board.isEvacuated("uppsala"))
}

// TestLostNewsOfAnEvacuationAreMadeUpFor guards against an instance that never learns of
// an evacuation, or of its end, as the only message about it is lost.
func TestLostNewsOfAnEvacuationAreMadeUpFor(t *testing.T) {
	t.Parallel()
	store, network := newReadStore(t), newFakeNetwork()
	a, _ := startFollower(t, network.newPeer("a", "d0"), store)
	b, _ := startFollower(t, network.newPeer("b", "d0"), store)
	await(t, "both are ready", 5*time.Second, func() bool { return a.board.Ready() && b.board.Ready() })
	await(t, "one watches", 3*time.Second, func() bool { return a.isWatcher() != b.isWatcher() })
	time.Sleep(planPollWait) // the poll of the other one ends
	for _, evacuated := range []bool{true, false} {
		network.setLoss(1)
		evacuate(t, store.Mem, "uppsala", evacuated)
		time.Sleep(100 * time.Millisecond)
		network.setLoss(0)
		await(t, "both know", 2*time.Second, func() bool {
			return a.board.isEvacuated("uppsala") == evacuated && b.board.isEvacuated("uppsala") == evacuated
		})
	}
}

// TestGapListsAllEvacuations guards against evacuations and removals that are missed as
// the store has discarded the changes since the last poll.
func TestGapListsAllEvacuations(t *testing.T) {
	t.Parallel()
	store := newReadStore(t)
	evacuate(t, store.Mem, "gavle", true)
	f, _ := startFollower(t, newFakeNetwork().newPeer("a", "d0"), store)
	await(t, "the first is known", time.Second, func() bool { return f.board.isEvacuated("gavle") })
	store.SetFaults(storeDown)
	time.Sleep(300 * time.Millisecond)
	store.SetFaults(storeUp)
	evacuate(t, store.Mem, "gavle", false)
	evacuate(t, store.Mem, "uppsala", true)
	store.Compact()
	await(t, "both changes are known", evacuationTimeout, func() bool { return f.board.isEvacuated("uppsala") && !f.board.isEvacuated("gavle") })
}

// TestPollStartsWhereEvacuationsAreKnown guards against a poll from a revision that peers
// have told for the plan only, and against a plan that is read again where it is known.
func TestPollStartsWhereEvacuationsAreKnown(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		seen, known, plan bbstore.Revision
		from              bbstore.Revision
		lists             int64
	}{
		"all is known":                   {seen: 5, known: 20, plan: 10, from: 10},
		"no plan lies between":           {seen: 5, known: 10, plan: 20, from: 10},
		"a known plan lies between":      {seen: 15, known: 10, plan: 20, from: 20, lists: 1},
		"nothing is known":               {seen: 5, plan: 20, from: 20, lists: 1},
		"the store has gone back since":  {seen: 5, known: 10, plan: bbstore.NewRevision(1, 20), from: bbstore.NewRevision(1, 20), lists: 1},
		"evacuations of the newer era":   {seen: 5, known: bbstore.NewRevision(1, 20), plan: 10, from: 10},
		"neither plan nor anything else": {},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			store := newReadStore(t)
			f := newFollower(store, &Board{}, quietLog(), time.Now, newTestWays())
			f.planSeen.Store(int64(c.seen))
			f.planCurrent.Store(int64(c.plan))
			if c.known > 0 {
				f.evacuations.ApplyList(nil, c.known)
			}
			from, err := f.catchUp(t.Context(), c.plan)
			is.NoErr(err)
			is.Equal(from, c.from)
			is.Equal(store.lists.Load(), c.lists)
			if c.lists == 0 {
				is.Equal(f.pollStart(), c.from)
			}
		})
	}
}

// TestEvacuationsBesideAnOlderBuild guards against an instance that never becomes ready,
// or skips evacuations, as the watcher of its failure domain and its other peers are of a
// build that does not know them.
func TestEvacuationsBesideAnOlderBuild(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	store := newReadStore(t)
	evacuate(t, store.Mem, "gavle", true)
	network := newFakeNetwork()
	older, newer := network.newPeer("a", "d0"), network.newPeer("b", "d0")
	if older.View().RankByLink(watchKey, "d0", 1)[0].ID != older.self.ID { // the older one watches
		older, newer = newer, older
	}
	tell := func() *bbwire.NewsTell { // a watcher's, whose plan is always current
		e, rev, err := store.Mem.Read(context.Background(), bbplatform.KeyPlan)
		is.NoErr(err)
		return &bbwire.NewsTell{Revision: int64(e.Rev), Looked: int64(rev), Watch: true}
	}
	older.Handle(&bbwire.Envelope{Body: &bbwire.Envelope_Newsask{}}, func(bbunit.InstanceID, *bbwire.Envelope) *bbwire.Envelope {
		return &bbwire.Envelope{Body: &bbwire.Envelope_Newstell{Newstell: tell()}}
	})
	store.refusesLists.Store(true) // until it has heard the watcher
	f, _ := startFollower(t, newer, store)
	time.AfterFunc(500*time.Millisecond, func() { store.refusesLists.Store(false) })
	watching := time.Now()
	for time.Since(watching) < 3*time.Second {
		is.NoErr(older.Send(newer.self.ID, &bbwire.Envelope{Body: &bbwire.Envelope_Newstell{Newstell: tell()}}))
		time.Sleep(100 * time.Millisecond)
	}
	is.True(!f.isWatcher())
	is.True(f.board.isEvacuated("gavle"))
	evacuate(t, store.Mem, "uppsala", true) // the older build does not tell it
	is.NoErr(older.Send(newer.self.ID, &bbwire.Envelope{Body: &bbwire.Envelope_Newstell{Newstell: tell()}}))
	await(t, "it is known once this instance watches", evacuationTimeout, func() bool { return f.board.isEvacuated("uppsala") })
}

// TestNewsAreReadableByTheBuildBefore guards against messages that the build before can't
// read, and against its messages being taken for news of evacuations.
func TestNewsAreReadableByTheBuildBefore(t *testing.T) {
	is := is.New(t)
	store := newReadStore(t)
	f := newFollower(store, &Board{}, quietLog(), time.Now, newTestWays())
	evacuate(t, store.Mem, "uppsala", true)
	is.NoErr(f.listEvacuations(t.Context()))
	tell := f.newsDigest()
	tell.Revision, tell.Looked, tell.Targets = 7, 8, []*bbwire.Kept{{Key: "servers/t1", Value: []byte("{}"), Revision: 3}}
	f.addEvacuations(tell, true)
	is.Equal(len(tell.Evacuations), 1)
	sent, err := proto.Marshal(tell)
	is.NoErr(err)

	before := dynamicpb.NewMessage(olderNewsTell(t))
	is.NoErr(proto.Unmarshal(sent, before))
	before.SetUnknown(nil)
	kept, err := proto.Marshal(before)
	is.NoErr(err)
	var got bbwire.NewsTell
	is.NoErr(proto.Unmarshal(kept, &got))
	tell.Evacuations, tell.EvacuationsDigest, tell.EvacuationsCurrent = nil, 0, 0
	is.True(proto.Equal(&got, tell)) // all that it knows has arrived

	changed, differs := f.hearEvacuations(&got)
	is.Equal(len(changed), 0)
	is.True(!differs) // nothing to ask for
	is.True(f.board.isEvacuated("uppsala"))
}

// olderNewsTell describes NewsTell without the fields of evacuations.
func olderNewsTell(t *testing.T) protoreflect.MessageDescriptor {
	file := protodesc.ToFileDescriptorProto(bbwire.File_wire_proto)
	for _, m := range file.GetMessageType() {
		if m.GetName() != "NewsTell" {
			continue
		}
		var fields []*descriptorpb.FieldDescriptorProto
		for _, field := range m.GetField() {
			if field.GetNumber() < 9 {
				fields = append(fields, field)
			}
		}
		m.Field = fields
	}
	built, err := protodesc.NewFile(file, nil)
	is.New(t).NoErr(err)
	return built.Messages().ByName("NewsTell")
}

// quietLog returns a log that writes nothing.
func quietLog() *logrus.Logger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}
