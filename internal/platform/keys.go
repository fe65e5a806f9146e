package platform

import "fmt"

// Keys of the rows and objects that the daemons keep.
const (
	// ConfigHeadKey is the row that names the document in force.
	ConfigHeadKey = "config/head"
	// SessionPrefix begins the rows of the daemons' sessions.
	SessionPrefix = "sessions/"
	// BurnPrefix begins the rows that name the stored burn counts.
	BurnPrefix = "burn/"
	// JobPrefix begins the rows of accepted jobs.
	JobPrefix = "jobs/"
)

// SessionKey is the row of a session.
func SessionKey(id string) string { return SessionPrefix + id }

// ConfigObjectKey is the object that holds a document's body.
func ConfigObjectKey(revision int64, digest string) string {
	return fmt.Sprintf("config-%d-%s", revision, digest)
}

// ClaimKey is the row of a claim on an idempotency key.
func ClaimKey(member, service, key string) string {
	return fmt.Sprintf("claims/%s/%s/%s", member, service, key)
}

// JobKey is the row of an accepted job.
func JobKey(member, key string) string { return JobPrefix + member + "/" + key }

// ShardHeadKey is the row that names a shard's owner.
func ShardHeadKey(shard string) string { return "shards/" + shard + "/head" }

// ShardLogPrefix begins the rows of a shard's log.
func ShardLogPrefix(shard string) string { return "shards/" + shard + "/log/" }

// ShardLogKey is the row of one group of a shard's records.
func ShardLogKey(shard string, sequence int64) string {
	return fmt.Sprintf("%s%012d", ShardLogPrefix(shard), sequence)
}

// InboxPrefix begins the rows of jobs that wait for a shard's owner.
func InboxPrefix(shard string) string { return "inbox/" + shard + "/" }

// InboxKey is the row of a job that waits for a shard's owner.
func InboxKey(shard, member, key string) string {
	return InboxPrefix(shard) + member + "/" + key
}

// ClaimTimesPrefix begins the rows that list claims by the time they were made.
const ClaimTimesPrefix = "claim-times/"

// ClaimTimesKey is the row that lists the claims of one transaction; the rows
// sort by time.
func ClaimTimesKey(unixMS int64, try string) string {
	return fmt.Sprintf("%s%013d/%s", ClaimTimesPrefix, unixMS, try)
}

// ResponseObjectKey is the object that holds the kept answer of a try.
func ResponseObjectKey(try string) string { return "answer-" + try }

// BurnKey is the row of one part of an hour's burn counts. The hour is in
// seconds since 1970 UTC.
func BurnKey(hour int64, part string) string {
	return fmt.Sprintf("%s%012d/%s", BurnPrefix, hour, part)
}
