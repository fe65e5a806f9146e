package cell

import (
	"os"
	"reflect"
	"regexp"
	"testing"

	"github.com/matryer/is"

	"github.com/bambooyard/bambooyard/dispatch"
)

// Guards against state of an owner that is lost at a change of owner without anyone having decided
// so: docs/design/recovery.md tells of every field where the next owner gets it.
func TestRecoveryTableNamesEveryField(t *testing.T) {
	is := is.New(t)
	doc, err := os.ReadFile("../../docs/design/recovery.md")
	is.NoErr(err)
	row := regexp.MustCompile(`(?m)^\| (Engine|term|committer) \| (\w+) \| (stored|learned|derived|only known) \| [^|]+ \|$`)
	documented := map[string]bool{}
	for _, m := range row.FindAllStringSubmatch(string(doc), -1) {
		is.True(!documented[m[1]+"."+m[2]]) // named once
		documented[m[1]+"."+m[2]] = true
	}
	for _, owner := range []reflect.Type{reflect.TypeFor[dispatch.Engine](), reflect.TypeFor[term](), reflect.TypeFor[committer]()} {
		for field := range owner.Fields() {
			name := owner.Name() + "." + field.Name
			if !documented[name] {
				t.Errorf("docs/design/recovery.md does not tell where the next owner gets %s", name)
			}
			delete(documented, name)
		}
	}
	is.Equal(len(documented), 0) // no field that is gone
}
