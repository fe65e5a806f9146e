package cell

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/bambooyard/bambooyard/cellmap"
	"github.com/bambooyard/bambooyard/dispatch"
	"github.com/bambooyard/bambooyard/internal/peer/peerpb"
	"github.com/bambooyard/bambooyard/internal/port"
)

const (
	// maxTransfers bounds the transfers of a cell in progress, so that their records fit into
	// a commit of the owner.
	maxTransfers = 8
	// maxTransferTasks bounds the tasks of one transfer, and with them the sizes of rows.
	maxTransferTasks = 50
	// transferBackoff is how long the tasks of a job that found no other cell are not
	// considered again.
	transferBackoff = 500 * time.Millisecond
	// roomClaimTTL is how long a cell's owner keeps the room that it has reported. By then the
	// tasks have arrived, unless they went to another cell.
	roomClaimTTL = 600 * time.Millisecond
)

// transferrer hands service tasks that find no worker over to other cells. It belongs to the
// control loop. See docs/design/task-transfers.md.
type transferrer struct {
	active    map[string]*transfer // by job ID
	notBefore map[string]time.Time
	checkedAt time.Time
	// claims are the tasks that other cells have asked room for, by job ID.
	claims map[string]roomClaim
	// searches are the last requests for room, by job ID.
	searches map[string]transferSearch
	// refusals are the requests that other cells have had no room for lately, by cell.
	refusals map[int][]roomRefusal
	// homes are the home cells of the hosted jobs.
	homes map[string]int
	// versions are those of the last rows applied, by job ID.
	versions map[string]appliedVersion
	// ended are hosted jobs that have ended, whose rows are to be deleted, and ending own jobs
	// that have ended, whose tasks in other cells are to be told. The values are the last
	// attempts, or the time before which none is made.
	ended, ending map[string]time.Time
	// staleProgress holds the IDs of jobs whose progress rows are to be deleted.
	staleProgress map[string]bool
	prunedAt      time.Time
}

type roomClaim struct {
	request dispatch.RoomRequest
	at      time.Time
}

type appliedVersion struct {
	version int64
	at      time.Time
}

func newTransferrer() transferrer {
	return transferrer{
		active: map[string]*transfer{}, notBefore: map[string]time.Time{}, claims: map[string]roomClaim{},
		searches: map[string]transferSearch{}, refusals: map[int][]roomRefusal{},
		homes: map[string]int{}, versions: map[string]appliedVersion{},
		ended: map[string]time.Time{}, ending: map[string]time.Time{}, staleProgress: map[string]bool{},
	}
}

// transfer is a transfer of tasks of one job to another cell. Its steps are those of a move.
type transfer struct {
	id    string
	home  int // cell of the job's row
	to    int
	tasks []dispatch.TransferredTask
	step  moveStep
	rows  transferRows
	// fence is the row of this cell that the transfer changes: the job's row in the home
	// cell, and else that of the hosted tasks. While it is unchanged, the transfer may still
	// be applied.
	fence    port.Row
	inFlight bool
	triedAt  time.Time
}

// transferRows are the rows of a job that transfers change.
type transferRows struct {
	home       port.Row
	homeRecord jobRecord
	// hosted are the rows of the hosted tasks by cell. A cell without one is not in it.
	hosted        map[int]port.Row
	hostedRecords map[int]hostedRecord
}

// batchTransfer is a transfer whose record is in a batch, and its step at that time.
type batchTransfer struct {
	*transfer
	step moveStep
}

// transferTasks considers the tasks that find no worker, and continues what is in progress.
func (t *term) transferTasks(now time.Time) {
	t.continueTransfers(now)
	t.continueEnds(now)
	if !t.mayMoveJobs() || now.Sub(t.transfers.checkedAt) < cellmap.MoveInterval || t.unconfirmed || t.failing {
		return
	}
	t.transfers.checkedAt = now
	t.transfers.prune(t.engine, now)
	if len(t.transfers.active) >= maxTransfers {
		return
	}
	for _, w := range t.transferable(now) {
		if t.transfers.active[w.job.Spec.ID] != nil {
			continue // for another of its steps
		}
		if t.prepareTransfer(w.job, w.found); len(t.transfers.active) >= maxTransfers {
			return
		}
	}
}

