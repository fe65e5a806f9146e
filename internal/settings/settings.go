// Package settings reads the daemon's settings from flags and environment
// variables and checks them.
package settings

import (
	"errors"
	"fmt"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/jessevdk/go-flags"
)

// Settings has the settings of a daemon, from flags and environment variables.
type Settings struct {
	Name       string `long:"name" env:"BAMBOOYARD_NAME" description:"name of this daemon"`
	Region     string `long:"region" env:"BAMBOOYARD_REGION" description:"region that the daemon runs in"`
	DataCentre string `long:"data-centre" env:"BAMBOOYARD_DATA_CENTRE" description:"data centre that the daemon runs in"`

	CallerAddress   string `long:"caller-address" env:"BAMBOOYARD_CALLER_ADDRESS" description:"IP number and port for callers"`
	OperatorAddress string `long:"operator-address" env:"BAMBOOYARD_OPERATOR_ADDRESS" description:"IP number and port for operators"`
	PeerAddress     string `long:"peer-address" env:"BAMBOOYARD_PEER_ADDRESS" description:"IP number and port for other daemons"`
	PlatformAddress string `long:"platform-address" env:"BAMBOOYARD_PLATFORM_ADDRESS" description:"IP number and port of the platform"`

	OperatorToken     string `long:"operator-token" env:"BAMBOOYARD_OPERATOR_TOKEN" description:"secret that operators must send; none is demanded if left out" secret:"true"`
	OperatorTokenFile string `long:"operator-token-file" env:"BAMBOOYARD_OPERATOR_TOKEN_FILE" description:"file that holds the operator token"`

	MemoryMB       int64 `long:"memory-mb" env:"BAMBOOYARD_MEMORY_MB" description:"memory that the process may use, in units of 1,048,576 bytes; that of the machine if left out"`
	MaxDescriptors int   `long:"max-descriptors" env:"BAMBOOYARD_MAX_DESCRIPTORS" description:"file descriptors that the process may have open; as many as the operating system allows if left out"`

	// SessionTTL is how long a daemon's session lasts without renewal.
	SessionTTL time.Duration `no-flag:"true"`
	// LeaseTTL is how long a worker may run a task without renewal of its lease.
	LeaseTTL time.Duration `no-flag:"true"`
	// DrainDelay is how long the load balancer takes to detect that a daemon is
	// draining.
	DrainDelay time.Duration `no-flag:"true"`
	// DrainTimeout is the longest wait for requests in progress during a stop.
	DrainTimeout time.Duration `no-flag:"true"`
}

// flagValues has the flags, with durations as text so that all invalid values
// can be reported at once.
type flagValues struct {
	Settings
	SessionTTLText   string `long:"session-ttl" env:"BAMBOOYARD_SESSION_TTL" default:"5s" description:"time after which a silent daemon's session ends"`
	LeaseTTLText     string `long:"lease-ttl" env:"BAMBOOYARD_LEASE_TTL" default:"10s" description:"time for which a worker may run a task without renewal"`
	DrainDelayText   string `long:"drain-delay" env:"BAMBOOYARD_DRAIN_DELAY" default:"2s" description:"time that the balancer needs to see a daemon leave"`
	DrainTimeoutText string `long:"drain-timeout" env:"BAMBOOYARD_DRAIN_TIMEOUT" default:"30s" description:"longest wait for requests in progress at a stop"`
	Print            bool   `long:"print-settings" description:"print the settings, without secrets, and end"`
	ShowVersion      bool   `long:"version" description:"print the version and end"`
}

// Parsed is the result of parsing a command line.
type Parsed struct {
	Settings Settings
	// Print is set when the command should only print the settings.
	Print bool
	// ShowVersion is set when the command should only print the version.
	ShowVersion bool
}

