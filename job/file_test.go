package job

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/bambooyard/bambooyard/intake"
)

// decodeAndValidate reads a job file and validates it as the job API does.
func decodeAndValidate(path string) (Spec, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Spec{}, err
	}
	spec, err := DecodeFile(data)
	if err != nil {
		return Spec{}, err
	}
	spec.ID = "j"
	return spec, spec.Validate()
}

func TestValidJobFiles(t *testing.T) {
	is := is.New(t)
	steps, err := decodeAndValidate("testdata/good.steps.yaml")
	is.NoErr(err)
	is.Equal(steps.Payload, "run=300ms")
	is.Equal(len(steps.Steps), 2)
	is.Equal(steps.Steps[0].Resources, Resources{MilliCPU: 500, MemoryMB: 100})
	is.Equal(steps.Steps[1].After, []int{0})
	is.Equal(steps.Steps[1].MaxUnavailable, -1)
	service, err := decodeAndValidate("testdata/good.service.yaml")
	is.NoErr(err)
	is.True(service.Steps[0].Service)
	is.Equal(service.Steps[0].MaxUnavailable, 1)
}

// Each file has one invalid field, which the error names.
func TestInvalidJobFiles(t *testing.T) {
	wantInError := map[string]string{
		"unknown-field": "milli_cores", "no-steps": "steps", "no-tasks": "steps[0].tasks", "after-later-step": "steps[0].after",
		"negative-memory": "steps[0].resources", "interval": "schedule.interval", "not-yaml": "job file is not valid",
	}
	files, err := filepath.Glob("testdata/bad.*.yaml")
	if err != nil || len(files) != len(wantInError) {
		t.Fatalf("%d files, %v", len(files), err)
	}
	for _, file := range files {
		name := strings.TrimSuffix(strings.TrimPrefix(filepath.Base(file), "bad."), ".yaml")
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := decodeAndValidate(file)
			is.True(err != nil)
			is.True(strings.Contains(err.Error(), wantInError[name]))
		})
	}
}

// A file that would take much more memory than its bytes is refused before it is parsed.
func TestStructureOfJobFilesIsBounded(t *testing.T) {
	is := is.New(t)
	var structure *intake.StructureError
	for _, text := range []string{
		"steps: [{}" + strings.Repeat(",{}", maxFileNodes) + "]",
		"steps: [&a {tasks: 1}" + strings.Repeat(",*a", maxFileNodes) + "]",
		"steps: " + strings.Repeat("[", 100) + strings.Repeat("]", 100),
	} {
		_, err := DecodeFile([]byte(text))
		is.True(errors.As(err, &structure))
	}
	step := "- {tasks: 1000, milli_processors: 500, memory_mb: 256, accelerators: 1, run_time_ms: 900, checkpoints: true, gang: true, same_rack: true, " +
		"label: a, data_rack: r, max_per_worker: 2, speculative: true, service: true, image: i, target_latency_ms: 50, best_effort: true, max_unavailable: 1, after: ["
	text := "payload: '" + strings.Repeat("-", 4000) + "'\nsteps:\n"
	for i := range MaxSteps {
		text += step + strings.TrimSuffix(strings.Repeat("0,", min(i, 20)), ",") + "]}\n"
	}
	spec, err := DecodeFile([]byte(text))
	is.NoErr(err)
	is.Equal(len(spec.Steps), MaxSteps)
}