// homeOf returns the home cell of a job.
func (t *term) homeOf(j *dispatch.Job) int {
	if j.Hosted() {
		return t.transfers.homes[j.Spec.ID]
	}
	return t.c.Number
}

// transferCandidates returns the cells to ask for room, without those that have refused as much
// lately. Tasks that are given up go home.
func (t *term) transferCandidates(j *dispatch.Job, found dispatch.TransferableStep, request *peerpb.TaskRequest, now time.Time) []int {
	home := t.homeOf(j)
	if found.GivenUp {
		return []int{home}
	}
	m, needs := t.c.group.cellMap, cellmap.Needs{Pool: j.Queue.Pool}
	if found.Step.Label != "" {
		needs.Labels = []string{found.Step.Label}
	}
	var refused transferSearch
	full := func(n int) bool {
		at, isFull := t.transfers.refusedAt(n, request, now)
		if isFull {
			refused.cells, refused.askedAt = append(refused.cells, n), at
		}
		return isFull
	}
	candidates := m.TransferCandidates(t.c.Number, needs, full, rand.IntN)
	if home != t.c.Number && !slices.Contains(candidates, home) && !slices.Contains(refused.cells, home) && !full(home) {
		candidates = append(candidates, home)
	}
	if len(candidates) == 0 && len(refused.cells) > 0 {
		refused.answeredAt, refused.room = refused.askedAt, make([]int, len(refused.cells))
		t.transfers.searches[j.Spec.ID] = refused
	}
	return candidates
}

// preparedTransfer is what is read before a transfer.
type preparedTransfer struct {
	rows transferRows
	// candidates are the cells that were asked at askedAt, and room the number of tasks that each
	// has room for, or noAnswer.
	candidates []int
	room       []int
	askedAt    time.Time
}

// prepareTransfer reads the rows of a job and asks other cells for room.
func (t *term) prepareTransfer(j *dispatch.Job, found dispatch.TransferableStep) {
	id, g, now := j.Spec.ID, t.c.group, t.c.Now()
	request := taskRequest(j, found)
	candidates := t.transferCandidates(j, found, request, now)
	if len(candidates) == 0 {
		return
	}
	t.transfers.notBefore[id] = now.Add(transferBackoff)
	tr := &transfer{id: id, home: t.homeOf(j), step: movePreparing}
	t.transfers.active[id] = tr
	runAsync(t, prepareTimeout, func(ctx context.Context) (preparedTransfer, error) {
		p := preparedTransfer{candidates: candidates, room: make([]int, len(candidates)), askedAt: now}
		var wg sync.WaitGroup
		for i, n := range candidates {
			wg.Go(func() {
				if found.GivenUp {
					p.room[i] = len(found.Tasks)
				} else {
					p.room[i] = g.askRoom(ctx, n, id, request)
				}
			})
		}
		rows, err := t.c.readTransferRows(ctx, id, tr.home)
		wg.Wait()
		p.rows = rows
		return p, err
	}, func(p preparedTransfer, err error) {
		chosen := err == nil && t.decideTransfer(tr, found, p)
		t.searched(id, request, p, chosen)
		if !chosen {
			delete(t.transfers.active, id)
		}
		if !slices.ContainsFunc(p.room, func(room int) bool { return room != 0 }) {
			delete(t.transfers.notBefore, id) // the refusals hold back as much; other steps may need less
		}
	})
}

