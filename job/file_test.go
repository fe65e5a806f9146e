package job

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// decodeAndCheck reads a job file and validates it as an entry would.
func decodeAndCheck(path string) (Spec, error) {
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

func TestGoodJobFiles(t *testing.T) {
	is := is.New(t)
	steps, err := decodeAndCheck("testdata/good.steps.yaml")
	is.NoErr(err)
	is.Equal(steps.Payload, "run=300ms")
	is.Equal(len(steps.Steps), 2)
	is.Equal(steps.Steps[0].Resources, Resources{MilliCPU: 500, MemoryMB: 100})
	is.Equal(steps.Steps[1].After, []int{0})
	is.Equal(steps.Steps[1].MaxUnavailable, -1)
	service, err := decodeAndCheck("testdata/good.service.yaml")
	is.NoErr(err)
	is.True(service.Steps[0].Service)
	is.Equal(service.Steps[0].MaxUnavailable, 1)
}

// Each file has one mistake, which the error names.
func TestBadJobFiles(t *testing.T) {
	named := map[string]string{
		"unknown-field": "milli_cores", "no-steps": "steps", "no-tasks": "steps[0].tasks", "after-later-step": "steps[0].after",
		"negative-memory": "steps[0].resources", "interval": "schedule.interval", "not-yaml": "job file is not valid",
	}
	files, err := filepath.Glob("testdata/bad.*.yaml")
	if err != nil || len(files) != len(named) {
		t.Fatalf("%d files, %v", len(files), err)
	}
	for _, file := range files {
		name := strings.TrimSuffix(strings.TrimPrefix(filepath.Base(file), "bad."), ".yaml")
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := decodeAndCheck(file)
			is.True(err != nil)
			is.True(strings.Contains(err.Error(), named[name]))
		})
	}
}
