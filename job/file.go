package job

import (
	"bytes"
	"fmt"

	"github.com/goccy/go-yaml"

	"github.com/bambooyard/bambooyard/intake"
)

// file is a job file in YAML.
type file struct {
	Payload  string     `yaml:"payload"`
	Steps    []fileStep `yaml:"steps"`
	Schedule struct {
		Times       int   `yaml:"times"`
		FirstUnixMS int64 `yaml:"first_unix_ms"`
		IntervalMS  int64 `yaml:"interval_ms"`
	} `yaml:"schedule"`
}

type fileStep struct {
	Tasks           int     `yaml:"tasks"`
	MilliProcessors int64   `yaml:"milli_processors"`
	MemoryMB        int64   `yaml:"memory_mb"`
	Accelerators    int64   `yaml:"accelerators"`
	RunTimeMS       int64   `yaml:"run_time_ms"`
	After           []int   `yaml:"after"`
	Checkpoints     bool    `yaml:"checkpoints"`
	Gang            bool    `yaml:"gang"`
	SameRack        bool    `yaml:"same_rack"`
	Label           string  `yaml:"label"`
	DataRack        string  `yaml:"data_rack"`
	MaxPerWorker    int     `yaml:"max_per_worker"`
	Speculative     bool    `yaml:"speculative"`
	Service         bool    `yaml:"service"`
	Image           string  `yaml:"image"`
	TargetLatencyMS float64 `yaml:"target_latency_ms"`
	BestEffort      bool    `yaml:"best_effort"`
	// MaxUnavailable means no limit if it is omitted.
	MaxUnavailable *int `yaml:"max_unavailable"`
}

// maxFileNodes bounds the memory to decode a job file. A file with the greatest number of steps has
// fewer than 4,000 keys, values and lines, without the payload.
const maxFileNodes = 8192

// DecodeFile parses a job file. The result has no ID and no queue, and is not
// validated. An unknown field is an error.
func DecodeFile(data []byte) (Spec, error) {
	if err := intake.CheckYAML(data, maxFileNodes); err != nil {
		return Spec{}, fmt.Errorf("job file is not valid: %w", err)
	}
	var f file
	if err := yaml.NewDecoder(bytes.NewReader(data), yaml.Strict()).Decode(&f); err != nil {
		return Spec{}, fmt.Errorf("job file is not valid: %w", err)
	}
	spec := Spec{Payload: f.Payload, Schedule: Schedule{
		Times: f.Schedule.Times, FirstUnixMS: f.Schedule.FirstUnixMS, IntervalMS: f.Schedule.IntervalMS,
	}}
	for _, s := range f.Steps {
		spec.Steps = append(spec.Steps, s.step())
	}
	return spec, nil
}

func (s fileStep) step() Step {
	step := Step{
		Tasks:      s.Tasks,
		Resources:  Resources{MilliCPU: s.MilliProcessors, MemoryMB: s.MemoryMB, GPU: s.Accelerators},
		EstimateMS: s.RunTimeMS, After: s.After, Checkpoints: s.Checkpoints, Gang: s.Gang, SameRack: s.SameRack,
		Label: s.Label, DataRack: s.DataRack, MaxPerWorker: s.MaxPerWorker, Speculative: s.Speculative,
		Service: s.Service, Image: s.Image, TargetLatencyMS: s.TargetLatencyMS, BestEffort: s.BestEffort,
		MaxUnavailable: -1,
	}
	if s.MaxUnavailable != nil {
		step.MaxUnavailable = *s.MaxUnavailable
	}
	return step
}
