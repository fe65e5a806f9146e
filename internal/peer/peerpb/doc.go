// Package peerpb holds the messages of the protocol between daemons, generated
// from peer.proto by scripts/generate.sh.
package peerpb
