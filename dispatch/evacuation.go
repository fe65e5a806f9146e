package dispatch

import (
	"cmp"
	"slices"

	"github.com/bambooyard/bambooyard/internal/port"
)

// Evacuations returns what still runs in the data centres under evacuation, sorted by name.
// Data centres without listed workers are left out.
func (e *Engine) Evacuations() []port.Evacuation {
	var all []port.Evacuation
	for _, w := range e.workerList {
		if !w.Listed || !w.Entry.Evacuating {
			continue
		}
		i := slices.IndexFunc(all, func(ev port.Evacuation) bool { return ev.DataCentre == w.Entry.DataCentre })
		if i < 0 {
			i = len(all)
			all = append(all, port.Evacuation{DataCentre: w.Entry.DataCentre})
		}
		w.countInto(&all[i])
	}
	slices.SortFunc(all, func(a, b port.Evacuation) int { return cmp.Compare(a.DataCentre, b.DataCentre) })
	return all
}

// CountIn returns the listed workers of a data centre and what runs on them, whether or not
// it is under evacuation.
func (e *Engine) CountIn(dataCentre string) port.Evacuation {
	ev := port.Evacuation{DataCentre: dataCentre}
	for _, w := range e.workerList {
		if w.Listed && w.Entry.DataCentre == dataCentre {
			w.countInto(&ev)
		}
	}
	return ev
}

// countInto adds a worker and its runs.
func (w *Worker) countInto(ev *port.Evacuation) {
	services, _ := w.countColocated()
	ev.Workers++
	ev.Services += services
	ev.Tasks += len(w.runs) - services
}