// decideTransfer decides which tasks are transferred, and to which cell. From then on they are
// held, so that none of them starts before the transfer is completed or revoked.
func (t *term) decideTransfer(tr *transfer, asked dispatch.TransferableStep, p preparedTransfer) bool {
	j := t.engine.Job(tr.id)
	if j == nil || t.homeOf(j) != tr.home || t.releasing || t.unconfirmed || p.rows.homeRecord.Spec == nil {
		return false
	}
	steps := t.engine.Transferable(j, t.c.Now())
	i := slices.IndexFunc(steps, asked.SameKind)
	to, room := bestRoom(p, tr.home)
	if i < 0 || room <= 0 {
		return false
	}
	found := steps[i]
	tr.rows, tr.fence = p.rows, p.rows.home
	if j.Hosted() {
		tr.fence = p.rows.hosted[t.c.Number]
	}
	tr.to, tr.tasks = to, found.Tasks[:min(len(found.Tasks), room, maxTransferTasks)]
	if tr.fence.Version == 0 || tr.rows.hostedRecords[t.c.Number].Ended || tr.rows.hostedRecords[to].Ended {
		return false
	}
	for _, put := range t.c.transferTxn(tr).Puts {
		if len(put.Value) > t.c.rowBytes() {
			t.log.WithFields(log.Fields{"event": "transfer_too_large", "job": tr.id, "bytes": len(put.Value)}).Warn("the rows of the job have no room for a transfer of its tasks")
			t.transfers.notBefore[tr.id] = t.c.Now().Add(time.Minute)
			return false
		}
	}
	for _, s := range tr.tasks {
		t.engine.HoldTask(s.ID(tr.id))
	}
	tr.step = moveRecording
	t.urgent = true
	return true
}

// bestRoom returns the candidate with the most room, the home cell first among equals.
func bestRoom(p preparedTransfer, home int) (cell, room int) {
	for i, n := range p.candidates {
		if p.room[i] > room || p.room[i] == room && room > 0 && n == home {
			cell, room = n, p.room[i]
		}
	}
	return cell, room
}

// putTransfers adds the records of transfers to a batch, and deletes those of completed ones.
func (t *term) putTransfers(b *batch) {
	for id, tr := range t.transfers.active {
		switch tr.step {
		case moveRecording:
			if b.record.Released || b.room() == 0 {
				continue
			}
			b.txn.Puts = append(b.txn.Puts, port.Put{Table: tableMoves, Key: id, Value: encode(moveRecord{tr.to, tr.fence.Version, tr.tasks})})
		case moveRemoving:
			if b.room() == 0 {
				continue
			}
			b.txn.Deletes = append(b.txn.Deletes, port.Ref{Table: tableMoves, Key: id})
		default:
			continue
		}
		b.transfers = append(b.transfers, batchTransfer{tr, tr.step})
	}
	t.putStaleProgress(b)
}

// transfersCommitted continues the transfers of a committed batch.
func (t *term) transfersCommitted(transfers []batchTransfer) {
	for _, bt := range transfers {
		if bt.transfer.step != bt.step {
			continue
		}
		switch bt.step {
		case moveRecording:
			if t.engine.Job(bt.id) == nil { // it has ended
				bt.transfer.step = moveRemoving
				continue
			}
			t.writeTransfer(bt.transfer)
		case moveRemoving:
			delete(t.transfers.active, bt.id)
		}
	}
}

// writeTransfer changes the rows of a job.
func (t *term) writeTransfer(tr *transfer) {
	tr.step = moveWriting
	txn := t.c.transferTxn(tr)
	runAsync(t, writeTimeout, func(ctx context.Context) (int64, error) {
		return t.c.Store.Commit(ctx, txn)
	}, func(version int64, err error) {
		t.c.recordStoreResult(ignoreConflict(err), t.c.Now())
		if err == nil {
			t.finishTransfer(tr, version)
			return
		}
		t.log.WithFields(log.Fields{"event": "transfer_uncertain", "job": tr.id, "to": tr.to}).WithError(err).Info("it is not known whether the tasks were transferred; revoking the transfer")
		tr.step = moveRevoking
		t.revokeTransfer(tr)
	})
}

// finishTransfer leaves the tasks to the other cell and notifies its owner.
func (t *term) finishTransfer(tr *transfer, version int64) {
	tr.step, t.urgent = moveRemoving, true
	now := t.c.Now()
	t.transfers.versions[tr.id] = appliedVersion{version, now}
	j := t.engine.Job(tr.id)
	if j == nil {
		return // ended meanwhile; its other rows are changed or deleted by that
	}
	for _, s := range tr.tasks {
		t.engine.GiveAway(s.ID(tr.id))
	}
	t.dropIfEmpty(j)
	t.c.instruments.tasksTransferred.Inc(int64(len(tr.tasks)))
	t.log.WithFields(log.Fields{"event": "tasks_transferred", "job": tr.id, "to": tr.to, "home": tr.home, "tasks": len(tr.tasks),
		"first": tr.tasks[0].ID(tr.id).String()}).Info("another cell runs the tasks from now on")
	for _, n := range []int{tr.to, tr.home} {
		if n != t.c.Number {
			t.c.group.notifyTransferred(n)
		}
	}
}

