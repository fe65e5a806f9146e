package cell

import (
	"maps"
	"slices"
	"strconv"

	"github.com/apex/log"

	"github.com/bambooyard/bambooyard/internal/port"
)

const (
	// rosterRowWorkers is the number of workers in a row: their IDs, of up to 200 bytes each,
	// fit into the 64 KB of a row.
	rosterRowWorkers = 300
	// rosterRowsPerCommit leaves the bytes of a commit to the progress of jobs.
	rosterRowsPerCommit = 8
)

// rosterRecord is the value of a row of the roster.
type rosterRecord struct {
	// Workers are IDs, sorted.
	Workers []string `json:"workers"`
}

// roster records in the store which workers may run tasks of this cell. The directory does not
// tell the next owner: it may lack workers after an outage of the store, and the placements of
// the last moments may not be committed. An owner starts tasks only on workers that a committed
// row names, and removes a worker only once nothing can run there. A worker stays in its row, so
// that the rows name it at any time between two commits. It belongs to the control loop.
type roster struct {
	rows  []rosterRow
	rowOf map[string]int // rows by worker
	// committed are the workers that the store's rows name for certain.
	committed map[string]bool
}

// rosterRow is a row of the roster as it is to be stored.
type rosterRow struct {
	workers map[string]bool
	// changes counts the changes of the row, and stored is the count as of the last commit.
	changes, stored int
}

// rosterChange is a row of the roster in a batch.
type rosterChange struct {
	row, changes int
	workers      []string
}

func newRoster() roster { return roster{rowOf: map[string]int{}, committed: map[string]bool{}} }

// row returns a row, which may be new.
func (r *roster) row(n int) *rosterRow {
	for len(r.rows) <= n {
		r.rows = append(r.rows, rosterRow{workers: map[string]bool{}})
	}
	return &r.rows[n]
}

// add adds a worker to the first row that has room.
func (r *roster) add(id string) {
	n := slices.IndexFunc(r.rows, func(row rosterRow) bool { return len(row.workers) < rosterRowWorkers })
	if n < 0 {
		n = len(r.rows)
	}
	row := r.row(n)
	row.workers[id] = true
	row.changes++
	r.rowOf[id] = n
}

func (r *roster) remove(id string) {
	row := r.row(r.rowOf[id])
	delete(row.workers, id)
	row.changes++
	delete(r.rowOf, id)
	delete(r.committed, id)
}

// set makes the roster name exactly these workers.
func (r *roster) set(workers map[string]bool) {
	for id := range workers {
		if _, ok := r.rowOf[id]; !ok {
			r.add(id)
		}
	}
	if len(r.rowOf) == len(workers) {
		return
	}
	for id := range maps.Clone(r.rowOf) {
		if !workers[id] {
			r.remove(id)
		}
	}
}

// restoreRoster returns the workers in the rows of former owners. Only an owner changes the
// rows, so they hold until this one does.
func (t *term) restoreRoster(page port.Page) []string {
	r := &t.roster
	for _, row := range page.Rows {
		record, err := decode[rosterRecord](row)
		n, keyErr := strconv.Atoi(row.Key)
		if err != nil || keyErr != nil || n < 0 {
			t.log.WithFields(log.Fields{"event": "roster_unreadable", "row": row.Key}).WithError(err).Error("cannot decode a row of the roster; its workers are expected only if the directory lists them")
			continue
		}
		for _, id := range record.Workers {
			r.row(n).workers[id], r.rowOf[id], r.committed[id] = true, n, true
		}
	}
	return slices.Collect(maps.Keys(r.rowOf))
}

// putRoster adds changed rows of the roster to a batch.
func (t *term) putRoster(b *batch) {
	if !t.loaded {
		return
	}
	workers := map[string]bool{}
	for id := range t.engine.Workers() {
		workers[id] = true
	}
	for _, id := range t.engine.UncontactedWorkers() {
		workers[id] = true
	}
	t.roster.set(workers)
	for n, row := range t.roster.rows {
		if row.changes == row.stored {
			continue
		}
		if len(b.roster) == rosterRowsPerCommit || b.room() == 0 || b.bytes > maxCommitBytes {
			t.urgent = true
			return
		}
		ids := slices.Sorted(maps.Keys(row.workers))
		b.put(tableRoster, strconv.Itoa(n), encode(rosterRecord{Workers: ids}))
		b.roster = append(b.roster, rosterChange{n, row.changes, ids})
	}
}

// rosterCommitted allows starts on the workers of a committed batch.
func (t *term) rosterCommitted(changes []rosterChange) {
	for _, change := range changes {
		t.roster.rows[change.row].stored = change.changes
		for _, id := range change.workers {
			if n, ok := t.roster.rowOf[id]; ok && n == change.row {
				t.roster.committed[id] = true
			}
		}
	}
	if len(changes) > 0 {
		t.markRecorded()
	}
}

// markRecorded tells the engine which workers the committed roster names. The next commit is
// urgent if it does not name one that could run tasks.
func (t *term) markRecorded() {
	for id, w := range t.engine.Workers() {
		switch {
		case w.Recorded():
		case t.roster.committed[id]:
			t.engine.MarkRecorded(id)
		case w.Listed:
			t.urgent = true
		}
	}
}
