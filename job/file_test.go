package job

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
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
