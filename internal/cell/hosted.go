package cell

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/apex/log"

	"github.com/bambooyard/bambooyard/dispatch"
	"github.com/bambooyard/bambooyard/internal/peer/peerpb"
	"github.com/bambooyard/bambooyard/internal/port"
	"github.com/bambooyard/bambooyard/job"
)

const (
	// hostedPoll is the interval of the reads of hosted tasks whose notification was lost.
	hostedPoll = time.Second
	// endRetryDelay is the delay before what follows from a job's end is tried again.
	endRetryDelay = 500 * time.Millisecond
	// endedHostedRetention is how long the row of a hosted job that has ended is kept: a next
	// owner stops its runs at once, while those of an unknown job run on for seconds.
	endedHostedRetention = 20 * time.Second
	// maxStaleProgress bounds the deletions of progress rows in a batch.
	maxStaleProgress = 10
)

// transferredTask is a task in its job's row that another cell runs or has run.
type transferredTask struct {
	dispatch.TransferredTask
	// Cell runs the task now; it may be the home cell.
	Cell int `json:"cell"`
}

// hostedRecord is the value of a row in tableHosted: the tasks of one job that a cell other than
// the job's runs. The row is in the partition of the job, so that tasks are transferred by one
// transaction.
type hostedRecord struct {
	Cell int `json:"cell"`
	Home int `json:"home"`
	// Spec is that of the job; nil if the job has ended.
	Spec  *job.Spec                  `json:"spec,omitempty"`
	Tasks []dispatch.TransferredTask `json:"tasks,omitempty"`
	// Ended is set when the job has ended. The cell stops the tasks and deletes the row.
	Ended bool `json:"ended,omitempty"`
}

// hostedKey returns the key of the row of the tasks of a job in a cell.
func hostedKey(id string, cell int) string { return fmt.Sprintf("%s/%d", id, cell) }

// splitNumberedKey returns the job and the number in the key of a row in tableHosted, whose number
// is that of the cell, or in tableProgressParts.
func splitNumberedKey(key string) (id string, number int, ok bool) {
	n := strings.LastIndexByte(key, '/')
	if n < 0 {
		return "", 0, false
	}
	number, err := strconv.Atoi(key[n+1:])
	return key[:n], number, err == nil
}

// hosts returns the cells other than the job's own that run tasks of it, sorted.
func (r *jobRecord) hosts() []int {
	var cells []int
	for _, s := range r.Transferred {
		if s.Cell != r.Cell && !slices.Contains(cells, s.Cell) {
			cells = append(cells, s.Cell)
		}
	}
	slices.Sort(cells)
	return cells
}

// withTransferred returns the transferred tasks of a job after some have gone to a cell.
func withTransferred(all []transferredTask, tasks []dispatch.TransferredTask, to int) []transferredTask {
	next := slices.Clone(all)
	for _, s := range tasks {
		next = slices.DeleteFunc(next, func(other transferredTask) bool { return other.ID("") == s.ID("") })
		next = append(next, transferredTask{s, to})
	}
	return next
}

// transferTxn returns the transaction of a transfer. All rows are in the job's partition.
func (c *Cell) transferTxn(tr *transfer) port.Txn {
	tables := jobTablesOf(tr.home)
	home := tr.rows.homeRecord
	home.Transferred = withTransferred(home.Transferred, tr.tasks, tr.to)
	txn := port.Txn{
		Partition: c.jobPartition(tr.id),
		Checks: []port.Check{
			{Table: tables.jobs, Key: tr.id, Version: tr.rows.home.Version},
			{Table: tables.cancels, Key: tr.id},
		},
		Puts: []port.Put{{Table: tables.jobs, Key: tr.id, Value: encode(home)}},
	}
	put := func(cell int, change func(tasks []dispatch.TransferredTask) []dispatch.TransferredTask) {
		if cell == tr.home {
			return
		}
		key := hostedKey(tr.id, cell)
		txn.Checks = append(txn.Checks, port.Check{Table: tableHosted, Key: key, Version: tr.rows.hosted[cell].Version})
		tasks := change(slices.Clone(tr.rows.hostedRecords[cell].Tasks))
		if len(tasks) == 0 {
			txn.Deletes = append(txn.Deletes, port.Ref{Table: tableHosted, Key: key})
			return
		}
		record := hostedRecord{Cell: cell, Home: tr.home, Spec: home.Spec, Tasks: tasks}
		txn.Puts = append(txn.Puts, port.Put{Table: tableHosted, Key: key, Value: encode(record)})
	}
	put(c.Number, func(tasks []dispatch.TransferredTask) []dispatch.TransferredTask {
		return slices.DeleteFunc(tasks, func(s dispatch.TransferredTask) bool {
			return slices.ContainsFunc(tr.tasks, func(o dispatch.TransferredTask) bool { return o.ID("") == s.ID("") })
		})
	})
	put(tr.to, func(tasks []dispatch.TransferredTask) []dispatch.TransferredTask { return append(tasks, tr.tasks...) })
	return txn
}

