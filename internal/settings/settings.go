// Package settings defines the daemon's settings and checks them.
package settings

import (
	"errors"
	"fmt"
	"net/netip"
	"time"
)

// Settings are read from flags and environment variables only.
type Settings struct {
	Name       string `long:"name" env:"BAMBOOYARD_NAME" description:"name of this daemon" required:"true"`
	Region     string `long:"region" env:"BAMBOOYARD_REGION" description:"region that the daemon runs in" required:"true"`
	DataCentre string `long:"data-centre" env:"BAMBOOYARD_DATA_CENTRE" description:"data centre that the daemon runs in" required:"true"`

	CallerAddress   string `long:"caller-address" env:"BAMBOOYARD_CALLER_ADDRESS" description:"IP number and port for callers" required:"true"`
	OperatorAddress string `long:"operator-address" env:"BAMBOOYARD_OPERATOR_ADDRESS" description:"IP number and port for operators" required:"true"`
	PeerAddress     string `long:"peer-address" env:"BAMBOOYARD_PEER_ADDRESS" description:"IP number and port for other daemons" required:"true"`
	PlatformAddress string `long:"platform-address" env:"BAMBOOYARD_PLATFORM_ADDRESS" description:"IP number and port of the platform" required:"true"`

	OperatorToken     string `long:"operator-token" env:"BAMBOOYARD_OPERATOR_TOKEN" description:"secret that operators must send; none is demanded if left out"`
	OperatorTokenFile string `long:"operator-token-file" env:"BAMBOOYARD_OPERATOR_TOKEN_FILE" description:"file that holds the operator token"`

	SessionTTL   time.Duration `long:"session-ttl" env:"BAMBOOYARD_SESSION_TTL" default:"6s" description:"time after which a silent daemon's session ends"`
	LeaseTTL     time.Duration `long:"lease-ttl" env:"BAMBOOYARD_LEASE_TTL" default:"10s" description:"time for which a worker may run a task without renewal"`
	DrainDelay   time.Duration `long:"drain-delay" env:"BAMBOOYARD_DRAIN_DELAY" default:"2s" description:"time that the balancer needs to see a daemon leave"`
	DrainTimeout time.Duration `long:"drain-timeout" env:"BAMBOOYARD_DRAIN_TIMEOUT" default:"30s" description:"longest wait for requests in progress at a stop"`
}

// Error reports a setting whose value is not allowed.
type Error struct {
	Flag   string
	Value  string
	Reason string
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("setting --%s: value %q %s", e.Flag, e.Value, e.Reason)
}

// Check returns every mistake in the settings, joined; each is an *Error.
func (s Settings) Check() error {
	return errors.Join(
		checkAddress("caller-address", s.CallerAddress),
		checkAddress("operator-address", s.OperatorAddress),
		checkAddress("peer-address", s.PeerAddress),
		checkAddress("platform-address", s.PlatformAddress),
		checkPositive("session-ttl", s.SessionTTL),
		checkPositive("lease-ttl", s.LeaseTTL),
		checkPositive("drain-timeout", s.DrainTimeout),
	)
}

func checkAddress(flag, value string) error {
	if _, err := netip.ParseAddrPort(value); err != nil {
		return &Error{flag, value, "is not an IP number with a port"}
	}
	return nil
}

func checkPositive(flag string, value time.Duration) error {
	if value <= 0 {
		return &Error{flag, value.String(), "must be positive"}
	}
	return nil
}
