package cell

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/bambooyard/bambooyard/dispatch"
	"github.com/bambooyard/bambooyard/internal/port"
	"github.com/bambooyard/bambooyard/job"
)

// Size and decay of the samples of a latency histogram, which cover about the
// last five minutes.
const (
	sampleSize  = 512
	sampleDecay = 0.015
)

// instruments are the cell's counters and histograms. Latencies are in
// milliseconds. They are safe for concurrent use.
type instruments struct {
	registry metrics.Registry
	// firstStartLatency is the time from a job's arrival at the owner to its first
	// start request, startLatency from a task's readiness to its start request.
	firstStartLatency, startLatency metrics.Histogram
	commitLatency                   metrics.Histogram
	takeovers, ownershipsLost       metrics.Counter
	jobsStored, jobsNotStored       metrics.Counter
	jobsWithoutSettings             metrics.Counter

	// owner, loaded and recovered are 1 or 0, and epoch is the owner's as far as
	// this daemon knows.
	owner, loaded, recovered, epoch metrics.Gauge
	// tickLag is how late a tick of the control loop is.
	tickLag                              metrics.Histogram
	recoveryReadLatency, recoveryLatency metrics.Histogram
	// termsUnrecovered counts the terms that ended before they had recovered.
	termsUnrecovered metrics.Counter
	// listingLatency includes the time for which the worker held the listing.
	listingLatency                metrics.Histogram
	listingsSent, listingsFailed  metrics.Counter
	depthsAnswered, depthsRefused metrics.Counter
	// tasksGivenUp counts the tasks under which too many workers have crashed.
	tasksGivenUp metrics.Counter
	// evacuatingWorkers and evacuatingRuns are the workers under evacuation, and the runs on
	// them, in the cells that this daemon owns.
	evacuatingWorkers, evacuatingRuns metrics.Gauge
	// bestEffortWaiting is the number of best-effort tasks that wait for a worker, and
	// bestEffortLoad the mean load of the workers that run some, in percent.
	bestEffortWaiting, bestEffortLoad metrics.Gauge
	// jobsMoved counts the jobs that this owner has moved to another cell, movesRevoked the
	// moves that were begun and revoked, and movesCancelled those of jobs that were
	// cancelled meanwhile.
	jobsMoved, movesRevoked, movesCancelled metrics.Counter
	// jobsNotCommitted counts the jobs that were set aside because the store refuses their rows.
	jobsNotCommitted metrics.Counter
	// tasksTransferred counts the tasks that this owner has transferred to another cell.
	tasksTransferred metrics.Counter
	// roomSearches counts the requests for room in other cells for tasks of a job, and
	// roomSearchesFailed those after which no transfer was begun.
	roomSearches, roomSearchesFailed metrics.Counter
	// copiesStarted counts the copies whose start was requested, and copiesWon those that
	// were done before the first run.
	copiesStarted, copiesWon metrics.Counter
	// reservationsMade counts the advance reservations for large tasks.
	reservationsMade metrics.Counter
	// tasksHeld and jobsHeld are the memory that tasks and open jobs take in the cells that this daemon
	// owns, in tasks that take as much, and heldLimit is the limit of each.
	tasksHeld, jobsHeld, heldLimit metrics.Gauge
	// jobsDeferred is the number of stored jobs that the owner has no memory for yet, and jobsRefusedFull
	// counts the submissions that were refused because of such a lack.
	jobsDeferred    metrics.Gauge
	jobsRefusedFull metrics.Counter
	// jobsWithdrawn counts the jobs that were cancelled before they were stored.
	jobsWithdrawn metrics.Counter
	// handoversDeclined counts the successors that did not consent to take a cell.
	handoversDeclined metrics.Counter
	// releasesAbandoned counts the releases by choice after which this daemon stayed the owner, and
	// releasesIncomplete the commits of a release that left changes unstored.
	releasesAbandoned, releasesIncomplete metrics.Counter
	// interrupted is the number of service tasks that ran before and have no run.
	interrupted metrics.Gauge
}

