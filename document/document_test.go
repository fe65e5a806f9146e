package document_test

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/bambooyard/bambooyard/document"
	"github.com/bambooyard/bambooyard/inventory"
	"github.com/bambooyard/bambooyard/rules"
)

// TestBadDocuments compares the errors of each invalid file with its golden file;
// UPDATE_GOLDEN=1 rewrites the golden files.
func TestBadDocuments(t *testing.T) {
	is := is.New(t)
	files, err := filepath.Glob("testdata/bad/*.yaml")
	is.NoErr(err)
	is.True(len(files) > 20)
	for _, file := range files {
		body, err := os.ReadFile(file)
		is.NoErr(err)
		_, err = document.Decode(body)
		if err == nil {
			t.Errorf("%s: accepted", file)
			continue
		}
		golden := strings.TrimSuffix(file, ".yaml") + ".golden"
		if os.Getenv("UPDATE_GOLDEN") != "" {
			is.NoErr(os.WriteFile(golden, []byte(err.Error()+"\n"), 0o644))
		}
		want, readErr := os.ReadFile(golden)
		is.NoErr(readErr)
		if diff := cmp.Diff(string(want), err.Error()+"\n"); diff != "" {
			t.Errorf("%s: %s", file, diff)
		}
	}
}

func TestGoodDocuments(t *testing.T) {
	is := is.New(t)
	for _, file := range []string{"testdata/good/small.yaml", "../examples/association.yaml", "../examples/cooperative.yaml"} {
		body, err := os.ReadFile(file)
		is.NoErr(err)
		doc, err := document.Decode(body)
		is.NoErr(err)
		again, err := document.Encode(doc)
		is.NoErr(err)
		back, err := document.Decode(again)
		is.NoErr(err)
		is.Equal(len(document.Diff(doc, back)), 0)
	}
}

func TestExampleRegisterGivesTheExampleDocument(t *testing.T) {
	is := is.New(t)
	register, err := os.Open("../examples/association-register.csv")
	is.NoErr(err)
	defer register.Close()
	inv, err := inventory.ReadRegister(register)
	is.NoErr(err)
	body, err := os.ReadFile("../examples/association.yaml")
	is.NoErr(err)
	doc, err := document.Decode(body)
	is.NoErr(err)
	is.Equal(document.Diff(doc, document.Document{Inventory: inv, Rules: doc.Rules}), nil)
}

func drawDocument(t *rapid.T, label string) document.Document {
	var d document.Document
	names := rapid.SliceOfNDistinct(rapid.StringMatching(`[a-z]{1,6}`), 0, 5, rapid.ID[string]).Draw(t, label)
	for _, n := range names {
		d.Rules.Members = append(d.Rules.Members, rules.Member{Name: n, Weight: rapid.IntRange(1, 3).Draw(t, n)})
	}
	return d
}

func TestDiffIsEmptyOnlyForEqualDocuments(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := drawDocument(t, "a"), drawDocument(t, "b")
		weights := func(d document.Document) map[string]int {
			m := map[string]int{}
			for _, member := range d.Rules.Members {
				m[member.Name] = member.Weight
			}
			return m
		}
		if equal := cmp.Equal(weights(a), weights(b)); equal != (len(document.Diff(a, b)) == 0) {
			t.Fatalf("equal is %t, but the changes are %v", equal, document.Diff(a, b))
		}
		if len(document.Diff(a, b)) != len(document.Diff(b, a)) {
			t.Fatalf("the changes are not the same in both directions")
		}
	})
}

func ExampleDiff() {
	before := document.Document{Rules: rules.Rules{Members: []rules.Member{{Name: "conservators", Weight: 1}}}}
	after := document.Document{Rules: rules.Rules{Members: []rules.Member{{Name: "conservators", Weight: 2}}}}
	for _, change := range document.Diff(before, after) {
		fmt.Println(change)
	}
	// Output: rules.members[conservators].weight: 1 becomes 2
}
