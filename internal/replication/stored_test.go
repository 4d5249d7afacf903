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

// update makes the tests write fixture directories that are missing. The committed
// directories are the reference: the previous release, the last one before RPC services,
// command-line flags and packages were renamed, wrote them, and they must never be
// regenerated. An existing directory is therefore an error.
var update = flag.Bool("update", false, "write missing fixture directories")

const (
	fixtureDirectory = "testdata/242832a"
	// tornBytes is how many bytes are cut off the end of a file to tear its last
	// record.
	tornBytes = 3
	// fixtureStart is the initial time of a replica that reads or writes a fixture.
	fixtureStart = time.Hour
)

// fixture is a data directory as left behind by the member at address. write writes
// it anew with the present code.
type fixture struct {
	name    string
	address string
	write   func(t *testing.T, dir string)
}

var fixtures = []fixture{
	{"member", "m0", writeMember},
	{"torn-segment", "m0", writeTornSegment},
	{"torn-snapshot", "m0", writeTornSnapshot},
	{"emptied-member", "m0", writeEmptiedMember},
	{"first-start", "m7", writeFirstStart},
	{"pending-membership", "m0", writePendingMembership},
}

// TestPreviousReleaseLogsAreRead guards against a release that misreads the logs of
// the previous one. It compares the records read from each directory, and the snapshot
// that a replica makes of them, with the text file next to the directory.
func TestPreviousReleaseLogsAreRead(t *testing.T) {
	for _, f := range fixtures {
		t.Run(f.name, func(t *testing.T) {
			dir := filepath.Join(fixtureDirectory, f.name)
			golden := dir + ".txt"
			if *update {
				qt.Assert(t, os.MkdirAll(fixtureDirectory, 0o755), qt.IsNil)
				qt.Assert(t, os.Mkdir(dir, 0o755), qt.IsNil, qt.Commentf("an existing fixture must not be written again"))
				f.write(t, dir)
				qt.Assert(t, os.WriteFile(golden, []byte(describeFixture(t, f)), 0o644), qt.IsNil)
			}
			want, err := os.ReadFile(golden)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, describeFixture(t, f), qt.Equals, string(want))
		})
	}
}

// TestWrittenLogsMatchPreviousRelease guards against a release whose logs the previous
// one cannot read. It requires the present code to write the same bytes as the
// directories hold.
func TestWrittenLogsMatchPreviousRelease(t *testing.T) {
	for _, f := range fixtures {
		t.Run(f.name, func(t *testing.T) {
			dir := t.TempDir()
			f.write(t, dir)
			qt.Assert(t, readFiles(t, dir), qt.DeepEquals, readFiles(t, filepath.Join(fixtureDirectory, f.name)))
		})
	}
}

// TestPreviousReleaseStateIsServed guards against stored fields that are read with
// another meaning. It queries a replica restored from the log for
// everything that was stored.
func TestPreviousReleaseStateIsServed(t *testing.T) {
	for _, name := range []string{"member", "torn-snapshot"} {
		t.Run(name, func(t *testing.T) {
			replica, _ := startFixture(t, fixture{name: name, address: "m0"})
			qt.Check(t, replica.Self().Id, qt.Equals, "founder-m0")
			qt.Check(t, replica.IsLearner(), qt.IsFalse)
			membership := replica.Membership()
			qt.Check(t, membership.Version, qt.Equals, uint64(3))
			qt.Check(t, membership.Size, qt.Equals, uint32(5))
			qt.Check(t, membership.Gaps, qt.DeepEquals, []uint32{4, 1})
			qt.Assert(t, membership.Members, qt.HasLen, 3)
			qt.Check(t, membership.Members[1].Id, qt.Equals, "founder-m1")
			qt.Check(t, membership.Members[1].Addr, qt.Equals, "m1")
			qt.Check(t, membership.Members[1].Control, qt.Equals, "m1-control")
			qt.Check(t, membership.Members[1].Zone, qt.Equals, "zone-m1")
			for shard, want := range []struct{ epoch, promised uint64 }{{6, 6}, {7, 7}, {9, 9}, {0, 4}} {
				qt.Check(t, replica.Epoch(shard), qt.Equals, want.epoch, qt.Commentf("shard %d", shard))
				qt.Check(t, replica.PromisedEpoch(shard), qt.Equals, want.promised, qt.Commentf("shard %d", shard))
			}
			for shard, want := range []uint64{18, 14, 3, 0} {
				qt.Check(t, replica.ShardStatuses()[shard].Version, qt.Equals, want, qt.Commentf("shard %d", shard))
			}
			checkStoredContent(t, replica.StateMachine(0).(*coordination.Table))
			checkEpochChanges(t, replica.StateMachine(1).(*coordination.Table))
		})
	}
}

