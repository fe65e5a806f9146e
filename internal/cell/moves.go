package cell

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/bambooyard/bambooyard/cellmap"
	"github.com/bambooyard/bambooyard/dispatch"
	"github.com/bambooyard/bambooyard/internal/port"
)

const (
	// maxMoves bounds the moves of a cell in progress, so that their rows fit into a commit
	// of the owner beside maxCommitEntries others, and their reads load the store little.
	maxMoves = cellmap.MovesPerInterval
	// prepareTimeout is the timeout of what is read before a move.
	prepareTimeout = writeTimeout
	// moveBackoff is how long a job that found no other cell is not considered again.
	moveBackoff = time.Second
	// unresponsiveFor is how long no worker must respond before a cell that has workers
	// counts as one without capacity. Calls that stay unanswered take up to 0.9 s.
	unresponsiveFor = time.Second
)

// mover moves waiting jobs to other cells. It belongs to the control loop. See
// docs/design/job-moves.md.
type mover struct {
	moves     map[string]*move // in progress, by job ID
	checkedAt time.Time
	// notBefore is when a job may be considered again, and history what its row tells of
	// earlier moves.
	notBefore map[string]time.Time
	history   map[string]jobRecord
	// left are the jobs that have moved to other cells, and departing those that are still
	// counted.
	left      map[string]departure
	departing map[string]departing
	// respondedAt is when a worker of a pool last accepted runs, as far as that was checked
	// in the rounds up to consideredAt.
	respondedAt  map[string]time.Time
	consideredAt time.Time
	prunedAt     time.Time
}

func newMover() mover {
	return mover{
		moves: map[string]*move{}, notBefore: map[string]time.Time{}, history: map[string]jobRecord{},
		left: map[string]departure{}, departing: map[string]departing{}, respondedAt: map[string]time.Time{},
	}
}

// moveStep is the step that a move waits for.
type moveStep int

const (
	// movePreparing: the job's row and the loads of other cells are being read. The job may
	// still start.
	movePreparing moveStep = iota
	// moveRecording: a commit of the owner is to record the move. The job is held.
	moveRecording
	// moveWriting: the transaction that moves the job's rows is in flight.
	moveWriting
	// moveRevoking: it is not known whether the job's rows have moved. They are rewritten
	// unless they have.
	moveRevoking
	// moveRemoving: a commit of the owner is to remove the record.
	moveRemoving
)

// move is a move of one job to another cell.
type move struct {
	id      string
	to      int
	waiting cellmap.Waiting
	// row is the job's row in this cell, and record its value.
	row    port.Row
	record jobRecord
	step   moveStep
	// inFlight is set while a transaction of moveRevoking is in flight, which was sent at
	// triedAt.
	inFlight bool
	triedAt  time.Time
}

// moveRecord is the value of a job's row in tableMoves.
type moveRecord struct {
	To int `json:"to"`
	// Version is that of the job's row. The transaction that moves the job is conditional
	// on it.
	Version int64 `json:"version"`
	// Tasks is set for a transfer of tasks. Version is that of its fence then.
	Tasks []dispatch.TransferredTask `json:"tasks,omitempty"`
}

// mayMoveJobs reports whether jobs of this cell could move at all.
func (t *term) mayMoveJobs() bool {
	return t.c.group != nil && t.c.group.cellMap != nil && len(t.c.group.cellMap.Cells) > 1
}

// moveJobs considers the waiting jobs, and continues the moves in progress.
func (t *term) moveJobs(now time.Time) {
	t.continueMoves(now)
	if !t.mayMoveJobs() || now.Sub(t.mover.checkedAt) < cellmap.MoveInterval {
		return
	}
	t.mover.checkedAt = now
	t.mover.prune(t.engine, now)
	// While the directory may lack workers after an outage of the store, no capacity is gone.
	settled := t.c.storeFailedAt.IsZero() || now.Sub(t.c.storeFailedAt) > directorySettleTime
	if len(t.engine.Unstarted()) == 0 || !t.recovered || !settled || t.unconfirmed || t.failing {
		return
	}
	for _, w := range cellmap.Movable(t.waitingJobs(now), maxMoves-len(t.mover.moves)) {
		t.prepareMove(w)
	}
}

