package settings_test

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/bambooyard/bambooyard/internal/settings"
)

var validFlags = []string{
	"--name=d1", "--region=hobart", "--data-centre=hobart-1", "--caller-address=127.0.0.1:1",
	"--operator-address=127.0.0.1:2", "--peer-address=[::1]:3", "--platform-address=127.0.0.1:4",
}

func TestParseReportsAllErrors(t *testing.T) {
	is := is.New(t)
	_, err := settings.Parse([]string{"--name=d1", "--region=hobart", "--caller-address=localhost:1", "--lease-ttl=soon", "--session-ttl=1s", "--memory-mb=-1", "--colour"})
	is.Equal(strings.Split(err.Error(), "\n"), []string{
		`setting --colour: value "--colour" is not known`,
		`setting --session-ttl: value "1s" must be at least 3s`,
		`setting --lease-ttl: value "soon" is not a duration such as 6s or 500ms`,
		`setting --memory-mb: value "-1" must not be negative`,
		`setting --data-centre: value "" must be given`,
		`setting --caller-address: value "localhost:1" is not an IP number with a port`,
		`setting --operator-address: value "" must be given`,
		`setting --peer-address: value "" must be given`,
		`setting --platform-address: value "" must be given`,
	})
}

func TestEnvironmentAndTokenFile(t *testing.T) {
	is := is.New(t)
	file := filepath.Join(t.TempDir(), "token")
	is.NoErr(os.WriteFile(file, []byte("s3cret\n"), 0o600))
	t.Setenv("BAMBOOYARD_OPERATOR_TOKEN_FILE", file)
	t.Setenv("BAMBOOYARD_SESSION_TTL", "9s")
	t.Setenv("BAMBOOYARD_MEMORY_MB", "284")
	parsed, err := settings.Parse(append(validFlags, "--print-settings"))
	is.NoErr(err)
	is.True(parsed.Print)
	is.Equal(parsed.Settings.OperatorToken, "s3cret")
	var out bytes.Buffer
	is.NoErr(parsed.Settings.Fprint(&out))
	is.True(strings.Contains(out.String(), "session-ttl=9s\n"))
	is.True(strings.Contains(out.String(), "memory-mb=284\n"))
	is.True(strings.Contains(out.String(), "max-descriptors=0\n"))
	is.True(strings.Contains(out.String(), "operator-token=(hidden)\n"))
	is.True(!strings.Contains(out.String(), "s3cret"))
}
