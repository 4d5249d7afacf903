package replication

import (
	"time"

	"google.golang.org/protobuf/proto"

	"corkcove/internal/rpc/meshpb"
)

// diskState is the state of a replica's writes to disk.
type diskState struct {
	// failed is set when a write fails. This member then gives no votes and
	// acknowledges nothing until a checkpoint succeeds. retryAt is the earliest time
	// of the next attempt.
	failed  bool
	retryAt time.Duration
	// checkpointing is set while a checkpoint is in progress.
	checkpointing bool
	// bytesSinceCheckpoint is the size of the records written since the last checkpoint
	// began.
	bytesSinceCheckpoint int
	// unsyncedSince are the times at which the records that are not synced yet were
	// written, oldest first.
	unsyncedSince []time.Duration
}

// restoreRecord applies one record that was read from the log at startup.
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
		r.bootstrap = r.bootstrap && !containsMember(membership, r.self.Id)
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

// hasShard reports whether the shard that message names exists.
func (r *Replica) hasShard(message interface{ GetShard() uint32 }) bool {
	return int(message.GetShard()) < len(r.shards)
}

// restoreVote applies a vote unless it is older than the last one.
func (s *shard) restoreVote(v *meshpb.Vote) {
	if v.Epoch >= s.vote.epoch {
		s.vote = vote{epoch: v.Epoch, candidate: v.Candidate}
	}
}

// restoreState replaces the replica's content.
func (s *shard) restoreState(state *meshpb.ShardState, now time.Duration) {
	s.log.position = position{state.Epoch, state.Version}
	s.stateMachine.Restore(state, now, true)
	s.log.reset()
}

// restoreEpochChange applies an epoch change if it continues from the replica's
// position.
func (s *shard) restoreEpochChange(change *meshpb.EpochChange, now time.Duration) {
	if s.position() == (position{change.FromEpoch, change.FromVersion}) {
		s.changeEpoch(change, now)
	}
}

// restoreEntry applies an entry if it is the next one of the replica's epoch.
func (s *shard) restoreEntry(entry *meshpb.Entry, now time.Duration) {
	if entry.Epoch == s.log.epoch && entry.Version == s.log.version+1 {
		s.append(entry, now)
	}
}

// encodeRecord returns the record as it is written to the log. It fails if a string of
// the record is not valid UTF-8.
func encodeRecord(record *meshpb.Record) ([]byte, error) {
	data, err := proto.Marshal(record)
	return data, Error.Wrap(err)
}

// persist writes a record. done is called once the record is synced or has failed. A
// record that cannot be encoded counts as a failure of the disk.
func (r *Replica) persist(record *meshpb.Record, done func(error)) {
	data, err := encodeRecord(record)
	if err != nil {
		r.awaitPersisted(func(error) {
			r.recordDiskFailure(err)
			done(err)
		})
		return
	}
	r.persistEncoded(data, done)
}

// persistEncoded writes an encoded record. done is called once the record is synced or
// has failed. A checkpoint follows when the log has grown beyond CheckpointBytes.
func (r *Replica) persistEncoded(data []byte, done func(error)) {
	r.disk.bytesSinceCheckpoint += len(data)
	r.disk.unsyncedSince = append(r.disk.unsyncedSince, r.now())
	r.storage.Append(data, func(err error) {
		r.disk.unsyncedSince = r.disk.unsyncedSince[1:]
		if err != nil {
			r.recordDiskFailure(err)
		}
		done(err)
	})
	if r.disk.bytesSinceCheckpoint > r.options.CheckpointBytes && !r.disk.checkpointing && !r.disk.failed {
		r.checkpoint()
	}
}

// persistVote writes this member's last vote for the shard.
func (r *Replica) persistVote(s *shard, done func(error)) {
	r.persist(&meshpb.Record{Vote: &meshpb.Vote{Shard: uint32(s.id), Epoch: s.vote.epoch, Candidate: s.vote.candidate}}, done)
}

// awaitPersisted calls done once all records written so far are synced.
func (r *Replica) awaitPersisted(done func(error)) { r.storage.Append(nil, done) }

// diskStalled reports whether a record has waited for the disk too long. If this
// process itself was recently short of CPU time, the wait says nothing about the
// disk: a transfer would move the load that causes the shortage to the next member,
// and from there to the one after it.
func (r *Replica) diskStalled() bool {
	now := r.now()
	return len(r.disk.unsyncedSince) > 0 &&
		now-r.disk.unsyncedSince[0] > r.options.diskStallTimeout() &&
		now-r.tickState.lastLateTick > r.options.starvationWindow()
}

