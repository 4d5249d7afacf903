package replication_test

import (
	"bytes"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"corkcove/internal/coordination"
	"corkcove/internal/prototest"
	"corkcove/internal/replication"
	"corkcove/internal/rpc/meshpb"
	"corkcove/internal/wal"
)

// update writes the fixtures of this package that are missing. The committed
// files are the reference: they were written by the code of commit 242832a and
// must never be regenerated, so a folder that exists is refused.
var update = flag.Bool("update", false, "write missing fixture folders")

const (
	storedDir = "testdata/242832a"
	// tornBytes are cut from the end of a file to tear its last record.
	tornBytes = 3
	// storedStart is the clock of a board that reads or writes a folder.
	storedStart = time.Hour
)

// storedFolder is a data folder as a member leaves it.
type storedFolder struct {
	name  string
	addr  string
	write func(t *testing.T, dir string)
}

var storedFolders = []storedFolder{
	{"member", "m0", writeMember},
	{"torn-segment", "m0", writeTornSegment},
	{"torn-snapshot", "m0", writeTornSnapshot},
	{"emptied-member", "m0", writeEmptied},
	{"first-start", "m7", writeFirstStart},
	{"pending-membership", "m0", writePendingMembership},
}

// TestStoredLogsOf242832aAreRead compares all records that are read from each
// folder, and all that a board makes of them, to the text beside the folder.
func TestStoredLogsOf242832aAreRead(t *testing.T) {
	for _, folder := range storedFolders {
		t.Run(folder.name, func(t *testing.T) {
			dir := filepath.Join(storedDir, folder.name)
			golden := dir + ".txt"
			if *update {
				qt.Assert(t, os.MkdirAll(storedDir, 0o755), qt.IsNil)
				qt.Assert(t, os.Mkdir(dir, 0o755), qt.IsNil, qt.Commentf("committed fixtures are never written again"))
				folder.write(t, dir)
				qt.Assert(t, os.WriteFile(golden, []byte(describeStored(t, folder)), 0o644), qt.IsNil)
			}
			want, err := os.ReadFile(golden)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, describeStored(t, folder), qt.Equals, string(want))
		})
	}
}

// TestWrittenLogsAreThoseOf242832a does by present code what wrote the folders:
// an earlier release must be able to read what this one leaves.
func TestWrittenLogsAreThoseOf242832a(t *testing.T) {
	for _, folder := range storedFolders {
		t.Run(folder.name, func(t *testing.T) {
			dir := t.TempDir()
			folder.write(t, dir)
			qt.Assert(t, storedFiles(t, dir), qt.DeepEquals, storedFiles(t, filepath.Join(storedDir, folder.name)))
		})
	}
}

// TestStoredStateOf242832aAnswersCallers asks a board that has read the log for
// what was stored, so that each field is read for what it meant.
func TestStoredStateOf242832aAnswersCallers(t *testing.T) {
	for _, name := range []string{"member", "torn-snapshot"} {
		t.Run(name, func(t *testing.T) {
			board, _ := startStored(t, storedFolder{name: name, addr: "m0"})
			qt.Check(t, board.Self().Id, qt.Equals, "founder-m0")
			qt.Check(t, board.IsLearner(), qt.IsFalse)
			members := board.Membership()
			qt.Check(t, members.Version, qt.Equals, uint64(3))
			qt.Check(t, members.Size, qt.Equals, uint32(5))
			qt.Check(t, members.Gaps, qt.DeepEquals, []uint32{4, 1})
			qt.Assert(t, members.Members, qt.HasLen, 3)
			qt.Check(t, members.Members[1].Id, qt.Equals, "founder-m1")
			qt.Check(t, members.Members[1].Addr, qt.Equals, "m1")
			qt.Check(t, members.Members[1].Control, qt.Equals, "m1-control")
			qt.Check(t, members.Members[1].Zone, qt.Equals, "zone-m1")
			for shard, want := range []struct{ epoch, promised uint64 }{{6, 6}, {7, 7}, {9, 9}, {0, 4}} {
				qt.Check(t, board.Epoch(shard), qt.Equals, want.epoch, qt.Commentf("shard %d", shard))
				qt.Check(t, board.PromisedEpoch(shard), qt.Equals, want.promised, qt.Commentf("shard %d", shard))
			}
			for shard, want := range []uint64{18, 14, 3, 0} {
				qt.Check(t, board.ShardStatuses()[shard].Version, qt.Equals, want, qt.Commentf("shard %d", shard))
			}
			checkStoredTable(t, board.StateMachine(0).(*coordination.Table))
			checkRaised(t, board.StateMachine(1).(*coordination.Table))
		})
	}
}