// Parse parses flags and environment variables. The error is a *flags.Error when
// the parser rejects them or help is requested, or else joins one *Error for each
// invalid setting.
func Parse(args []string) (Parsed, error) {
	var v flagValues
	parser := flags.NewParser(&v, flags.HelpFlag|flags.PassDoubleDash|flags.IgnoreUnknown)
	parser.Name = "bambooyardd"
	rest, err := parser.ParseArgs(args)
	if err != nil {
		return Parsed{}, err
	}
	if v.ShowVersion {
		return Parsed{ShowVersion: true}, nil
	}
	var errs []error
	for _, arg := range rest {
		errs = append(errs, &Error{Flag: strings.TrimLeft(arg, "-"), Value: arg, Reason: "is not known"})
	}
	errs = append(errs,
		parseDuration("session-ttl", v.SessionTTLText, minSessionTTL, &v.SessionTTL),
		parseDuration("lease-ttl", v.LeaseTTLText, time.Millisecond, &v.LeaseTTL),
		parseDuration("drain-delay", v.DrainDelayText, 0, &v.DrainDelay),
		parseDuration("drain-timeout", v.DrainTimeoutText, time.Millisecond, &v.DrainTimeout),
		readToken(&v.Settings),
		checkNotNegative("memory-mb", v.MemoryMB),
		checkNotNegative("max-descriptors", int64(v.MaxDescriptors)),
		v.Check(),
	)
	return Parsed{Settings: v.Settings, Print: v.Print}, errors.Join(errs...)
}

// minSessionTTL leaves time to renew a session between two losses of the connection.
const minSessionTTL = 3 * time.Second

// parseDuration parses text into to and checks that it is at least minimum.
func parseDuration(flag, text string, minimum time.Duration, to *time.Duration) error {
	d, err := time.ParseDuration(text)
	if err != nil {
		return &Error{flag, text, "is not a duration such as 6s or 500ms"}
	}
	if d < minimum {
		return &Error{flag, text, "must be at least " + minimum.String()}
	}
	*to = d
	return nil
}

func checkNotNegative(flag string, n int64) error {
	if n < 0 {
		return &Error{flag, strconv.FormatInt(n, 10), "must not be negative"}
	}
	return nil
}

// readToken reads the operator token from OperatorTokenFile, if that is set.
func readToken(s *Settings) error {
	if s.OperatorTokenFile == "" {
		return nil
	}
	if s.OperatorToken != "" {
		return &Error{"operator-token-file", s.OperatorTokenFile, "must not be set with --operator-token"}
	}
	data, err := os.ReadFile(s.OperatorTokenFile)
	if err != nil {
		return &Error{"operator-token-file", s.OperatorTokenFile, "cannot be read: " + err.Error()}
	}
	s.OperatorToken = strings.TrimSpace(string(data))
	if s.OperatorToken == "" {
		return &Error{"operator-token-file", s.OperatorTokenFile, "holds no token"}
	}
	return nil
}

// Error reports a setting with an invalid value.
type Error struct {
	Flag   string
	Value  string
	Reason string
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("setting --%s: value %q %s", e.Flag, e.Value, e.Reason)
}

// Check returns all invalid names and addresses, joined; each is an *Error.
func (s Settings) Check() error {
	return errors.Join(
		checkRequired("name", s.Name),
		checkRequired("region", s.Region),
		checkRequired("data-centre", s.DataCentre),
		CheckAddress("caller-address", s.CallerAddress),
		CheckAddress("operator-address", s.OperatorAddress),
		CheckAddress("peer-address", s.PeerAddress),
		CheckAddress("platform-address", s.PlatformAddress),
	)
}

func checkRequired(flag, value string) error {
	if value == "" {
		return &Error{flag, value, "must be given"}
	}
	return nil
}

// CheckAddress returns an *Error unless value is an IP address with a port. Host
// names are not allowed.
func CheckAddress(flag, value string) error {
	if value == "" {
		return checkRequired(flag, value)
	}
	if _, err := netip.ParseAddrPort(value); err != nil {
		return &Error{flag, value, "is not an IP number with a port"}
	}
	return nil
}