// readTransferRows reads the rows of a job that transfers change.
func (c *Cell) readTransferRows(ctx context.Context, id string, home int) (transferRows, error) {
	rows := transferRows{hosted: map[int]port.Row{}, hostedRecords: map[int]hostedRecord{}}
	page, err := c.Store.Range(ctx, jobTablesOf(home).jobs, c.jobPartition(id), id, id+"\x00", 1)
	if err != nil {
		return rows, err
	}
	for _, row := range page.Rows {
		rows.home = row
		if rows.homeRecord, err = decode[jobRecord](row); err != nil {
			return rows, err
		}
	}
	if rows.homeRecord.Cell != home {
		rows.homeRecord.Spec = nil // the job has ended, and another cell shares the table
	}
	hosted, err := c.readHosted(ctx, id)
	for _, row := range hosted.Rows {
		_, cell, ok := splitNumberedKey(row.Key)
		record, decodeErr := decode[hostedRecord](row)
		if !ok || decodeErr != nil {
			return rows, &RowError{tableHosted, row.Key, decodeErr}
		}
		rows.hosted[cell], rows.hostedRecords[cell] = row, record
	}
	return rows, err
}

// readHosted reads the rows of the tasks of a job in all cells.
func (c *Cell) readHosted(ctx context.Context, id string) (port.Page, error) {
	const afterSlash = "0"
	return port.ScanRange(ctx, c.Store, tableHosted, c.jobPartition(id), id+"/", id+afterSlash)
}

// isNewer records the version of a job's row that is applied, and reports whether it is newer
// than the last one.
func (t *term) isNewer(id string, version int64) bool {
	if version <= t.transfers.versions[id].version {
		return false
	}
	t.transfers.versions[id] = appliedVersion{version, t.c.Now()}
	return true
}

// applyHomeRow applies what the row of a job of this cell tells of its tasks in other cells.
func (t *term) applyHomeRow(row port.Row) {
	record, err := decode[jobRecord](row)
	j := t.engine.Job(row.Key)
	if err != nil || record.Spec == nil || record.Cell != t.c.Number || len(record.Transferred) == 0 {
		return
	}
	if j == nil && t.deferred.has(row.Key) && len(record.hosts()) > 0 {
		j = t.addDeferred(*record.Spec, t.c.Now()) // its tasks run elsewhere
	}
	if j == nil {
		if len(record.hosts()) > 0 && !t.deferred.has(row.Key) {
			t.transfers.ending[row.Key] = time.Time{} // it has ended, and its hosts may not know
		}
		return
	}
	if j.Hosted() || !t.isNewer(row.Key, row.Version) {
		return
	}
	now := t.c.Now()
	for _, s := range record.Transferred {
		if s.Cell != t.c.Number {
			t.engine.GiveAway(s.ID(row.Key))
		} else {
			t.engine.TakeIn(j, s.TransferredTask, now)
		}
	}
	delete(t.transfers.claims, row.Key)
}