// waitingJobs returns the jobs of which no start was requested and that could have started.
func (t *term) waitingJobs(now time.Time) []cellmap.Waiting {
	if now.Sub(t.mover.consideredAt) > 2*cellmap.MoveInterval {
		clear(t.mover.respondedAt)
	}
	t.mover.consideredAt = now
	gone := map[string]bool{}
	var waiting []cellmap.Waiting
	for id, j := range t.engine.Jobs() {
		if j.Requested() || t.mover.moves[id] != nil || now.Before(t.mover.notBefore[id]) {
			continue
		}
		since, due := j.WaitingSince(now)
		if !due || !t.engine.MayMove(j) {
			continue
		}
		pool := j.Queue.Pool
		if _, known := gone[pool]; !known {
			gone[pool] = t.capacityGone(pool, now)
		}
		history := t.mover.history[id]
		needs := cellmap.NeedsOf(j.Spec)
		needs.Pool = pool
		waiting = append(waiting, cellmap.Waiting{
			ID: id, Demand: cellmap.DemandOf(j.Spec), Needs: needs, Priority: j.Queue.Priority,
			Waited: now.Sub(since), Present: now.Sub(j.Arrived()),
			Moves: history.Moves, From: history.From, CapacityGone: gone[pool],
		})
	}
	return waiting
}

// capacityGone reports whether no worker of a pool accepts work.
func (t *term) capacityGone(pool string, now time.Time) bool {
	listed, responsive := t.engine.AcceptsWork(pool)
	if responsive || t.mover.respondedAt[pool].IsZero() {
		t.mover.respondedAt[pool] = now
	}
	return !listed || now.Sub(t.mover.respondedAt[pool]) >= unresponsiveFor
}

// prepared is what is read before a move.
type prepared struct {
	row        port.Row
	candidates []int
	loads      []*cellmap.Load
}

// prepareMove reads a job's row and the loads of other cells.
func (t *term) prepareMove(w cellmap.Waiting) {
	g := t.c.group
	t.mover.notBefore[w.ID] = t.c.Now().Add(moveBackoff)
	candidates := g.cellMap.MoveCandidates(t.c.Number, w, rand.IntN)
	if len(candidates) == 0 {
		return
	}
	m := &move{id: w.ID, waiting: w, step: movePreparing}
	t.mover.moves[w.ID] = m
	runAsync(t, prepareTimeout, func(ctx context.Context) (prepared, error) {
		p := prepared{candidates: candidates, loads: make([]*cellmap.Load, len(candidates))}
		var wg sync.WaitGroup
		for i, n := range candidates {
			wg.Go(func() { p.loads[i] = g.askLoad(ctx, n, w.ID, w.Demand.Share(len(candidates))) })
		}
		page, err := t.c.Store.Range(ctx, t.c.tables.jobs, t.c.jobPartition(w.ID), w.ID, w.ID+"\x00", 1)
		wg.Wait()
		if len(page.Rows) > 0 {
			p.row = page.Rows[0]
		}
		return p, err
	}, func(p prepared, err error) {
		if err != nil || !t.decideMove(m, p) {
			delete(t.mover.moves, m.id)
		}
	})
}

// decideMove decides whether a job moves, and to which cell. From then on it is held, so
// that no task of it is started before the move is completed or revoked.
func (t *term) decideMove(m *move, p prepared) bool {
	j := t.engine.Job(m.id)
	if j == nil || !t.engine.MayMove(j) || t.releasing || t.unconfirmed || p.row.Version == 0 {
		return false
	}
	record, err := decode[jobRecord](p.row)
	if err != nil || record.Spec == nil || record.Cell != t.c.Number {
		return false
	}
	t.mover.history[m.id] = jobRecord{Moves: record.Moves, From: record.From}
	m.row, m.record = p.row, record
	m.waiting.Moves, m.waiting.From = record.Moves, record.From
	own := loadOf(t.load(t.c.Now()))
	to, ok := t.c.group.cellMap.MoveTarget(t.c.Number, m.waiting, own, p.candidates, p.loads)
	if !ok {
		return false
	}
	m.to, m.step = to, moveRecording
	t.engine.Hold(m.id)
	t.urgent = true
	return true
}

