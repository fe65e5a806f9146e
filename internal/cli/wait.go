package cli

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/bambooyard/bambooyard/document"
	"github.com/bambooyard/bambooyard/internal/operator"
)

// waitInterval is how often an adoption is asked for.
const waitInterval = 200 * time.Millisecond

// changeOption is shared by the commands that make a revision.
type changeOption struct {
	outputOption
	Author  string        `long:"author" env:"USER" description:"name of the operator"`
	Wait    bool          `long:"wait" description:"wait until no daemon can serve under an older revision"`
	Timeout time.Duration `long:"timeout" default:"30s" description:"longest wait"`
}

// changeResult is what a change came to, as JSON.
type changeResult struct {
	Head document.Head `json:"head"`
	// Adoption is set if it was waited for.
	Adoption *operator.Adoption `json:"adoption,omitempty"`
}

// accepted reports an accepted revision and waits for it if that was asked for.
func (t *tool) accepted(o changeOption, head document.Head) error {
	if !o.json() {
		_, _ = fmt.Fprintf(t.out, "revision %d accepted, digest %s\n", head.Revision, head.Digest)
	}
	result := changeResult{Head: head}
	var err error
	if o.Wait {
		result.Adoption, err = t.await(o.Timeout, head.Revision)
	}
	switch {
	case o.json():
		if printErr := printJSON(t.out, result); printErr != nil {
			return printErr
		}
	case o.Wait && err == nil:
		_, _ = fmt.Fprintf(t.out, "revision %d in force on %s\n", head.Revision, strings.Join(result.Adoption.Adopted, ", "))
	}
	return err
}

// await asks for the adoption of a revision until it is in force.
func (t *tool) await(timeout time.Duration, revision document.Revision) (*operator.Adoption, error) {
	for end := time.Now().Add(timeout); ; time.Sleep(waitInterval) {
		var a operator.Adoption
		if err := t.ask(http.MethodGet, fmt.Sprintf("/v1/config/adoption?revision=%d", revision), nil, nil, &a); err != nil {
			return nil, err
		}
		if a.InForce && len(a.Adopted) > 0 {
			return &a, nil
		}
		if !time.Now().Before(end) {
			return &a, &NotInForceError{Revision: revision, Pending: a.Pending, Lost: a.Lost}
		}
	}
}