// recordDiskFailure marks the disk as failed and schedules the next attempt.
func (r *Replica) recordDiskFailure(err error) {
	if r.disk.failed {
		return
	}
	r.options.Log.Warn("failed to write to the log", "error", err)
	r.disk.failed = true
	r.disk.retryAt = r.now() + diskRetryInterval
}

// retryDisk attempts a checkpoint on a failed disk when the next attempt is due.
func (r *Replica) retryDisk() {
	if r.disk.failed && !r.disk.checkpointing && r.now() >= r.disk.retryAt {
		r.checkpoint()
	}
}

// checkpoint replaces the log by a snapshot of everything that this member holds.
func (r *Replica) checkpoint() {
	r.disk.checkpointing = true
	r.disk.bytesSinceCheckpoint = 0
	var positions []position
	for _, s := range r.shards {
		positions = append(positions, s.position())
	}
	records, err := r.snapshotRecords()
	if err != nil {
		r.handleCheckpointResult(positions, err)
		return
	}
	r.storage.Checkpoint(records, func(err error) { r.handleCheckpointResult(positions, err) })
}

// handleCheckpointResult marks the disk as healthy and the positions that the snapshot
// contained as synced or, after a failure, schedules the next attempt.
func (r *Replica) handleCheckpointResult(positions []position, err error) {
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
		if s.log.epoch == positions[i].epoch {
			s.log.recordSynced(positions[i].version)
			r.advanceCommit(s)
		}
	}
}

// snapshotRecords returns encoded records of everything that this member holds.
func (r *Replica) snapshotRecords() ([][]byte, error) {
	records := []*meshpb.Record{{Identity: &meshpb.Identity{Id: r.self.Id, Bootstrap: r.bootstrap}}}
	if r.membership.Version > 0 {
		records = append(records, &meshpb.Record{Membership: r.membership})
	}
	for _, s := range r.shards {
		records = append(records, &meshpb.Record{State: r.snapshot(s)})
		if s.vote.epoch > 0 {
			v := &meshpb.Vote{Shard: uint32(s.id), Epoch: s.vote.epoch, Candidate: s.vote.candidate}
			records = append(records, &meshpb.Record{Vote: v})
		}
	}
	return encodeRecords(records)
}

func encodeRecords(records []*meshpb.Record) ([][]byte, error) {
	encoded := make([][]byte, len(records))
	for i, record := range records {
		var err error
		if encoded[i], err = encodeRecord(record); err != nil {
			return nil, err
		}
	}
	return encoded, nil
}

// snapshot returns the full state of the shard's replica.
func (r *Replica) snapshot(s *shard) *meshpb.ShardState {
	state := s.stateMachine.Snapshot(r.now())
	state.Shard, state.Epoch, state.Version = uint32(s.id), s.log.epoch, s.log.version
	return state
}

// installState replaces the replica's content by state and moves it to epoch. done is
// called once this is synced or has failed.
func (r *Replica) installState(s *shard, state *meshpb.ShardState, epoch uint64, done func(error)) {
	s.stateMachine.Restore(state, r.now(), false)
	s.log.reset()
	s.log.epochEnds = []position{{state.Epoch, state.Version}}
	s.log.position, s.log.synced = position{epoch, state.Version}, 0
	stored := proto.Clone(state).(*meshpb.ShardState)
	stored.Shard, stored.Epoch = uint32(s.id), epoch
	r.persistContent(s, &meshpb.Record{State: stored}, done)
}

// changeEpoch moves the replica to another epoch. done is called once this is synced
// or has failed.
func (r *Replica) changeEpoch(s *shard, change *meshpb.EpochChange, done func(error)) {
	s.changeEpoch(change, r.now())
	s.log.synced = 0
	r.persistContent(s, &meshpb.Record{EpochChange: change}, done)
}

// persistContent writes the record that moved the replica to its current position.
// done is called once the record is synced or has failed.
func (r *Replica) persistContent(s *shard, record *meshpb.Record, done func(error)) {
	current := s.position()
	r.persist(record, func(err error) {
		if err == nil && s.log.epoch == current.epoch {
			s.log.recordSynced(current.version)
		}
		done(err)
	})
}
