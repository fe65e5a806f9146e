package cli

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/bambooyard/bambooyard/document"
	"github.com/bambooyard/bambooyard/internal/operator"
)

// adoptionPollInterval is the time between two polls of a revision's adoption.
const adoptionPollInterval = 200 * time.Millisecond

// changeOption holds the options of the commands that create a revision.
type changeOption struct {
	outputOption
	Author  string        `long:"author" env:"USER" description:"name of the operator"`
	Wait    bool          `long:"wait" description:"wait until no daemon can serve under an older revision"`
	Timeout time.Duration `long:"timeout" default:"30s" description:"longest wait"`
}

// changeResult is the outcome of a change, as JSON.
type changeResult struct {
	Head document.Head `json:"head"`
	// Adoption is set if the command waited for it.
	Adoption *operator.Adoption `json:"adoption,omitempty"`
}

// reportAccepted prints an accepted revision and, with --wait, waits until it
// is in force.
func (t *tool) reportAccepted(o changeOption, head document.Head) error {
	if !o.json() {
		_, _ = fmt.Fprintf(t.out, "revision %d accepted, digest %s\n", head.Revision, head.Digest)
	}
	result := changeResult{Head: head}
	var err error
	if o.Wait {
		result.Adoption, err = t.waitInForce(o.Timeout, head.Revision)
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

// waitInForce polls the adoption of a revision until it is in force. After the
// timeout the error is a NotInForceError.
func (t *tool) waitInForce(timeout time.Duration, revision document.Revision) (*operator.Adoption, error) {
	for deadline := time.Now().Add(timeout); ; time.Sleep(adoptionPollInterval) {
		var a operator.Adoption
		if err := t.callOperator(http.MethodGet, fmt.Sprintf("/v1/config/adoption?revision=%d", revision), nil, nil, &a); err != nil {
			return nil, err
		}
		if a.InForce && len(a.Adopted) > 0 {
			return &a, nil
		}
		if !time.Now().Before(deadline) {
			return &a, &NotInForceError{Revision: revision, Pending: a.Pending, Lost: a.Lost}
		}
	}
}
