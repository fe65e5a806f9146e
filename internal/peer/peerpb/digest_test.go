package peerpb

import (
	"crypto/sha256"
	"encoding/hex"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"
)

func TestGeneratedCodeMatchesProto(t *testing.T) {
	is := is.New(t)
	source, err := os.ReadFile("peer.proto")
	is.NoErr(err)
	recorded, err := os.ReadFile("peer.proto.sha256")
	is.NoErr(err)
	sum := sha256.Sum256(source)
	is.Equal(hex.EncodeToString(sum[:]), strings.TrimSpace(string(recorded))) // run scripts/generate.sh
}