// checkStoredContent checks the content of fullState after the changes of
// writeSecondProcess.
func checkStoredContent(t *testing.T, table *coordination.Table) {
	t.Helper()
	acquired := table.AcquireLock("lock", "other", time.Second, fixtureStart)
	qt.Check(t, acquired.Err, qt.Equals, coordination.ErrLockHeld)
	renewed := table.RenewLock("lock", "holder", 31, time.Second, fixtureStart+39*time.Second)
	qt.Check(t, renewed.Err, qt.IsNil)
	qt.Check(t, renewed.Result, qt.Equals, coordination.LockGrant{FencingToken: 31})
	renewed = table.RenewLock("lock", "holder", 31, time.Second, fixtureStart+40*time.Second)
	qt.Check(t, renewed.Err, qt.Equals, coordination.ErrLockLost)
	acquired = table.AcquireLock("freed", "other", time.Second, fixtureStart)
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
		qt.Check(t, table.HasAccepted(digestOf(version)), qt.Equals, want, qt.Commentf("version %d", version))
	}
	qt.Check(t, table.AcceptedFloor(), qt.Equals, uint64(49))
	pinned := table.PinSession(&meshpb.PinRequest{Key: "session", Allowed: []string{"service"}, Service: "service", Want: "another", Config: 1}, fixtureStart)
	qt.Check(t, pinned.Result.Endpoint, qt.Equals, "endpoint")
	pinned = table.PinSession(&meshpb.PinRequest{Key: "later session", Allowed: []string{"service"}, Service: "service", Want: "another", Config: 1}, fixtureStart)
	qt.Check(t, pinned.Result.Endpoint, qt.Equals, "later endpoint")
}

// checkEpochChanges checks the entries that came with epoch changes, and the accepted
// changes that an earlier release stored inside the configuration.
func checkEpochChanges(t *testing.T, table *coordination.Table) {
	t.Helper()
	qt.Check(t, table.Get("raised-first.cell").Result.Payload, qt.Equals, "by the first raise")
	qt.Check(t, table.Get("raised-second.cell").Result.Payload, qt.Equals, "by the second raise")
	qt.Check(t, table.Get("raised-third.cell").Result.Payload, qt.Equals, "after the raises")
	qt.Check(t, table.HasAccepted(digestOf(70)), qt.IsTrue)
	qt.Check(t, table.HasAccepted(digestOf(71)), qt.IsTrue)
	qt.Check(t, table.HasAccepted(digestOf(72)), qt.IsFalse)
}

// TestPreviousReleasePendingMembershipIsAdopted starts a member that stopped after
// a new membership was decided and before it was adopted. It guards against a change of
// the names of the blobs that store the membership and the number of members.
func TestPreviousReleasePendingMembershipIsAdopted(t *testing.T) {
	replica, clock := startFixture(t, fixture{name: "pending-membership", address: "m0"})
	qt.Assert(t, replica.Membership().Version, qt.Equals, uint64(1))
	tickUntil(t, replica, clock, func() bool { return replica.Membership().Version == 2 })
	want := &meshpb.Membership{Version: 2, Size: 3, Members: []*meshpb.Member{{Id: "founder-m0", Addr: "m0", Control: "m0-control", Zone: "zone-m0"}, {Id: "learner", Addr: "m5"}}}
	qt.Check(t, prototest.Text(replica.Membership()), qt.Equals, prototest.Text(want))
}