func checkStoredTable(t *testing.T, table *coordination.Table) {
	t.Helper()
	acquired := table.AcquireLock("lock", "other", time.Second, storedStart)
	qt.Check(t, acquired.Err, qt.Equals, coordination.ErrLockHeld)
	renewed := table.RenewLock("lock", "holder", 31, time.Second, storedStart+39*time.Second)
	qt.Check(t, renewed.Err, qt.IsNil)
	qt.Check(t, renewed.Result, qt.Equals, coordination.LockGrant{FencingToken: 31})
	renewed = table.RenewLock("lock", "holder", 31, time.Second, storedStart+40*time.Second)
	qt.Check(t, renewed.Err, qt.Equals, coordination.ErrLockLost)
	acquired = table.AcquireLock("freed", "other", time.Second, storedStart)
	qt.Check(t, acquired.Err, qt.IsNil)
	qt.Check(t, acquired.Result, qt.Equals, coordination.LockGrant{FencingToken: 34})
	qt.Check(t, table.NextNumber("number").Result, qt.Equals, uint64(129))
	qt.Check(t, table.NextNumber("later number").Result, qt.Equals, uint64(65))
	qt.Check(t, table.Get("group.cell"), qt.Equals, coordination.Decision[coordination.Cell]{Result: coordination.Cell{Payload: "newer", Revision: 22}})
	events := table.EventsSince("group.", 20).Result
	qt.Check(t, events.Revision, qt.Equals, uint64(22))
	qt.Assert(t, events.Events, qt.HasLen, 2)
	qt.Check(t, events.Events[0].Payload, qt.Equals, "payload")
	qt.Check(t, table.EventsSince("group.", 18).Err, qt.Equals, coordination.ErrCompacted)
	qt.Check(t, string(table.Blob("blob").Data), qt.Equals, "\x00\xffdata 2")
	qt.Check(t, table.Blob("blob").Version, qt.Equals, uint64(42))
	for version, want := range map[uint64]bool{50: true, 51: true, 60: true, 61: true, 62: false} {
		qt.Check(t, table.HasAccepted(orderSum(version)), qt.Equals, want, qt.Commentf("order %d", version))
	}
	qt.Check(t, table.AcceptedFloor(), qt.Equals, uint64(49))
	pinned := table.PinSession(&meshpb.PinRequest{Key: "session", Allowed: []string{"service"}, Service: "service", Want: "another", Config: 1}, storedStart)
	qt.Check(t, pinned.Result.Endpoint, qt.Equals, "endpoint")
	pinned = table.PinSession(&meshpb.PinRequest{Key: "later session", Allowed: []string{"service"}, Service: "service", Want: "another", Config: 1}, storedStart)
	qt.Check(t, pinned.Result.Endpoint, qt.Equals, "later endpoint")
}

// checkRaised asks for what raises brought, and for the orders that an earlier
// release kept inside the configuration.
func checkRaised(t *testing.T, table *coordination.Table) {
	t.Helper()
	qt.Check(t, table.Get("raised-first.cell").Result.Payload, qt.Equals, "by the first raise")
	qt.Check(t, table.Get("raised-second.cell").Result.Payload, qt.Equals, "by the second raise")
	qt.Check(t, table.Get("raised-third.cell").Result.Payload, qt.Equals, "after the raises")
	qt.Check(t, table.HasAccepted(orderSum(70)), qt.IsTrue)
	qt.Check(t, table.HasAccepted(orderSum(71)), qt.IsTrue)
	qt.Check(t, table.HasAccepted(orderSum(72)), qt.IsFalse)
}

// TestStoredMembershipOf242832aIsAdopted starts a member that stopped after a
// new membership was agreed upon and before it was adopted. The membership, and
// the number of places, are found in blobs by their stored names.
func TestStoredMembershipOf242832aIsAdopted(t *testing.T) {
	board, clock := startStored(t, storedFolder{name: "pending-membership", addr: "m0"})
	qt.Assert(t, board.Membership().Version, qt.Equals, uint64(1))
	tickUntil(t, board, clock, func() bool { return board.Membership().Version == 2 })
	want := &meshpb.Membership{Version: 2, Size: 3, Members: []*meshpb.Member{{Id: "founder-m0", Addr: "m0", Control: "m0-control", Zone: "zone-m0"}, {Id: "learner", Addr: "m5"}}}
	qt.Check(t, prototest.Text(board.Membership()), qt.Equals, prototest.Text(want))
}

