package cli

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/bambooyard/bambooyard/document"
	"github.com/bambooyard/bambooyard/internal/operator"
)

// waitInterval is how often an adoption is asked for.
const waitInterval = 200 * time.Millisecond

type applyCommand struct {
	tool    *tool
	File    string        `short:"f" long:"file" required:"true" description:"document in YAML"`
	Author  string        `long:"author" env:"USER" description:"name of the operator"`
	BasedOn int64         `long:"based-on" default:"-1" description:"revision that the document was edited from; the one in force if left out"`
	Wait    bool          `long:"wait" description:"wait until every live daemon has adopted the document"`
	Timeout time.Duration `long:"timeout" default:"30s" description:"longest wait"`
}

// Execute implements flags.Commander.
func (c *applyCommand) Execute([]string) error {
	body, err := os.ReadFile(c.File)
	if err != nil {
		return err
	}
	if _, err := document.Decode(body); err != nil {
		return err
	}
	base := "http://" + c.tool.Operator + "/v1/config"
	if c.BasedOn < 0 {
		var current operator.Config
		if err := call(http.MethodGet, base, nil, nil, &current); err != nil {
			return err
		}
		c.BasedOn = int64(current.Head.Revision)
	}
	var head document.Head
	header := http.Header{operator.HeaderAuthor: {c.Author}}
	if err := call(http.MethodPut, fmt.Sprintf("%s?based_on=%d", base, c.BasedOn), header, body, &head); err != nil {
		return err
	}
	_, _ = fmt.Fprintf(c.tool.out, "revision %d accepted, digest %s\n", head.Revision, head.Digest)
	if !c.Wait {
		return nil
	}
	return c.wait(base, head.Revision)
}

func (c *applyCommand) wait(base string, revision document.Revision) error {
	var a operator.Adoption
	for end := time.Now().Add(c.Timeout); time.Now().Before(end); time.Sleep(waitInterval) {
		if err := call(http.MethodGet, fmt.Sprintf("%s/adoption?revision=%d", base, revision), nil, nil, &a); err != nil {
			return err
		}
		if a.InForce && len(a.Adopted) > 0 {
			_, _ = fmt.Fprintf(c.tool.out, "revision %d in force on %s\n", revision, strings.Join(a.Adopted, ", "))
			return nil
		}
	}
	return fmt.Errorf("revision %d is not yet in force on %s", revision, strings.Join(a.Pending, ", "))
}