// describeFixture returns a text with the records of a directory, followed by those of
// the snapshot that a replica makes at startup, which hold everything it has read.
func describeFixture(t *testing.T, f fixture) string {
	t.Helper()
	var out strings.Builder
	describeRecords(t, &out, "read", readRecords(t, f.name))
	_, storage := newFixtureReplica(t, f.address, nil, false, readRecords(t, f.name), new(time.Duration))
	describeRecords(t, &out, "kept", storage.snapshot)
	return out.String()
}

// describeRecords appends the text of each record to out.
func describeRecords(t *testing.T, out *strings.Builder, title string, records [][]byte) {
	t.Helper()
	for i, data := range records {
		record := &meshpb.Record{}
		qt.Assert(t, proto.Unmarshal(data, record), qt.IsNil)
		fmt.Fprintf(out, "%s %d\n%s", title, i, prototest.Text(record))
	}
}

// readRecords returns the records of a fixture. It reads a copy of the directory, so
// that the original cannot be modified.
func readRecords(t *testing.T, name string) [][]byte {
	t.Helper()
	dir := t.TempDir()
	writeFiles(t, dir, readFiles(t, filepath.Join(fixtureDirectory, name)))
	log, records := openFixture(t, dir)
	log.Close()
	return records
}

func openFixture(t *testing.T, path string) (*wal.Log, [][]byte) {
	t.Helper()
	directory, err := wal.OpenDirectory(path)
	qt.Assert(t, err, qt.IsNil)
	log, records, err := wal.Open(directory)
	qt.Assert(t, err, qt.IsNil)
	return log, records
}