// describeStored writes the records of a folder, and then those of the snapshot
// that a board makes at its start, which hold all that it has read.
func describeStored(t *testing.T, folder storedFolder) string {
	t.Helper()
	var out strings.Builder
	describeRecords(t, &out, "read", readRecords(t, folder.name))
	_, book := newStoredBoard(t, folder.addr, nil, false, readRecords(t, folder.name), new(time.Duration))
	describeRecords(t, &out, "kept", book.snapshot)
	return out.String()
}

func describeRecords(t *testing.T, out *strings.Builder, title string, records [][]byte) {
	t.Helper()
	for i, data := range records {
		record := &meshpb.Record{}
		qt.Assert(t, proto.Unmarshal(data, record), qt.IsNil)
		fmt.Fprintf(out, "%s %d\n%s", title, i, prototest.Text(record))
	}
}

// readRecords reads a copy of a folder, so that nothing can change the folder.
func readRecords(t *testing.T, name string) [][]byte {
	t.Helper()
	dir := t.TempDir()
	writeStoredFiles(t, dir, storedFiles(t, filepath.Join(storedDir, name)))
	book, records := openStored(t, dir)
	book.Close()
	return records
}

func openStored(t *testing.T, dir string) (*wal.Log, [][]byte) {
	t.Helper()
	disk, err := wal.OpenDirectory(dir)
	qt.Assert(t, err, qt.IsNil)
	book, records, err := wal.Open(disk)
	qt.Assert(t, err, qt.IsNil)
	return book, records
}

func storedFiles(t *testing.T, dir string) map[string]string {
	t.Helper()
	entries, err := os.ReadDir(dir)
	qt.Assert(t, err, qt.IsNil)
	files := map[string]string{}
	for _, entry := range entries {
		data, err := os.ReadFile(filepath.Join(dir, entry.Name()))
		qt.Assert(t, err, qt.IsNil)
		files[entry.Name()] = string(data)
	}
	return files
}

func writeStoredFiles(t *testing.T, dir string, files map[string]string) {
	t.Helper()
	for name, data := range files {
		qt.Assert(t, os.WriteFile(filepath.Join(dir, name), []byte(data), 0o644), qt.IsNil)
	}
}

// storedBook passes on what a board keeps, one record at a time, and remembers
// the last snapshot. Without a book beneath it takes all.
type storedBook struct {
	below    *wal.Log
	snapshot [][]byte
}

func (b *storedBook) Append(record []byte, done func(error)) {
	b.wait(done, func(done func(error)) { b.below.Append(record, done) })
}

func (b *storedBook) Checkpoint(page [][]byte, done func(error)) {
	b.snapshot = page
	b.wait(done, func(done func(error)) { b.below.Checkpoint(page, done) })
}

func (b *storedBook) wait(done func(error), write func(done func(error))) {
	if b.below == nil {
		done(nil)
		return
	}
	result := make(chan error, 1)
	write(func(err error) { result <- err })
	done(<-result)
}

// silentWire sends nothing.
type silentWire struct{}

func (silentWire) RenewLeases(*meshpb.Member, *meshpb.RenewLeasesRequest, func(*meshpb.RenewLeasesResponse)) {
}
func (silentWire) Replicate(*meshpb.Member, *meshpb.ReplicateRequest, func(*meshpb.ReplicateResponse)) {
}
func (silentWire) RequestVotes(*meshpb.Member, *meshpb.RequestVotesRequest, func(*meshpb.RequestVotesResponse)) {
}
func (silentWire) TransferOwnership(*meshpb.Member, *meshpb.TransferOwnershipRequest, func(*meshpb.TransferOwnershipResponse)) {
}
func (silentWire) AcceptMembership(*meshpb.Member, *meshpb.AcceptMembershipRequest, func(*meshpb.AcceptMembershipResponse)) {
}
func (silentWire) Join(string, *meshpb.JoinRequest, func(*meshpb.JoinResponse)) {}

func storedSeed(addr string) *meshpb.Member {
	return &meshpb.Member{Addr: addr, Control: addr + "-control", Zone: "zone-" + addr}
}

func storedSeeds(addrs ...string) []*meshpb.Member {
	var out []*meshpb.Member
	for _, addr := range addrs {
		out = append(out, storedSeed(addr))
	}
	return out
}

func storedMember(addr string) *meshpb.Member {
	member := storedSeed(addr)
	member.Id = "founder-" + addr
	return member
}

