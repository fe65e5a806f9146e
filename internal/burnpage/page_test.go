package burnpage_test

import (
	"bytes"
	"encoding/xml"
	"errors"
	"flag"
	"io"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/matryer/is"

	"github.com/bambooyard/bambooyard/burn"
	"github.com/bambooyard/bambooyard/internal/burnpage"
	"github.com/bambooyard/bambooyard/rules"
)

var update = flag.Bool("update", false, "write the golden file anew")

const golden = "testdata/report.html"

func examplePage(t *testing.T) []byte {
	t.Helper()
	now := time.Date(2026, 1, 2, 0, 0, 0, 0, time.UTC)
	l := burn.NewLedger()
	for hour := range 24 {
		at := now.Add(-time.Duration(hour) * time.Hour)
		for i := range 100 {
			o := burn.Observation{At: at, Series: burn.Series{Service: "reorder", Member: "conservators"}, Latency: time.Duration(i) * time.Millisecond}
			if i < hour%5 {
				o.Outcome = burn.OutcomeLate
			}
			l.Observe(o)
			o.Series = burn.Series{Service: "stock-check", Member: "<script>"}
			o.Outcome = burn.OutcomeGood
			if i < (hour+2)%4 {
				o.Outcome = burn.OutcomeRefused
			}
			l.Observe(o)
		}
	}
	objectives := []rules.Objective{
		{Service: "reorder", LatencyMS: 500, Target: 0.99},
		{Service: "stock-check", LatencyMS: 250, Target: 0.95},
	}
	var page bytes.Buffer
	if err := burnpage.Write(&page, burn.NewReport(l, objectives, now), l); err != nil {
		t.Fatal(err)
	}
	return page.Bytes()
}

func TestPageMatchesGoldenFile(t *testing.T) {
	is := is.New(t)
	page := examplePage(t)
	if *update {
		is.NoErr(os.WriteFile(golden, page, 0o600))
	}
	want, err := os.ReadFile(golden)
	is.NoErr(err)
	if diff := cmp.Diff(strings.Split(string(want), "\n"), strings.Split(string(page), "\n")); diff != "" {
		t.Fatalf("page differs (-want +got):\n%s", diff)
	}
}

func TestPageIsWellFormedAndNeedsNoOtherFile(t *testing.T) {
	is := is.New(t)
	page := examplePage(t)
	is.True(!strings.Contains(string(page), "<script>"))
	is.True(!strings.Contains(string(page), "src="))
	d := xml.NewDecoder(bytes.NewReader(page))
	d.Strict = false
	d.AutoClose = xml.HTMLAutoClose
	d.Entity = xml.HTMLEntity
	for {
		_, err := d.Token()
		if errors.Is(err, io.EOF) {
			break
		}
		is.NoErr(err)
	}
}

func TestEmptyReportHasAPage(t *testing.T) {
	is := is.New(t)
	l := burn.NewLedger()
	var page bytes.Buffer
	is.NoErr(burnpage.Write(&page, burn.NewReport(l, nil, time.Unix(0, 0)), l))
	is.True(strings.Contains(page.String(), "No request has been counted."))
}
