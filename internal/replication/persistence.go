package replication

import (
	"time"

	"google.golang.org/protobuf/proto"

	"corkcove/internal/rpc/meshpb"
)

// diskState is what a replica knows of its disk.
type diskState struct {
	// failed tells that the last write failed: this member votes and acknowledges
	// nothing until a checkpoint succeeds, which is tried again from retryAt on.
	failed  bool
	retryAt time.Duration
	// checkpointing tells that a checkpoint is under way.
	checkpointing bool
	// bytesSinceCheckpoint is the size of the records since then.
	bytesSinceCheckpoint int
	// outstanding are the times at which the records were written that aren't synced
	// yet, oldest first.
	outstanding []time.Duration
}

// restoreRecord takes in one record of the log at the start.
func (r *Replica) restoreRecord(data []byte, now time.Duration) error {
	var record meshpb.Record
	if err := proto.Unmarshal(data, &record); err != nil {
		return Error.Wrap(err)
	}
	if identity := record.GetIdentity(); identity != nil {
		r.self.Id, r.bootstrap = identity.Id, r.bootstrap || identity.Bootstrap
	}
	if membership := record.GetMembership(); membership != nil && (r.membership == nil || membership.Version > r.membership.Version) {
		r.membership = membership
		r.bootstrap = r.bootstrap && !contains(membership, r.self.Id)
	}
	if v := record.GetVote(); v != nil && r.hasShard(v) {
		r.shards[v.Shard].restoreVote(v)
	}
	if state := record.GetState(); state != nil && r.hasShard(state) {
		r.shards[state.Shard].restoreState(state, now)
	}
	if change := record.GetEpochChange(); change != nil && r.hasShard(change) {
		r.shards[change.Shard].restoreEpochChange(change, now)
	}
	if entry := record.GetEntry(); entry != nil && r.hasShard(entry) {
		r.shards[entry.Shard].restoreEntry(entry, now)
	}
	return nil
}

// hasShard tells whether there is a shard that message names.
func (r *Replica) hasShard(message interface{ GetShard() uint32 }) bool {
	return int(message.GetShard()) < len(r.shards)
}

func (s *shard) restoreVote(v *meshpb.Vote) {
	if v.Epoch >= s.vote.epoch {
		s.vote = vote{epoch: v.Epoch, candidate: v.Candidate}
	}
}

func (s *shard) restoreState(state *meshpb.ShardState, now time.Duration) {
	s.log.position = position{state.Epoch, state.Version}
	s.stateMachine.Restore(state, now, true)
	s.log.reset()
}

func (s *shard) restoreEpochChange(change *meshpb.EpochChange, now time.Duration) {
	if s.position() == (position{change.FromEpoch, change.FromVersion}) {
		s.changeEpoch(change, now)
	}
}

func (s *shard) restoreEntry(entry *meshpb.Entry, now time.Duration) {
	if entry.Epoch == s.log.epoch && entry.Version == s.log.version+1 {
		s.append(entry, now)
	}
}

func encodeRecord(record *meshpb.Record) []byte {
	data, err := proto.Marshal(record)
	if err != nil {
		panic(err)
	}
	return data
}

// persist writes a record. done is called once it is synced, or has failed.
func (r *Replica) persist(record *meshpb.Record, done func(error)) {
	data := encodeRecord(record)
	r.disk.bytesSinceCheckpoint += len(data)
	r.disk.outstanding = append(r.disk.outstanding, r.now())
	r.storage.Append(data, func(err error) {
		r.disk.outstanding = r.disk.outstanding[1:]
		if err != nil {
			r.recordDiskFailure(err)
		}
		done(err)
	})
	if r.disk.bytesSinceCheckpoint > r.options.CheckpointBytes && !r.disk.checkpointing && !r.disk.failed {
		r.checkpoint()
	}
}

// persistVote writes the shard's last vote.
func (r *Replica) persistVote(s *shard, done func(error)) {
	r.persist(&meshpb.Record{Vote: &meshpb.Vote{Shard: uint32(s.id), Epoch: s.vote.epoch, Candidate: s.vote.candidate}}, done)
}

// awaitPersisted calls done once all that was written so far is synced.
func (r *Replica) awaitPersisted(done func(error)) { r.storage.Append(nil, done) }