// readFiles returns the contents of the files in a directory by name.
func readFiles(t *testing.T, dir string) map[string]string {
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

func writeFiles(t *testing.T, dir string, files map[string]string) {
	t.Helper()
	for name, data := range files {
		qt.Assert(t, os.WriteFile(filepath.Join(dir, name), []byte(data), 0o644), qt.IsNil)
	}
}

// recordingStorage is a Storage that writes to a log, waits for each write, and keeps
// the last snapshot. Without a log every write succeeds.
type recordingStorage struct {
	log      *wal.Log
	snapshot [][]byte
}

func (s *recordingStorage) Append(record []byte, done func(error)) {
	s.writeAndWait(done, func(done func(error)) { s.log.Append(record, done) })
}

func (s *recordingStorage) Checkpoint(snapshot [][]byte, done func(error)) {
	s.snapshot = snapshot
	s.writeAndWait(done, func(done func(error)) { s.log.Checkpoint(snapshot, done) })
}

func (s *recordingStorage) writeAndWait(done func(error), write func(done func(error))) {
	if s.log == nil {
		done(nil)
		return
	}
	result := make(chan error, 1)
	write(func(err error) { result <- err })
	done(<-result)
}

// discardTransport is a Transport that sends nothing and never calls back.
type discardTransport struct{}

func (discardTransport) RenewLeases(*meshpb.Member, *meshpb.RenewLeasesRequest, func(*meshpb.RenewLeasesResponse)) {
}
func (discardTransport) Replicate(*meshpb.Member, *meshpb.ReplicateRequest, func(*meshpb.ReplicateResponse)) {
}
func (discardTransport) RequestVotes(*meshpb.Member, *meshpb.RequestVotesRequest, func(*meshpb.RequestVotesResponse)) {
}
func (discardTransport) TransferOwnership(*meshpb.Member, *meshpb.TransferOwnershipRequest, func(*meshpb.TransferOwnershipResponse)) {
}
func (discardTransport) AcceptMembership(*meshpb.Member, *meshpb.AcceptMembershipRequest, func(*meshpb.AcceptMembershipResponse)) {
}
func (discardTransport) Join(string, *meshpb.JoinRequest, func(*meshpb.JoinResponse)) {}

func fixtureSeed(addr string) *meshpb.Member {
	return &meshpb.Member{Addr: addr, Control: addr + "-control", Zone: "zone-" + addr}
}

func fixtureSeeds(addrs ...string) []*meshpb.Member {
	var out []*meshpb.Member
	for _, addr := range addrs {
		out = append(out, fixtureSeed(addr))
	}
	return out
}

func fixtureMember(addr string) *meshpb.Member {
	member := fixtureSeed(addr)
	member.Id = "founder-" + addr
	return member
}

// newFixtureReplica starts a replica that reads its time from clock, which the caller
// advances. Without seeds it has the seeds m0, m1 and m2.
func newFixtureReplica(t *testing.T, addr string, log *wal.Log, bootstrap bool, records [][]byte, clock *time.Duration, seeds ...string) (*replication.Replica, *recordingStorage) {
	t.Helper()
	if len(seeds) == 0 {
		seeds = []string{"m0", "m1", "m2"}
	}
	*clock = fixtureStart
	storage := &recordingStorage{log: log}
	replica, err := replication.New(replication.Options{
		Self: fixtureSeed(addr), Seeds: fixtureSeeds(seeds...), Bootstrap: bootstrap, Shards: simShards,
		LeaseDuration: 900 * time.Millisecond, HeartbeatInterval: 250 * time.Millisecond, RequestTimeout: 900 * time.Millisecond, EvictionTimeout: 2 * time.Second, CheckpointBytes: 1 << 20,
		NewStateMachine: func() replication.StateMachine { return coordination.NewTable(20 * time.Second) },
		NewID:           func() string { return "new-id" },
		Now:             func() time.Duration { return *clock },
		Rand:            func(int) int { return 0 },
	}, discardTransport{}, storage, records)
	qt.Assert(t, err, qt.IsNil)
	return replica, storage
}

// startFixture starts a replica from the records of a fixture, and returns its clock.
func startFixture(t *testing.T, f fixture) (*replication.Replica, *time.Duration) {
	t.Helper()
	clock := new(time.Duration)
	replica, _ := newFixtureReplica(t, f.address, nil, false, readRecords(t, f.name), clock)
	return replica, clock
}

// tickUntil ticks the replica every 50 ms of its time until reached returns true.
func tickUntil(t *testing.T, replica *replication.Replica, clock *time.Duration, reached func() bool) {
	t.Helper()
	for range 200 {
		if reached() {
			return
		}
		*clock += 50 * time.Millisecond
		replica.Tick()
	}
	t.Fatal("not reached within 200 ticks")
}

// runProcess starts a replica on a directory, calls run, and closes the log.
func runProcess(t *testing.T, dir, addr string, bootstrap bool, run func(replica *replication.Replica, clock *time.Duration), seeds ...string) {
	t.Helper()
	log, records := openFixture(t, dir)
	defer log.Close()
	clock := new(time.Duration)
	replica, _ := newFixtureReplica(t, addr, log, bootstrap, records, clock, seeds...)
	run(replica, clock)
}

func fixtureHeader(from, to string, membership uint64) *meshpb.SenderHeader {
	return &meshpb.SenderHeader{From: fixtureMember(from), To: to, Membership: membership, Healthy: true}
}

// replicateTo sends request to a replica, which must accept everything in it.
func replicateTo(t *testing.T, replica *replication.Replica, from string, request *meshpb.ReplicateRequest) {
	t.Helper()
	request.Header = fixtureHeader(from, replica.Self().Id, replica.Membership().Version)
	var response *meshpb.ReplicateResponse
	replica.HandleReplicate(request, func(r *meshpb.ReplicateResponse) { response = r })
	qt.Assert(t, response, qt.IsNotNil)
	qt.Assert(t, response.Acks, qt.Not(qt.HasLen), 0)
	for _, ack := range response.Acks {
		qt.Assert(t, ack.Gap, qt.IsFalse, qt.Commentf("shard %d", ack.Shard))
	}
}

// voteFor requests a vote for the candidate from, which the replica must grant.
func voteFor(t *testing.T, replica *replication.Replica, from string, shard uint32, epoch uint64) {
	t.Helper()
	var response *meshpb.RequestVotesResponse
	request := &meshpb.RequestVotesRequest{Header: fixtureHeader(from, replica.Self().Id, replica.Membership().Version), Votes: []*meshpb.VoteRequest{{Shard: shard, Epoch: epoch}}}
	replica.HandleRequestVotes(request, func(r *meshpb.RequestVotesResponse) { response = r })
	qt.Assert(t, response.GetReplies(), qt.HasLen, 1)
	qt.Assert(t, response.Replies[0].Granted, qt.IsTrue)
}

// sendMembership sends a newer membership to a replica, which must accept it.
func sendMembership(t *testing.T, replica *replication.Replica, membership *meshpb.Membership) {
	t.Helper()
	var response *meshpb.AcceptMembershipResponse
	replica.HandleAcceptMembership(&meshpb.AcceptMembershipRequest{Membership: membership, From: membership.Members[1]}, func(r *meshpb.AcceptMembershipResponse) { response = r })
	qt.Assert(t, response.GetOk(), qt.IsTrue)
}

func fixtureMembership(version uint64) *meshpb.Membership {
	return &meshpb.Membership{Version: version, Size: 5, Gaps: []uint32{4, 1},
		Members: []*meshpb.Member{fixtureMember("m0"), fixtureMember("m1"), fixtureMember("m2")}}
}

// digestOf returns the digest of the configuration change with that version.
func digestOf(version uint64) []byte {
	return bytes.Repeat([]byte{byte(version)}, coordination.DigestSize)
}

// legacyAcceptedChanges returns a configuration blob as an earlier release stored it,
// with the accepted changes inside.
func legacyAcceptedChanges(t *testing.T) []byte {
	t.Helper()
	data, err := proto.Marshal(&meshpb.LegacyAcceptedChanges{Accepted: []*meshpb.AcceptedChange{{Version: 70, Digest: digestOf(70)}, {Version: 71, Digest: digestOf(71)}}})
	qt.Assert(t, err, qt.IsNil)
	return data
}

// fullState returns a state with every kind of content.
func fullState(shard uint32, epoch, version uint64) *meshpb.ShardState {
	return &meshpb.ShardState{Shard: shard, Epoch: epoch, Version: version, LastFencingToken: 32,
		Locks:    []*meshpb.Lock{{Name: "lock", Owner: "holder", FencingToken: 31, TtlMs: 40000, AgeMs: 1500}, {Name: "freed", Owner: "holder", FencingToken: 32, TtlMs: 5000}},
		Counters: []*meshpb.Counter{{Name: "number", High: 128}},
		Groups: []*meshpb.KeyGroup{{Name: "group.", Revision: 21, Floor: 19,
			Puts:    []*meshpb.Put{{Name: "group.cell", Payload: "payload", Revision: 21}},
			History: []*meshpb.Put{{Name: "group.cell", Payload: "earlier", Revision: 20, AgeMs: 900}, {Name: "group.cell", Payload: "payload", Revision: 21, AgeMs: 800}}}},
		Blobs:            []*meshpb.Blob{{Name: "blob", Data: []byte("\x00\xffdata"), Version: 41}},
		Pins:             []*meshpb.Pin{{Key: "session", Service: "service", Endpoint: "endpoint", From: "before", Why: "why", AgeMs: 700, Config: 1, Moves: 2}},
		AcceptedVersions: []uint64{50, 51}, AcceptedDigests: append(digestOf(50), digestOf(51)...), AcceptedFloor: 49,
	}
}

// entriesOf returns one entry for each change, with the versions that follow after.
func entriesOf(shard uint32, epoch, after uint64, changes ...*meshpb.Change) []*meshpb.Entry {
	var out []*meshpb.Entry
	for i, change := range changes {
		out = append(out, &meshpb.Entry{Shard: shard, Epoch: epoch, Version: after + uint64(i) + 1, Change: change})
	}
	return out
}

// putOf returns a change that puts a cell. Each group in the fixtures has only one
// cell, since a snapshot lists the cells of a group in no fixed order.
func putOf(name, payload string, revision uint64) *meshpb.Change {
	return &meshpb.Change{Put: &meshpb.Put{Name: name, Payload: payload, Revision: revision}}
}

// writeMember writes a directory with all kinds of records, both in the snapshot that
// the second process makes at startup and in the segment after it.
func writeMember(t *testing.T, dir string) {
	writeFirstProcess(t, dir)
	writeSecondProcess(t, dir)
}

// writeFirstProcess writes what the second process finds at startup: a membership,
// states, an entry, an epoch change and a vote.
func writeFirstProcess(t *testing.T, dir string) {
	runProcess(t, dir, "m0", true, func(replica *replication.Replica, _ *time.Duration) {
		sendMembership(t, replica, fixtureMembership(2))
		replicateTo(t, replica, "m1", &meshpb.ReplicateRequest{States: []*meshpb.ShardState{fullState(0, 5, 10), {Shard: 1, Epoch: 5, Version: 10}}})
		replicateTo(t, replica, "m1", &meshpb.ReplicateRequest{Entries: entriesOf(1, 5, 10,
			&meshpb.Change{Blob: &meshpb.Blob{Name: coordination.ConfigBlob, Data: legacyAcceptedChanges(t), Version: 71}})})
		replicateTo(t, replica, "m1", &meshpb.ReplicateRequest{EpochChanges: []*meshpb.EpochChange{{Shard: 1, Epoch: 6, FromEpoch: 5, FromVersion: 11,
			Entries: entriesOf(1, 6, 11, putOf("raised-first.cell", "by the first raise", 1))}}})
		voteFor(t, replica, "m2", 2, 9)
	})
}

// writeSecondProcess continues in the directory of writeFirstProcess and writes every
// kind of change.
func writeSecondProcess(t *testing.T, dir string) {
	runProcess(t, dir, "m0", false, func(replica *replication.Replica, _ *time.Duration) {
		sendMembership(t, replica, fixtureMembership(3))
		replicateTo(t, replica, "m1", &meshpb.ReplicateRequest{Entries: entriesOf(0, 5, 10,
			&meshpb.Change{Lock: &meshpb.Lock{Name: "later lock", Owner: "later holder", FencingToken: 33, TtlMs: 30000}},
			&meshpb.Change{Lock: &meshpb.Lock{Name: "freed", Owner: "holder", FencingToken: 32, Free: true}},
			&meshpb.Change{Counter: &meshpb.Counter{Name: "later number", High: 64}},
			putOf("group.cell", "newer", 22),
			&meshpb.Change{Blob: &meshpb.Blob{Name: "blob", Data: []byte("\x00\xffdata 2"), Version: 42}},
			&meshpb.Change{Pin: &meshpb.Pin{Key: "later session", Service: "service", Endpoint: "later endpoint", From: "before", Why: "why", Config: 1, Moves: 1}},
			&meshpb.Change{Accepted: &meshpb.AcceptedChange{Version: 60, Digest: digestOf(60)}})})
		replicateTo(t, replica, "m2", &meshpb.ReplicateRequest{EpochChanges: []*meshpb.EpochChange{
			{Shard: 0, Epoch: 6, FromEpoch: 5, FromVersion: 17, Entries: entriesOf(0, 6, 17, &meshpb.Change{Accepted: &meshpb.AcceptedChange{Version: 61, Digest: digestOf(61)}})},
			{Shard: 1, Epoch: 7, FromEpoch: 6, FromVersion: 12, Entries: entriesOf(1, 7, 12, putOf("raised-second.cell", "by the second raise", 1))}},
			Entries: entriesOf(1, 7, 13, putOf("raised-third.cell", "after the raises", 1))})
		replicateTo(t, replica, "m2", &meshpb.ReplicateRequest{States: []*meshpb.ShardState{fullState(2, 9, 3)}})
		voteFor(t, replica, "m1", 3, 4)
	})
}

// writeTornSegment tears the last record of the segment, a vote.
func writeTornSegment(t *testing.T, dir string) {
	writeMember(t, dir)
	files := readFiles(t, dir)
	segment := files["segment-00000002"]
	writeFiles(t, dir, map[string]string{"segment-00000002": segment[:len(segment)-tornBytes]})
}

// writeTornSnapshot tears the second snapshot, so that the state must be read from the
// first one and the two segments after it.
func writeTornSnapshot(t *testing.T, dir string) {
	writeFirstProcess(t, dir)
	before := readFiles(t, dir)
	writeSecondProcess(t, dir)
	snapshot := readFiles(t, dir)["snapshot-00000002"]
	writeFiles(t, dir, before)
	writeFiles(t, dir, map[string]string{"snapshot-00000002": snapshot[:len(snapshot)-tornBytes]})
}

// writeEmptiedMember writes the directory of a member that lost its earlier one: it
// starts with a new id as a learner, and the others replicate to it.
func writeEmptiedMember(t *testing.T, dir string) {
	runProcess(t, dir, "m0", false, func(replica *replication.Replica, _ *time.Duration) {
		qt.Assert(t, replica.IsLearner(), qt.IsTrue)
		sendMembership(t, replica, fixtureMembership(3))
		replicateTo(t, replica, "m1", &meshpb.ReplicateRequest{States: []*meshpb.ShardState{fullState(0, 5, 10)}, Entries: entriesOf(0, 5, 10, putOf("group.cell", "newer", 22))})
		replicateTo(t, replica, "m2", &meshpb.ReplicateRequest{EpochChanges: []*meshpb.EpochChange{{Shard: 0, Epoch: 6, FromEpoch: 5, FromVersion: 11}}})
	})
}

// writeFirstStart writes the directory of a process that takes part in the first start
// of a cluster and is not a member yet.
func writeFirstStart(t *testing.T, dir string) {
	runProcess(t, dir, "m7", true, func(replica *replication.Replica, _ *time.Duration) {
		qt.Assert(t, replica.IsLearner(), qt.IsTrue)
	})
}

// writePendingMembership stops a single member once it has decided to admit a second
// one and before it adopts that membership.
func writePendingMembership(t *testing.T, dir string) {
	runProcess(t, dir, "m0", true, func(replica *replication.Replica, clock *time.Duration) {
		sizeStored := false
		tickUntil(t, replica, clock, func() bool {
			replica.Execute(0, func(replication.StateMachine, time.Duration) *meshpb.Change {
				return &meshpb.Change{Blob: &meshpb.Blob{Name: "places", Version: 3}}
			}, func(err error) { sizeStored = err == nil })
			return sizeStored
		})
		tickUntil(t, replica, clock, func() bool {
			replica.HandleJoin(&meshpb.JoinRequest{From: &meshpb.Member{Id: "learner", Addr: "m5"}, CaughtUp: 1})
			return replica.StateMachine(0).Blob("roll") != nil
		})
		qt.Assert(t, replica.Membership().Version, qt.Equals, uint64(1))
	}, "m0")
}