// applyHostedRow applies the row of the tasks of another cell's job.
func (t *term) applyHostedRow(row port.Row) *dispatch.Job {
	id, cell, ok := splitNumberedKey(row.Key)
	if !ok || cell != t.c.Number {
		return nil
	}
	record, err := decode[hostedRecord](row)
	if err != nil {
		t.log.WithField("event", "hosted_row_unreadable").WithError(err).Error("cannot decode the row of hosted tasks; skipping it")
		return nil
	}
	j := t.engine.Job(id)
	if j != nil && !j.Hosted() || !t.isNewer(id, row.Version) {
		return nil
	}
	if record.Ended || record.Spec == nil {
		t.endHosted(id)
		return nil
	}
	now := t.c.Now()
	if j == nil {
		if j = t.engine.AddHosted(*record.Spec, now, t.c.Wall().UnixMilli()); j == nil {
			return nil
		}
		t.log.WithFields(log.Fields{"event": "hosted_job_known", "job": id, "home": record.Home, "tasks": len(record.Tasks)}).Info("running tasks of a job of another cell")
	}
	t.transfers.homes[id] = record.Home
	here := map[job.TaskID]bool{}
	for _, s := range record.Tasks {
		here[s.ID(id)] = true
		t.engine.TakeIn(j, s, now)
	}
	for _, s := range t.engine.TasksHere(j) {
		if !here[s] {
			t.engine.GiveAway(s)
		}
	}
	delete(t.transfers.claims, id) // the tasks that are here now count by themselves
	return j
}

// endHosted stops the tasks of another cell's job that has ended.
func (t *term) endHosted(id string) {
	t.keepEnded(id)
	if t.engine.Job(id) == nil {
		t.engine.MarkEnded(id, t.c.Now()) // its runs that workers list are stopped at once
		return
	}
	t.engine.Cancel(id)
	t.log.WithFields(log.Fields{"event": "job_cancel", "job": id, "hosted": true}).Info("the job has ended in its home cell")
}

// finishHosted forgets a hosted job that has ended.
func (t *term) finishHosted(j *dispatch.Job) {
	t.keepEnded(j.Spec.ID)
	t.forgetHosted(j)
}

// keepEnded has the row of a hosted job that has ended deleted after endedHostedRetention.
func (t *term) keepEnded(id string) {
	if _, known := t.transfers.ended[id]; !known {
		t.transfers.ended[id] = t.c.Now().Add(endedHostedRetention)
	}
}

// dropIfEmpty drops a hosted job of which this cell runs no task any more.
func (t *term) dropIfEmpty(j *dispatch.Job) {
	if _, all := j.Elsewhere(); j.Hosted() && all {
		t.dropHosted(j)
	}
}

func (t *term) dropHosted(j *dispatch.Job) {
	t.engine.Remove(j.Spec.ID)
	t.forgetHosted(j)
}

// forgetHosted removes a hosted job from what is to be committed, and deletes its progress.
func (t *term) forgetHosted(j *dispatch.Job) {
	id := j.Spec.ID
	t.forgetJob(id)
	delete(t.transfers.homes, id)
	t.forgetParts(id)
	if t.progressRows[id] {
		delete(t.progressRows, id)
		t.transfers.staleProgress[id] = true
	}
}

// noteProgressRow records that a job may have a progress row. A hosted job may have left while
// the row was being written.
func (t *term) noteProgressRow(j *dispatch.Job) {
	if j.Hosted() && t.engine.Job(j.Spec.ID) != j {
		t.transfers.staleProgress[j.Spec.ID] = true
		return
	}
	t.progressRows[j.Spec.ID] = true
}

// putStaleProgress adds the deletions of progress rows of jobs that have left to a batch.
func (t *term) putStaleProgress(b *batch) {
	for id := range t.transfers.staleProgress {
		if t.engine.Job(id) != nil { // it is back, and its row is written again
			delete(t.transfers.staleProgress, id)
			continue
		}
		if len(b.staleProgress) >= maxStaleProgress || b.room() == 0 {
			return
		}
		b.staleProgress = append(b.staleProgress, id)
		b.txn.Deletes = append(b.txn.Deletes, port.Ref{Table: tableProgress, Key: id})
	}
}

// continueEnds deletes the rows of hosted jobs that have ended, and tells other cells of own
// jobs that have.
func (t *term) continueEnds(now time.Time) {
	for id, triedAt := range t.transfers.ended {
		if now.Sub(triedAt) >= endRetryDelay {
			t.transfers.ended[id] = now
			t.deleteHostedRow(id)
		}
	}
	for id, triedAt := range t.transfers.ending {
		if now.Sub(triedAt) >= endRetryDelay {
			t.transfers.ending[id] = now
			t.endElsewhere(id)
		}
	}
}