func newInstruments(r metrics.Registry) *instruments {
	if r == nil {
		r = metrics.NewRegistry()
	}
	histogram := func(name string) metrics.Histogram {
		return metrics.GetOrRegisterHistogram(name, r, metrics.NewExpDecaySample(sampleSize, sampleDecay))
	}
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter(name, r) }
	gauge := func(name string) metrics.Gauge { return metrics.GetOrRegisterGauge(name, r) }
	m := &instruments{
		registry:          r,
		firstStartLatency: histogram("cell.first_start_ms"),
		startLatency:      histogram("cell.hand_over_ms"),
		commitLatency:     histogram("cell.commit_ms"),
		takeovers:         counter("cell.takeovers"),
		ownershipsLost:    counter("cell.ownerships_lost"),

		owner:     gauge("cell.owner"),
		loaded:    gauge("cell.loaded"),
		recovered: gauge("cell.recovered"),
		epoch:     gauge("cell.epoch"),

		tickLag:             histogram("cell.tick_lag_ms"),
		recoveryReadLatency: histogram("cell.recovery_read_ms"),
		recoveryLatency:     histogram("cell.recovery_ms"),
		termsUnrecovered:    counter("cell.terms_unrecovered"),

		listingsSent:   counter("cell.listings_sent"),
		listingsFailed: counter("cell.listings_failed"),
		listingLatency: histogram("cell.listing_ms"),
		depthsAnswered: counter("cell.depths_answered"),
		depthsRefused:  counter("cell.depths_refused"),
		tasksGivenUp:   counter("cell.tasks_given_up"),

		evacuatingWorkers:  gauge("cell.evacuating_workers"),
		evacuatingRuns:     gauge("cell.evacuating_runs"),
		bestEffortWaiting:  gauge("cell.best_effort_waiting"),
		bestEffortLoad:     gauge("cell.best_effort_load_percent"),
		jobsMoved:          counter("cell.jobs_moved"),
		jobsNotCommitted:   counter("cell.jobs_not_committed"),
		tasksTransferred:   counter("cell.tasks_transferred"),
		roomSearches:       counter("cell.room_searches"),
		roomSearchesFailed: counter("cell.room_searches_failed"),
		movesRevoked:       counter("cell.moves_revoked"),
		movesCancelled:     counter("cell.moves_cancelled"),
		copiesStarted:      counter("cell.copies_started"),
		copiesWon:          counter("cell.copies_won"),
		reservationsMade:   counter("cell.reservations_made"),
		interrupted:        gauge("cell.services_interrupted"),
		tasksHeld:          gauge("cell.tasks_held"),
		jobsHeld:           gauge("cell.jobs_held"),
		heldLimit:          gauge("cell.held_limit"),
		jobsDeferred:       gauge("cell.jobs_deferred"),
	}
	m.registerSubmissions(counter)
	m.handoversDeclined, m.releasesAbandoned, m.releasesIncomplete = counter("cell.handovers_declined"), counter("cell.releases_abandoned"), counter("cell.releases_incomplete")
	m.registerByReason()
	return m
}

// registerSubmissions registers the counters of submitted jobs.
func (m *instruments) registerSubmissions(counter func(name string) metrics.Counter) {
	m.jobsStored, m.jobsNotStored = counter("cell.jobs_stored"), counter("cell.jobs_not_stored")
	m.jobsRefusedFull, m.jobsWithdrawn = counter("cell.jobs_refused_full"), counter("cell.jobs_withdrawn")
	m.jobsWithoutSettings = counter("cell.jobs_without_settings")
}

// registerByReason registers the counters that exist for each reason or state, so that they
// are shown before the first event.
func (m *instruments) registerByReason() {
	for _, reason := range []port.EndReason{port.EndDone, port.EndFailed, port.EndStopped, port.EndLeaseExpired, port.EndGangBroken, port.EndGangTimeout} {
		m.endCounter(reason)
	}
	for _, reason := range []dispatch.LossReason{
		dispatch.LossWorkerRestarted, dispatch.LossWorkerGone, dispatch.LossLeaseExpired, dispatch.LossNotListed, dispatch.LossNeverListed,
	} {
		m.lossCounter(reason)
	}
	for _, o := range dispatch.Obstacles {
		m.obstacleCounter(o)
	}
	for _, end := range dispatch.ReservationEnds {
		m.reservationEndCounter(end)
	}
	for _, state := range []job.State{job.Completed, job.Failed, job.Cancelled} {
		m.finalCounter(state)
	}
}

func (m *instruments) endCounter(reason port.EndReason) metrics.Counter {
	return metrics.GetOrRegisterCounter("cell.tasks_ended."+string(reason), m.registry)
}

func (m *instruments) lossCounter(reason dispatch.LossReason) metrics.Counter {
	return metrics.GetOrRegisterCounter("cell.tasks_lost."+string(reason), m.registry)
}

func (m *instruments) reservationEndCounter(end dispatch.ReservationEnd) metrics.Counter {
	return metrics.GetOrRegisterCounter("cell.reservations_ended."+string(end), m.registry)
}

func (m *instruments) obstacleCounter(o dispatch.Obstacle) metrics.Counter {
	return metrics.GetOrRegisterCounter("cell.services_starved."+string(o), m.registry)
}

func (m *instruments) finalCounter(state job.State) metrics.Counter {
	return metrics.GetOrRegisterCounter("cell.jobs_final."+string(state), m.registry)
}

func (m *instruments) countEnd(reason port.EndReason) { m.endCounter(reason).Inc(1) }

func (m *instruments) countLost(reason dispatch.LossReason) { m.lossCounter(reason).Inc(1) }

func (m *instruments) countFinal(state job.State) { m.finalCounter(state).Inc(1) }

// observe records a latency in a histogram.
func observe(h metrics.Histogram, d time.Duration) { h.Update(d.Milliseconds()) }