// newStoredBoard starts a board on a clock that the caller moves.
func newStoredBoard(t *testing.T, addr string, below *wal.Log, first bool, records [][]byte, clock *time.Duration, seeds ...string) (*replication.Replica, *storedBook) {
	t.Helper()
	if len(seeds) == 0 {
		seeds = []string{"m0", "m1", "m2"}
	}
	*clock = storedStart
	book := &storedBook{below: below}
	board, err := replication.New(replication.Options{
		Self: storedSeed(addr), Seeds: storedSeeds(seeds...), Bootstrap: first, Shards: simShards,
		LeaseDuration: 900 * time.Millisecond, HeartbeatInterval: 250 * time.Millisecond, RequestTimeout: 900 * time.Millisecond, EvictionTimeout: 2 * time.Second, CheckpointBytes: 1 << 20,
		NewStateMachine: func() replication.StateMachine { return coordination.NewTable(20 * time.Second) },
		NewID:           func() string { return "new-id" },
		Now:             func() time.Duration { return *clock },
		Rand:            func(int) int { return 0 },
	}, silentWire{}, book, records)
	qt.Assert(t, err, qt.IsNil)
	return board, book
}

// startStored starts a board from a committed folder.
func startStored(t *testing.T, folder storedFolder) (*replication.Replica, *time.Duration) {
	t.Helper()
	clock := new(time.Duration)
	board, _ := newStoredBoard(t, folder.addr, nil, false, readRecords(t, folder.name), clock)
	return board, clock
}

func tickUntil(t *testing.T, board *replication.Replica, clock *time.Duration, reached func() bool) {
	t.Helper()
	for range 200 {
		if reached() {
			return
		}
		*clock += 50 * time.Millisecond
		board.Tick()
	}
	t.Fatal("not reached within 200 ticks")
}

// life runs a board on a folder from one start to the next.
func life(t *testing.T, dir, addr string, first bool, run func(board *replication.Replica, clock *time.Duration), seeds ...string) {
	t.Helper()
	book, records := openStored(t, dir)
	defer book.Close()
	clock := new(time.Duration)
	board, _ := newStoredBoard(t, addr, book, first, records, clock, seeds...)
	run(board, clock)
}

func storedHead(from, to string, membership uint64) *meshpb.SenderHeader {
	return &meshpb.SenderHeader{From: storedMember(from), To: to, Membership: membership, Healthy: true}
}

// copyTo sends a copy to a board, which must take all that is in it.
func copyTo(t *testing.T, board *replication.Replica, from string, request *meshpb.ReplicateRequest) {
	t.Helper()
	request.Header = storedHead(from, board.Self().Id, board.Membership().Version)
	var answer *meshpb.ReplicateResponse
	board.HandleReplicate(request, func(r *meshpb.ReplicateResponse) { answer = r })
	qt.Assert(t, answer, qt.IsNotNil)
	qt.Assert(t, answer.Acks, qt.Not(qt.HasLen), 0)
	for _, ack := range answer.Acks {
		qt.Assert(t, ack.Gap, qt.IsFalse, qt.Commentf("shard %d", ack.Shard))
	}
}

func promiseTo(t *testing.T, board *replication.Replica, from string, shard uint32, epoch uint64) {
	t.Helper()
	var answer *meshpb.RequestVotesResponse
	request := &meshpb.RequestVotesRequest{Header: storedHead(from, board.Self().Id, board.Membership().Version), Votes: []*meshpb.VoteRequest{{Shard: shard, Epoch: epoch}}}
	board.HandleRequestVotes(request, func(r *meshpb.RequestVotesResponse) { answer = r })
	qt.Assert(t, answer.GetReplies(), qt.HasLen, 1)
	qt.Assert(t, answer.Replies[0].Granted, qt.IsTrue)
}

func enrollAt(t *testing.T, board *replication.Replica, membership *meshpb.Membership) {
	t.Helper()
	var answer *meshpb.AcceptMembershipResponse
	board.HandleAcceptMembership(&meshpb.AcceptMembershipRequest{Membership: membership, From: membership.Members[1]}, func(r *meshpb.AcceptMembershipResponse) { answer = r })
	qt.Assert(t, answer.GetOk(), qt.IsTrue)
}

func storedMembership(version uint64) *meshpb.Membership {
	return &meshpb.Membership{Version: version, Size: 5, Gaps: []uint32{4, 1},
		Members: []*meshpb.Member{storedMember("m0"), storedMember("m1"), storedMember("m2")}}
}