// putMoves adds the records of moves to a batch, and deletes those of completed moves.
func (t *term) putMoves(b *batch) {
	for id, m := range t.mover.moves {
		switch m.step {
		case moveRecording:
			if b.record.Released {
				continue
			}
			b.txn.Puts = append(b.txn.Puts, port.Put{Table: tableMoves, Key: id, Value: encode(moveRecord{To: m.to, Version: m.row.Version})})
		case moveRemoving:
			b.txn.Deletes = append(b.txn.Deletes, port.Ref{Table: tableMoves, Key: id})
		default:
			continue
		}
		b.moves = append(b.moves, batchMove{m, m.step})
	}
}

// batchMove is a move whose record is in a batch, and its step at that time.
type batchMove struct {
	*move
	step moveStep
}

// movesCommitted continues the moves of a committed batch.
func (t *term) movesCommitted(moves []batchMove) {
	for _, bm := range moves {
		if bm.move.step != bm.step {
			continue
		}
		switch bm.step {
		case moveRecording:
			if j := t.engine.Job(bm.id); j == nil || !t.engine.MayMove(j) { // cancelled, for instance
				t.engine.Release(bm.id)
				bm.move.step = moveRemoving
				continue
			}
			t.writeMove(bm.move)
		case moveRemoving:
			delete(t.mover.moves, bm.id)
		}
	}
}

// writeMove moves a job's rows, unless it is cancelled. Until the result is known, its state
// is that in the store.
func (t *term) writeMove(m *move) {
	m.step = moveWriting
	t.c.jobStates.set(m.id, stateMoved, t.c.Now())
	txn := t.c.moveTxn(m)
	runAsync(t, writeTimeout, func(ctx context.Context) (int64, error) {
		return t.c.Store.Commit(ctx, txn)
	}, func(version int64, err error) {
		t.c.recordStoreResult(ignoreConflict(err), t.c.Now())
		conflict, conflicted := err.(*port.ConflictError)
		switch {
		case err == nil:
			t.finishMove(m, version)
		case conflicted && findRow(conflict.Rows, t.c.tables.jobs, m.id).Version == m.row.Version:
			t.c.instruments.movesCancelled.Inc(1)
			t.cancel(m.id, "move")
			m.step = moveRemoving
		default:
			t.log.WithFields(log.Fields{"event": "job_move_uncertain", "job": m.id, "to": m.to}).WithError(err).Info("it is not known whether the job has moved; revoking the move")
			m.step = moveRevoking
			t.revoke(m)
		}
	})
}

// ignoreConflict returns err, or nil if it is a conflict, which is an answer of the store.
func ignoreConflict(err error) error {
	if _, ok := err.(*port.ConflictError); ok {
		return nil
	}
	return err
}

// moveTxn returns the transaction that moves a job's rows. All are in the job's partition.
func (c *Cell) moveTxn(m *move) port.Txn {
	record := m.record
	record.Cell, record.From, record.Moves = m.to, c.Number, m.record.Moves+1
	to := jobTablesOf(m.to)
	txn := port.Txn{
		Partition: c.jobPartition(m.id),
		Checks: []port.Check{
			{Table: c.tables.jobs, Key: m.id, Version: m.row.Version},
			{Table: c.tables.cancels, Key: m.id},
		},
		Puts: []port.Put{{Table: to.jobs, Key: m.id, Value: encode(record)}},
	}
	if to.jobs != c.tables.jobs {
		txn.Deletes = append(txn.Deletes, port.Ref{Table: c.tables.jobs, Key: m.id})
	}
	if m.to == cellmap.Lead {
		txn.Deletes = append(txn.Deletes, port.Ref{Table: tableIndex, Key: m.id})
	} else {
		txn.Puts = append(txn.Puts, port.Put{Table: tableIndex, Key: m.id, Value: encode(jobRecord{Cell: m.to})})
	}
	return txn
}

// continueMoves repeats the revocations without a response.
func (t *term) continueMoves(now time.Time) {
	for id, m := range t.mover.moves {
		switch {
		case m.step == moveRevoking && t.engine.Job(id) == nil:
			// A cancelled job does not move: its rows show the cancellation.
			m.step = moveRemoving
		case m.step == moveRevoking && !m.inFlight && now.Sub(m.triedAt) >= commitRetryDelay:
			t.revoke(m)
		}
	}
}

