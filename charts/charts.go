// Package charts embeds the daemon's state charts and declares the names of their
// states and events.
package charts

import (
	"embed"

	"github.com/bambooyard/bambooyard/chart"
)

//go:embed *.yaml
var files embed.FS

// States and events of a batch task.
const (
	TaskPending    chart.State = "pending"
	TaskRunning    chart.State = "running"
	TaskStopping   chart.State = "stopping"
	TaskCancelling chart.State = "cancelling"
	TaskFinished   chart.State = "finished"
	TaskFailed     chart.State = "failed"
	TaskCancelled  chart.State = "cancelled"
	TaskRejected   chart.State = "rejected"

	TaskStart   chart.Event = "start"
	TaskFinish  chart.Event = "finish"
	TaskFail    chart.Event = "fail"
	TaskRetry   chart.Event = "retry"
	TaskLapse   chart.Event = "lapse"
	TaskEvict   chart.Event = "evict"
	TaskStopped chart.Event = "stopped"
	TaskCancel  chart.Event = "cancel"
	TaskReject  chart.Event = "reject"
)

// States and events of a target.
const (
	TargetLive      chart.State = "live"
	TargetSuspected chart.State = "suspected"
	TargetLeaving   chart.State = "leaving"
	TargetGone      chart.State = "gone"

	TargetSuspect chart.Event = "suspect"
	TargetRecover chart.Event = "recover"
	TargetLeave   chart.Event = "leave"
	TargetReturn  chart.Event = "return"
	TargetRemove  chart.Event = "remove"
)

// States and events of a daemon.
const (
	DaemonStarting chart.State = "starting"
	DaemonReady    chart.State = "ready"
	DaemonIsolated chart.State = "isolated"
	DaemonDraining chart.State = "draining"
	DaemonStopped  chart.State = "stopped"

	DaemonAdopt   chart.Event = "adopt"
	DaemonIsolate chart.Event = "isolate"
	DaemonStop    chart.Event = "stop"
	DaemonDrained chart.Event = "drained"
)

// States and events of the ownership of a shard by one daemon.
const (
	ShardIdle       chart.State = "idle"
	ShardRecovering chart.State = "recovering"
	ShardOwning     chart.State = "owning"

	ShardAcquire   chart.Event = "acquire"
	ShardRecovered chart.Event = "recovered"
	ShardLose      chart.Event = "lose"
	ShardRelease   chart.Event = "release"
)

// States and events of the adoption of a configuration revision by one daemon.
const (
	ConfigurationNone     chart.State = "none"
	ConfigurationFetching chart.State = "fetching"
	ConfigurationRetrying chart.State = "retrying"
	ConfigurationAdopted  chart.State = "adopted"

	ConfigurationAnnounce chart.Event = "announce"
	ConfigurationAdopt    chart.Event = "adopt"
	ConfigurationFail     chart.Event = "fail"
)

// States and events of a reused connection to a target.
const (
	ConnectionFresh   chart.State = "fresh"
	ConnectionProven  chart.State = "proven"
	ConnectionSuspect chart.State = "suspect"
	ConnectionClosed  chart.State = "closed"

	ConnectionAnswer chart.Event = "answer"
	ConnectionRest   chart.Event = "rest"
	ConnectionDoubt  chart.Event = "doubt"
	ConnectionStall  chart.Event = "stall"
	ConnectionClose  chart.Event = "close"
)

// The charts, loaded and checked at program start. Loading panics if a file and
// the names above differ.
var (
	Task = load("task.yaml", chart.Names{
		States: []chart.State{TaskPending, TaskRunning, TaskStopping, TaskCancelling,
			TaskFinished, TaskFailed, TaskCancelled, TaskRejected},
		Events: []chart.Event{TaskStart, TaskFinish, TaskFail, TaskRetry, TaskLapse,
			TaskEvict, TaskStopped, TaskCancel, TaskReject},
	})
	Target = load("target.yaml", chart.Names{
		States: []chart.State{TargetLive, TargetSuspected, TargetLeaving, TargetGone},
		Events: []chart.Event{TargetSuspect, TargetRecover, TargetLeave, TargetReturn, TargetRemove},
	})
	Daemon = load("daemon.yaml", chart.Names{
		States: []chart.State{DaemonStarting, DaemonReady, DaemonIsolated, DaemonDraining, DaemonStopped},
		Events: []chart.Event{DaemonAdopt, DaemonIsolate, DaemonStop, DaemonDrained},
	})
	Shard = load("shard.yaml", chart.Names{
		States: []chart.State{ShardIdle, ShardRecovering, ShardOwning},
		Events: []chart.Event{ShardAcquire, ShardRecovered, ShardLose, ShardRelease},
	})
	Configuration = load("configuration.yaml", chart.Names{
		States: []chart.State{ConfigurationNone, ConfigurationFetching, ConfigurationRetrying, ConfigurationAdopted},
		Events: []chart.Event{ConfigurationAnnounce, ConfigurationAdopt, ConfigurationFail},
	})
	Connection = load("connection.yaml", chart.Names{
		States: []chart.State{ConnectionFresh, ConnectionProven, ConnectionSuspect, ConnectionClosed},
		Events: []chart.Event{ConnectionAnswer, ConnectionRest, ConnectionDoubt, ConnectionStall, ConnectionClose},
	})
)

// All returns every chart in a fixed order.
func All() []*chart.Chart {
	return []*chart.Chart{Configuration, Connection, Daemon, Shard, Target, Task}
}

func load(name string, names chart.Names) *chart.Chart {
	data, err := files.ReadFile(name)
	if err != nil {
		panic(err)
	}
	return chart.MustLoad(data, names)
}