// orderSum is the sum of the order that made a version.
func orderSum(version uint64) []byte {
	return bytes.Repeat([]byte{byte(version)}, coordination.DigestSize)
}

// ordersWithin is a configuration as an earlier release stored it.
func ordersWithin(t *testing.T) []byte {
	t.Helper()
	data, err := proto.Marshal(&meshpb.LegacyAcceptedChanges{Accepted: []*meshpb.AcceptedChange{{Version: 70, Digest: orderSum(70)}, {Version: 71, Digest: orderSum(71)}}})
	qt.Assert(t, err, qt.IsNil)
	return data
}

// wholeState has each kind of content.
func wholeState(shard uint32, epoch, version uint64) *meshpb.ShardState {
	return &meshpb.ShardState{Shard: shard, Epoch: epoch, Version: version, LastFencingToken: 32,
		Locks:    []*meshpb.Lock{{Name: "lock", Owner: "holder", FencingToken: 31, TtlMs: 40000, AgeMs: 1500}, {Name: "freed", Owner: "holder", FencingToken: 32, TtlMs: 5000}},
		Counters: []*meshpb.Counter{{Name: "number", High: 128}},
		Groups: []*meshpb.KeyGroup{{Name: "group.", Revision: 21, Floor: 19,
			Puts:    []*meshpb.Put{{Name: "group.cell", Payload: "payload", Revision: 21}},
			History: []*meshpb.Put{{Name: "group.cell", Payload: "earlier", Revision: 20, AgeMs: 900}, {Name: "group.cell", Payload: "payload", Revision: 21, AgeMs: 800}}}},
		Blobs:            []*meshpb.Blob{{Name: "blob", Data: []byte("\x00\xffdata"), Version: 41}},
		Pins:             []*meshpb.Pin{{Key: "session", Service: "service", Endpoint: "endpoint", From: "before", Why: "why", AgeMs: 700, Config: 1, Moves: 2}},
		AcceptedVersions: []uint64{50, 51}, AcceptedDigests: append(orderSum(50), orderSum(51)...), AcceptedFloor: 49,
	}
}

func entriesOf(shard uint32, epoch, after uint64, changes ...*meshpb.Change) []*meshpb.Entry {
	var out []*meshpb.Entry
	for i, change := range changes {
		out = append(out, &meshpb.Entry{Shard: shard, Epoch: epoch, Version: after + uint64(i) + 1, Change: change})
	}
	return out
}

// putOf puts a cell. The fixtures have one cell in each group, since a dump gives
// the cells of a group in no fixed order.
func putOf(name, payload string, revision uint64) *meshpb.Change {
	return &meshpb.Change{Put: &meshpb.Put{Name: name, Payload: payload, Revision: revision}}
}

// writeMember leaves a folder with all kinds of records, in the snapshot, which
// the second start makes, and in the segment after it.
func writeMember(t *testing.T, dir string) {
	writeFirstLife(t, dir)
	writeSecondLife(t, dir)
}

func writeFirstLife(t *testing.T, dir string) {
	life(t, dir, "m0", true, func(board *replication.Replica, _ *time.Duration) {
		enrollAt(t, board, storedMembership(2))
		copyTo(t, board, "m1", &meshpb.ReplicateRequest{States: []*meshpb.ShardState{wholeState(0, 5, 10), {Shard: 1, Epoch: 5, Version: 10}}})
		copyTo(t, board, "m1", &meshpb.ReplicateRequest{Entries: entriesOf(1, 5, 10,
			&meshpb.Change{Blob: &meshpb.Blob{Name: coordination.ConfigBlob, Data: ordersWithin(t), Version: 71}})})
		copyTo(t, board, "m1", &meshpb.ReplicateRequest{EpochChanges: []*meshpb.EpochChange{{Shard: 1, Epoch: 6, FromEpoch: 5, FromVersion: 11,
			Entries: entriesOf(1, 6, 11, putOf("raised-first.cell", "by the first raise", 1))}}})
		promiseTo(t, board, "m2", 2, 9)
	})
}