func (t *term) deleteHostedRow(id string) {
	txn := port.Txn{
		Partition: t.c.jobPartition(id),
		Deletes:   []port.Ref{{Table: tableHosted, Key: hostedKey(id, t.c.Number)}},
	}
	runAsync(t, compactTimeout, func(ctx context.Context) (int64, error) {
		return t.c.Store.Commit(ctx, txn)
	}, func(_ int64, err error) {
		if err == nil {
			delete(t.transfers.ended, id)
		}
	})
}

// endElsewhere records the end of a job of this cell in the rows of its tasks in other cells.
// The job's row is compacted only after that.
func (t *term) endElsewhere(id string) {
	runAsync(t, 2*writeTimeout, func(ctx context.Context) ([]int, error) {
		page, err := t.c.readHosted(ctx, id)
		if err != nil {
			return nil, err
		}
		txn, cells := endTxn(t.c.jobPartition(id), page)
		if len(cells) == 0 {
			return nil, nil
		}
		_, err = t.c.Store.Commit(ctx, txn)
		return cells, err
	}, func(cells []int, err error) {
		if err != nil {
			t.log.WithFields(log.Fields{"event": "end_not_told", "job": id}).WithError(err).Info("cannot record the end of the job for its tasks in other cells; retrying")
			return
		}
		delete(t.transfers.ending, id)
		for _, n := range cells {
			t.c.group.notifyTransferred(n)
		}
	})
}

// endTxn returns the transaction that records the end of a job in the rows of its hosted tasks,
// and their cells.
func endTxn(partition string, hosted port.Page) (port.Txn, []int) {
	txn := port.Txn{Partition: partition}
	var cells []int
	for _, row := range hosted.Rows {
		_, cell, ok := splitNumberedKey(row.Key)
		record, err := decode[hostedRecord](row)
		if !ok || err == nil && record.Ended {
			continue
		}
		txn.Checks = append(txn.Checks, port.Check{Table: tableHosted, Key: row.Key, Version: row.Version})
		txn.Puts = append(txn.Puts, port.Put{Table: tableHosted, Key: row.Key, Value: encode(hostedRecord{Cell: cell, Home: record.Home, Ended: true})})
		cells = append(cells, cell)
	}
	return txn, cells
}

// notifyTransferred tells the owner of a cell to read its rows of transferred tasks.
func (g *Group) notifyTransferred(n int) {
	c := g.cell(n)
	c.notifyOwner(&peerpb.NewsRequest{Cell: uint32(n), Transferred: true}, nil, nil)
}

// readTransferred makes the owner read the rows of transferred tasks at the next tick.
func (t *term) readTransferred() {
	for _, cursor := range t.changes {
		cursor.requested = true
	}
}

// taskRequest returns the request for room for tasks.
func taskRequest(j *dispatch.Job, found dispatch.TransferableStep) *peerpb.TaskRequest {
	r := found.Step.Resources
	if found.Step.BestEffort {
		r.MilliCPU = 0
	}
	return &peerpb.TaskRequest{
		Pool: j.Queue.Pool, Label: found.Step.Label, MilliCpu: r.MilliCPU, MemoryMb: r.MemoryMB, Gpu: r.GPU,
		MaxPerWorker: uint32(found.Step.MaxPerWorker), Tasks: uint32(min(len(found.Tasks), maxTransferTasks)), Displacing: found.Interrupted,
	}
}

// taskRoom returns for how many tasks of another cell's job there is room, and keeps it for a
// moment.
func (t *term) taskRoom(id string, req *peerpb.TaskRequest) int {
	now := t.c.Now()
	var claimed []dispatch.RoomRequest
	for other, claim := range t.transfers.claims {
		switch {
		case now.Sub(claim.at) > roomClaimTTL:
			delete(t.transfers.claims, other)
		case other != id:
			claimed = append(claimed, claim.request)
		}
	}
	r := dispatch.RoomRequest{
		Pool: req.GetPool(), Label: req.GetLabel(), MaxPerWorker: int(req.GetMaxPerWorker()),
		Resources: job.Resources{MilliCPU: req.GetMilliCpu(), MemoryMB: req.GetMemoryMb(), GPU: req.GetGpu()},
		Tasks:     min(int(req.GetTasks()), maxTransferTasks), Displacing: req.GetDisplacing(),
	}
	room := t.engine.RoomFor(r, claimed, now)
	if room > 0 {
		r.Tasks = room
		t.transfers.claims[id] = roomClaim{r, now}
	}
	return room
}