// diskStalled tells that a record has waited long for the disk. Where this member
// itself got no processor of late, the wait is no sign of the disk: a transfer
// would bring the load that it suffers from to the next member, and so on.
func (r *Replica) diskStalled() bool {
	now := r.now()
	return len(r.disk.outstanding) > 0 &&
		now-r.disk.outstanding[0] > r.options.diskStallTimeout() &&
		now-r.clock.lastLateTick > r.options.starvationWindow()
}

func (r *Replica) recordDiskFailure(err error) {
	if r.disk.failed {
		return
	}
	r.options.Log.Warn("failed to write to the log", "error", err)
	r.disk.failed = true
	r.disk.retryAt = r.now() + diskRetryInterval
}

// retryDisk tries a checkpoint on a disk that had failed.
func (r *Replica) retryDisk() {
	if r.disk.failed && !r.disk.checkpointing && r.now() >= r.disk.retryAt {
		r.checkpoint()
	}
}

// checkpoint writes all that this member holds in place of its log.
func (r *Replica) checkpoint() {
	r.disk.checkpointing = true
	r.disk.bytesSinceCheckpoint = 0
	var written []position
	for _, s := range r.shards {
		written = append(written, s.position())
	}
	r.storage.Checkpoint(r.snapshotRecords(), func(err error) { r.checkpointDone(written, err) })
}

func (r *Replica) checkpointDone(written []position, err error) {
	r.disk.checkpointing = false
	if err != nil {
		r.recordDiskFailure(err)
		r.disk.retryAt = r.now() + diskRetryInterval
		return
	}
	if r.disk.failed {
		r.options.Log.Info("log accepts writes again")
	}
	r.disk.failed = false
	for i, s := range r.shards {
		if s.log.epoch == written[i].epoch {
			s.log.recordSynced(written[i].version)
			r.advanceCommit(s)
		}
	}
}

// snapshotRecords are the records that hold all that this member does.
func (r *Replica) snapshotRecords() [][]byte {
	records := [][]byte{encodeRecord(&meshpb.Record{Identity: &meshpb.Identity{Id: r.self.Id, Bootstrap: r.bootstrap}})}
	if r.membership.Version > 0 {
		records = append(records, encodeRecord(&meshpb.Record{Membership: r.membership}))
	}
	for _, s := range r.shards {
		records = append(records, encodeRecord(&meshpb.Record{State: r.snapshot(s)}))
		if s.vote.epoch > 0 {
			v := &meshpb.Vote{Shard: uint32(s.id), Epoch: s.vote.epoch, Candidate: s.vote.candidate}
			records = append(records, encodeRecord(&meshpb.Record{Vote: v}))
		}
	}
	return records
}

// snapshot is the full state of the shard's replica.
func (r *Replica) snapshot(s *shard) *meshpb.ShardState {
	state := s.stateMachine.Snapshot(r.now())
	state.Shard, state.Epoch, state.Version = uint32(s.id), s.log.epoch, s.log.version
	return state
}

// install makes state the content of the replica at that epoch. done is called
// once it is synced, or has failed.
func (r *Replica) install(s *shard, state *meshpb.ShardState, epoch uint64, done func(error)) {
	s.stateMachine.Restore(state, r.now(), false)
	s.log.reset()
	s.log.epochEnds = []position{{state.Epoch, state.Version}}
	s.log.position, s.log.synced = position{epoch, state.Version}, 0
	stored := proto.Clone(state).(*meshpb.ShardState)
	stored.Shard, stored.Epoch = uint32(s.id), epoch
	r.persistContent(s, &meshpb.Record{State: stored}, done)
}

// changeEpoch takes the replica to another epoch. done is called once that is
// synced, or has failed.
func (r *Replica) changeEpoch(s *shard, change *meshpb.EpochChange, done func(error)) {
	s.changeEpoch(change, r.now())
	s.log.synced = 0
	r.persistContent(s, &meshpb.Record{EpochChange: change}, done)
}

// persistContent writes the record that brought the replica to where it is now.
func (r *Replica) persistContent(s *shard, record *meshpb.Record, done func(error)) {
	written := s.position()
	r.persist(record, func(err error) {
		if err == nil && s.log.epoch == written.epoch {
			s.log.recordSynced(written.version)
		}
		done(err)
	})
}