func writeSecondLife(t *testing.T, dir string) {
	life(t, dir, "m0", false, func(board *replication.Replica, _ *time.Duration) {
		enrollAt(t, board, storedMembership(3))
		copyTo(t, board, "m1", &meshpb.ReplicateRequest{Entries: entriesOf(0, 5, 10,
			&meshpb.Change{Lock: &meshpb.Lock{Name: "later lock", Owner: "later holder", FencingToken: 33, TtlMs: 30000}},
			&meshpb.Change{Lock: &meshpb.Lock{Name: "freed", Owner: "holder", FencingToken: 32, Free: true}},
			&meshpb.Change{Counter: &meshpb.Counter{Name: "later number", High: 64}},
			putOf("group.cell", "newer", 22),
			&meshpb.Change{Blob: &meshpb.Blob{Name: "blob", Data: []byte("\x00\xffdata 2"), Version: 42}},
			&meshpb.Change{Pin: &meshpb.Pin{Key: "later session", Service: "service", Endpoint: "later endpoint", From: "before", Why: "why", Config: 1, Moves: 1}},
			&meshpb.Change{Accepted: &meshpb.AcceptedChange{Version: 60, Digest: orderSum(60)}})})
		copyTo(t, board, "m2", &meshpb.ReplicateRequest{EpochChanges: []*meshpb.EpochChange{
			{Shard: 0, Epoch: 6, FromEpoch: 5, FromVersion: 17, Entries: entriesOf(0, 6, 17, &meshpb.Change{Accepted: &meshpb.AcceptedChange{Version: 61, Digest: orderSum(61)}})},
			{Shard: 1, Epoch: 7, FromEpoch: 6, FromVersion: 12, Entries: entriesOf(1, 7, 12, putOf("raised-second.cell", "by the second raise", 1))}},
			Entries: entriesOf(1, 7, 13, putOf("raised-third.cell", "after the raises", 1))})
		copyTo(t, board, "m2", &meshpb.ReplicateRequest{States: []*meshpb.ShardState{wholeState(2, 9, 3)}})
		promiseTo(t, board, "m1", 3, 4)
	})
}

// writeTornSegment tears the promise that ends the segment.
func writeTornSegment(t *testing.T, dir string) {
	writeMember(t, dir)
	files := storedFiles(t, dir)
	segment := files["segment-00000002"]
	writeStoredFiles(t, dir, map[string]string{"segment-00000002": segment[:len(segment)-tornBytes]})
}

// writeTornSnapshot leaves two segments behind the last whole snapshot.
func writeTornSnapshot(t *testing.T, dir string) {
	writeFirstLife(t, dir)
	old := storedFiles(t, dir)
	writeSecondLife(t, dir)
	snapshot := storedFiles(t, dir)["snapshot-00000002"]
	writeStoredFiles(t, dir, old)
	writeStoredFiles(t, dir, map[string]string{"snapshot-00000002": snapshot[:len(snapshot)-tornBytes]})
}

// writeEmptied is a member whose folder was lost: it starts under another id,
// outside the membership, and learns from the others.
func writeEmptied(t *testing.T, dir string) {
	life(t, dir, "m0", false, func(board *replication.Replica, _ *time.Duration) {
		qt.Assert(t, board.IsLearner(), qt.IsTrue)
		enrollAt(t, board, storedMembership(3))
		copyTo(t, board, "m1", &meshpb.ReplicateRequest{States: []*meshpb.ShardState{wholeState(0, 5, 10)}, Entries: entriesOf(0, 5, 10, putOf("group.cell", "newer", 22))})
		copyTo(t, board, "m2", &meshpb.ReplicateRequest{EpochChanges: []*meshpb.EpochChange{{Shard: 0, Epoch: 6, FromEpoch: 5, FromVersion: 11}}})
	})
}

// writeFirstStart is a process of the first start that was no member yet.
func writeFirstStart(t *testing.T, dir string) {
	life(t, dir, "m7", true, func(board *replication.Replica, _ *time.Duration) {
		qt.Assert(t, board.IsLearner(), qt.IsTrue)
	})
}

// writePendingMembership ends a lone member once it has agreed to a second one.
func writePendingMembership(t *testing.T, dir string) {
	life(t, dir, "m0", true, func(board *replication.Replica, clock *time.Duration) {
		places := false
		tickUntil(t, board, clock, func() bool {
			board.Execute(0, func(replication.StateMachine, time.Duration) *meshpb.Change {
				return &meshpb.Change{Blob: &meshpb.Blob{Name: "places", Version: 3}}
			}, func(err error) { places = err == nil })
			return places
		})
		tickUntil(t, board, clock, func() bool {
			board.HandleJoin(&meshpb.JoinRequest{From: &meshpb.Member{Id: "learner", Addr: "m5"}, CaughtUp: 1})
			return board.StateMachine(0).Blob("roll") != nil
		})
		qt.Assert(t, board.Membership().Version, qt.Equals, uint64(1))
	}, "m0")
}
