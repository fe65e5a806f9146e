package platform

import "fmt"

// Keys of the rows and objects that the daemons store.
const (
	// ConfigHeadKey is the key of the row that names the document in force.
	ConfigHeadKey = "config/head"
	// SessionPrefix is the key prefix of the daemons' sessions.
	SessionPrefix = "sessions/"
	// BurnPrefix is the key prefix of the rows that name the stored burn counts.
	BurnPrefix = "burn/"
	// JobPrefix is the key prefix of accepted jobs.
	JobPrefix = "jobs/"
)

// SessionKey returns the key of a session's row.
func SessionKey(id string) string { return SessionPrefix + id }

// ConfigObjectKey returns the key of the object that holds a document's body.
func ConfigObjectKey(revision int64, digest string) string {
	return fmt.Sprintf("config-%d-%s", revision, digest)
}

// ClaimKey returns the key of the row of a claim on an idempotency key.
func ClaimKey(member, service, key string) string {
	return fmt.Sprintf("claims/%s/%s/%s", member, service, key)
}

// JobKey returns the key of an accepted job's row.
func JobKey(member, key string) string { return JobPrefix + member + "/" + key }

// ShardHeadKey returns the key of the row that names a shard's owner.
func ShardHeadKey(shard string) string { return "shards/" + shard + "/head" }

// ShardLogPrefix returns the key prefix of a shard's log.
func ShardLogPrefix(shard string) string { return "shards/" + shard + "/log/" }

// ShardLogKey returns the key of the row of one batch of log records. Keys sort
// by sequence number.
func ShardLogKey(shard string, sequence int64) string {
	return fmt.Sprintf("%s%012d", ShardLogPrefix(shard), sequence)
}

// InboxPrefix returns the key prefix of the jobs that wait for a shard's owner.
func InboxPrefix(shard string) string { return "inbox/" + shard + "/" }

// InboxKey returns the key of the row of a job that waits for the shard's owner.
func InboxKey(shard, member, key string) string {
	return InboxPrefix(shard) + member + "/" + key
}

// ClaimTimesPrefix is the key prefix of the index of claims by creation time.
const ClaimTimesPrefix = "claim-times/"

// ClaimTimesKey returns the key of the index row that lists the claims of one
// transaction. Keys sort by time.
func ClaimTimesKey(unixMS int64, attempt string) string {
	return fmt.Sprintf("%s%013d/%s", ClaimTimesPrefix, unixMS, attempt)
}

// ResponseObjectKey returns the key of the object that holds the stored response
// of an attempt.
func ResponseObjectKey(attempt string) string { return "answer-" + attempt }

// BurnKey returns the key of the row of one part of an hour's burn counts. The
// hour is given by its start, in seconds since 1970 UTC.
func BurnKey(hour int64, part string) string {
	return fmt.Sprintf("%s%012d/%s", BurnPrefix, hour, part)
}
