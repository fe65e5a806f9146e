package cell

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/apex/log"

	"github.com/bambooyard/bambooyard/dispatch"
	"github.com/bambooyard/bambooyard/internal/peer/peerpb"
)

// noAnswer stands for the room in a cell whose owner has not answered.
const noAnswer = -1

// transferSearch is the last request for room in other cells for tasks of a job. It tells why
// tasks that find no worker are not transferred.
type transferSearch struct {
	askedAt, answeredAt time.Time
	// cells are those asked, and room the number of tasks that each has room for, or noAnswer.
	cells, room []int
	// chosen is set if a transfer to one of the cells was begun.
	chosen bool
}

// waitingService is a step of a job with tasks that find no worker.
type waitingService struct {
	job   *dispatch.Job
	found dispatch.TransferableStep
}

// transferable returns the tasks that find no worker and for which room may be searched now: first
// the interrupted ones, then those not asked for yet or longest ago, then by the time that they have
// waited. So each has its turn, also if cells do not answer.
func (t *term) transferable(now time.Time) []waitingService {
	var waiting []waitingService
	for id, j := range t.engine.Jobs() {
		if t.transfers.active[id] != nil || t.mover.moves[id] != nil || now.Before(t.transfers.notBefore[id]) {
			continue
		}
		for _, found := range t.engine.Transferable(j, now) {
			waiting = append(waiting, waitingService{j, found})
		}
	}
	slices.SortFunc(waiting, func(a, b waitingService) int {
		if a.found.Interrupted != b.found.Interrupted {
			if a.found.Interrupted {
				return -1
			}
			return 1
		}
		return cmp.Or(
			t.transfers.searches[a.job.Spec.ID].askedAt.Compare(t.transfers.searches[b.job.Spec.ID].askedAt),
			a.found.Since.Compare(b.found.Since),
			cmp.Compare(a.job.Spec.ID, b.job.Spec.ID),
		)
	})
	return waiting
}

// roomRefusal is a request for which a cell had no room, not even for one task.
type roomRefusal struct {
	request *peerpb.TaskRequest
	at      time.Time
}

// covers reports whether there is no room for a request either: it requires as much or more of
// the same workers, or of some of them.
func (r roomRefusal) covers(request *peerpb.TaskRequest) bool {
	sameWorkers := r.request.GetPool() == request.GetPool() && (r.request.GetLabel() == "" || r.request.GetLabel() == request.GetLabel())
	asMuch := r.request.GetMilliCpu() <= request.GetMilliCpu() && r.request.GetMemoryMb() <= request.GetMemoryMb() && r.request.GetGpu() <= request.GetGpu()
	return sameWorkers && asMuch && (r.request.GetDisplacing() || !request.GetDisplacing())
}

// refusedAt reports whether a cell has refused as much as a request within transferBackoff, and
// when. It is not asked again meanwhile, so that services that fit nowhere leave the turns to others.
func (tf *transferrer) refusedAt(n int, request *peerpb.TaskRequest, now time.Time) (time.Time, bool) {
	tf.refusals[n] = slices.DeleteFunc(tf.refusals[n], func(r roomRefusal) bool { return now.Sub(r.at) >= transferBackoff })
	i := slices.IndexFunc(tf.refusals[n], func(r roomRefusal) bool { return r.covers(request) })
	if i < 0 {
		return time.Time{}, false
	}
	return tf.refusals[n][i].at, true
}

// searched records the answers to a request for room and counts it.
func (t *term) searched(id string, request *peerpb.TaskRequest, p preparedTransfer, chosen bool) {
	for i, n := range p.candidates {
		if p.room[i] == 0 {
			t.transfers.refusals[n] = append(t.transfers.refusals[n], roomRefusal{request, t.c.Now()})
		}
	}
	t.transfers.searches[id] = transferSearch{askedAt: p.askedAt, answeredAt: t.c.Now(), cells: p.candidates, room: p.room, chosen: chosen}
	t.c.instruments.roomSearches.Inc(1)
	if !chosen {
		t.c.instruments.roomSearchesFailed.Inc(1)
	}
}

// outcome returns the result of the search for the log.
func (s transferSearch) outcome() string {
	if s.chosen {
		return "begun"
	}
	unanswered := 0
	for _, room := range s.room {
		switch {
		case room > 0:
			return "abandoned" // the tasks or their rows have changed meanwhile
		case room == noAnswer:
			unanswered++
		}
	}
	if unanswered == len(s.room) {
		return "unanswered"
	}
	return "no_room"
}

// answers returns the answer of each cell as "cell:room" in the order of the cells, with "-" for
// the room in a cell whose owner has not answered.
func (s transferSearch) answers() string {
	var parts []string
	for _, n := range slices.Sorted(slices.Values(s.cells)) {
		room := "-"
		if answer := s.room[slices.Index(s.cells, n)]; answer != noAnswer {
			room = strconv.Itoa(answer)
		}
		parts = append(parts, fmt.Sprintf("%d:%s", n, room))
	}
	return strings.Join(parts, ",")
}

// transferFields returns the fields of the log that tell whether another cell may run a
// starved task: "transfer" is the state of its transfer, "room" the last answers of other cells,
// and "room_age_ms" and "room_took_ms" tell how old they are and how long they took.
func (t *term) transferFields(task *dispatch.Task, now time.Time) log.Fields {
	id := task.ID.Job
	fields := log.Fields{}
	search, asked := t.transfers.searches[id]
	if asked {
		fields["room"] = search.answers()
		fields["room_age_ms"] = now.Sub(search.answeredAt).Milliseconds()
		fields["room_took_ms"] = search.answeredAt.Sub(search.askedAt).Milliseconds()
	}
	active := t.transfers.active[id]
	switch {
	case !t.mayMoveJobs():
		fields["transfer"] = "single_cell"
	case task.Step.Gang || task.Step.SameRack:
		fields["transfer"] = "never"
	case active != nil && active.step == movePreparing:
		fields["transfer"] = "asking"
	case active != nil:
		fields["transfer"] = "in_progress"
	case t.mover.moves[id] != nil || t.engine.MayMove(task.Job):
		fields["transfer"] = "as_job"
	case asked:
		fields["transfer"] = search.outcome()
	default:
		fields["transfer"] = "not_asked"
	}
	return fields
}
