// Package peerpb contains the messages that daemons exchange, generated from
// peer.proto by scripts/generate.sh.
package peerpb
