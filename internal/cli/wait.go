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

// waitOption is shared by the commands that make a revision.
type waitOption struct {
	Author  string        `long:"author" env:"USER" description:"name of the operator"`
	Wait    bool          `long:"wait" description:"wait until no daemon can serve under an older revision"`
	Timeout time.Duration `long:"timeout" default:"30s" description:"longest wait"`
}

// await waits for a revision to be in force if it was asked for.
func (t *tool) await(o waitOption, revision document.Revision) error {
	if !o.Wait {
		return nil
	}
	var a operator.Adoption
	for end := time.Now().Add(o.Timeout); ; time.Sleep(waitInterval) {
		if err := t.ask(http.MethodGet, fmt.Sprintf("/v1/config/adoption?revision=%d", revision), nil, nil, &a); err != nil {
			return err
		}
		if a.InForce && len(a.Adopted) > 0 {
			_, _ = fmt.Fprintf(t.out, "revision %d in force on %s\n", revision, strings.Join(a.Adopted, ", "))
			return nil
		}
		if !time.Now().Before(end) {
			return &NotInForceError{Revision: revision, Pending: a.Pending, Lost: a.Lost}
		}
	}
}