// revoke rewrites a job's row, so that a transaction that would move it fails. If that
// transaction was applied before, the move is completed.
func (t *term) revoke(m *move) {
	m.inFlight, m.triedAt = true, t.c.Now()
	txn := port.Txn{
		Partition: t.c.jobPartition(m.id),
		Checks:    []port.Check{{Table: t.c.tables.jobs, Key: m.id, Version: m.row.Version}},
		Puts:      []port.Put{{Table: t.c.tables.jobs, Key: m.id, Value: m.row.Value}},
	}
	runAsync(t, writeTimeout, func(ctx context.Context) (int64, error) {
		return t.c.Store.Commit(ctx, txn)
	}, func(_ int64, err error) {
		m.inFlight = false
		t.c.recordStoreResult(ignoreConflict(err), t.c.Now())
		conflict, conflicted := err.(*port.ConflictError)
		switch {
		case m.step != moveRevoking:
		case err == nil, conflicted && t.holdsJob(findRow(conflict.Rows, t.c.tables.jobs, m.id)):
			t.finishRevocation(m)
		case conflicted:
			t.finishMove(m, 0)
		}
	})
}

// holdsJob reports whether a row shows that a job is in this cell.
func (t *term) holdsJob(row port.Row) bool {
	if row.Version == 0 {
		return false
	}
	record, err := decode[jobRecord](row)
	return err != nil || record.Cell == t.c.Number
}

// finishRevocation lets a job start that has not moved.
func (t *term) finishRevocation(m *move) {
	m.step = moveRemoving
	t.engine.Release(m.id)
	if j := t.engine.Job(m.id); j != nil {
		t.c.jobStates.set(m.id, j.State, t.c.Now())
	}
	t.c.instruments.movesRevoked.Inc(1)
	t.log.WithFields(log.Fields{"event": "job_move_revoked", "job": m.id, "to": m.to}).Info("the job stays in the cell")
	t.schedulePlan()
}

// finishMove drops a job that has moved, and notifies the owner of its cell. The version is
// that of the job's row there; zero if it is not known.
func (t *term) finishMove(m *move, version int64) {
	m.step = moveRemoving
	j := t.engine.Job(m.id)
	if j == nil {
		return // cancelled, and compacted since
	}
	now := t.c.Now()
	t.engine.Remove(m.id)
	t.forgetJob(m.id)
	t.mover.left[m.id] = departure{max(version, m.row.Version), now}
	t.mover.departing[m.id] = departing{j.Spec.Queue, now.Add(unnotifiedOverlap)}
	t.c.jobStates.set(m.id, stateMoved, now)
	t.c.group.locations.set(m.id, m.to, now)
	t.c.instruments.jobsMoved.Inc(1)
	reason := "waited"
	switch {
	case m.waiting.ID == "":
		reason = "former_owner"
	case m.waiting.CapacityGone:
		reason = "capacity_gone"
	}
	t.log.WithFields(log.Fields{"event": "job_moved", "job": m.id, "to": m.to, "reason": reason,
		"waited_ms": now.Sub(j.Arrived()).Milliseconds(), "moves": m.record.Moves + 1}).Info("the job has moved to another cell")
	if version > 0 {
		t.notifyNewOwner(m, version, j)
	}
}

// forgetJob removes a job that has moved from what is to be committed.
func (t *term) forgetJob(id string) {
	delete(t.dirty, id)
	delete(t.changedSince, id)
	delete(t.mover.history, id)
	delete(t.mover.notBefore, id)
}

// prune forgets what concerns jobs that are not open any more.
func (mv *mover) prune(e *dispatch.Engine, now time.Time) {
	if now.Sub(mv.prunedAt) < time.Minute {
		return
	}
	mv.prunedAt = now
	for id := range mv.notBefore {
		if e.Job(id) == nil {
			delete(mv.notBefore, id)
		}
	}
	for id := range mv.history {
		if e.Job(id) == nil {
			delete(mv.history, id)
		}
	}
	for id, d := range mv.left {
		if now.Sub(d.at) > departureRetention {
			delete(mv.left, id)
		}
	}
}