// continueTransfers repeats the revocations without a response.
func (t *term) continueTransfers(now time.Time) {
	for _, tr := range t.transfers.active {
		if tr.step == moveRevoking && !tr.inFlight && now.Sub(tr.triedAt) >= commitRetryDelay {
			t.revokeTransfer(tr)
		}
	}
}

// revokeTransfer rewrites the fence of a transfer, so that a transaction of it that is in
// flight fails. If that was applied before, the row tells what has become of the tasks.
func (t *term) revokeTransfer(tr *transfer) {
	tr.inFlight, tr.triedAt = true, t.c.Now()
	txn := port.Txn{
		Partition: t.c.jobPartition(tr.id),
		Checks:    []port.Check{{Table: tr.fence.Table, Key: tr.fence.Key, Version: tr.fence.Version}},
		Puts:      []port.Put{{Table: tr.fence.Table, Key: tr.fence.Key, Value: tr.fence.Value}},
	}
	runAsync(t, writeTimeout, func(ctx context.Context) (int64, error) {
		return t.c.Store.Commit(ctx, txn)
	}, func(_ int64, err error) {
		tr.inFlight = false
		t.c.recordStoreResult(ignoreConflict(err), t.c.Now())
		conflict, conflicted := err.(*port.ConflictError)
		if err != nil && !conflicted {
			return
		}
		if conflicted {
			t.applyFence(tr, findRow(conflict.Rows, tr.fence.Table, tr.fence.Key))
		}
		for _, s := range tr.tasks {
			t.engine.ReleaseTask(s.ID(tr.id))
		}
		tr.step, t.urgent = moveRemoving, true
		t.log.WithFields(log.Fields{"event": "transfer_resolved", "job": tr.id, "to": tr.to, "rewritten": err == nil}).Info("the row of the job tells which cell runs the tasks")
		t.schedulePlan()
	})
}

// applyFence applies the present row of a transfer's fence.
func (t *term) applyFence(tr *transfer, row port.Row) {
	j := t.engine.Job(tr.id)
	switch {
	case j == nil:
	case !j.Hosted():
		t.applyHomeRow(row)
	case row.Version == 0: // all hosted tasks have gone
		t.dropHosted(j)
	default:
		t.applyHostedRow(row)
	}
}

// restoreTransfer resolves a transfer that a former owner has recorded and not completed. Its
// tasks do not start before that.
func (t *term) restoreTransfer(id string, record moveRecord, fence port.Row) {
	tr := &transfer{id: id, home: t.c.Number, to: record.To, tasks: record.Tasks, fence: fence, step: moveRemoving}
	t.transfers.active[id] = tr
	if fence.Version != record.Version || t.engine.Job(id) == nil {
		return // the rows have changed since, and tell which cell runs the tasks
	}
	tr.step = moveRevoking
	for _, s := range tr.tasks {
		t.engine.HoldTask(s.ID(id))
	}
	t.log.WithFields(log.Fields{"event": "transfer_resumed", "job": id, "to": tr.to}).Info("revoking the transfer that a former owner has begun")
}

// prune forgets what concerns jobs that are not open any more.
func (tf *transferrer) prune(e *dispatch.Engine, now time.Time) {
	if now.Sub(tf.prunedAt) < time.Minute {
		return
	}
	tf.prunedAt = now
	for id := range tf.notBefore {
		if e.Job(id) == nil {
			delete(tf.notBefore, id)
		}
	}
	for id := range tf.searches {
		if e.Job(id) == nil {
			delete(tf.searches, id)
		}
	}
	for id, applied := range tf.versions {
		if e.Job(id) == nil && now.Sub(applied.at) > departureRetention {
			delete(tf.versions, id)
		}
	}
}
