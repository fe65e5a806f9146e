package cell

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/apex/log"

	"github.com/bambooyard/bambooyard/dispatch"
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

// searched records the answers to a request for room and counts it.
func (t *term) searched(id string, p preparedTransfer, chosen bool) {
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
