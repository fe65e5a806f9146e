package sessions_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bambooyard/bambooyard/internal/fake"
	"github.com/bambooyard/bambooyard/internal/platform"
	"github.com/bambooyard/bambooyard/internal/sessions"
)

// renewingTable commits a renewal right after every scan.
type renewingTable struct {
	*fake.Platform
	renewal platform.Txn
}

func (t renewingTable) Scan(ctx context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	rows, err := t.Platform.Scan(ctx, prefix, after, limit)
	if err != nil {
		return nil, err
	}
	_, err = t.Commit(ctx, t.renewal)
	return rows, err
}

func TestSessionRenewedSinceTheScanIsNotFenced(t *testing.T) {
	is := is.New(t)
	row := []byte(`{"id":"d1-1","daemon":"d1","expires_unix_ms":1000}`)
	renewed := []byte(`{"id":"d1-1","daemon":"d1","expires_unix_ms":9000}`)
	table := renewingTable{fake.NewPlatform(), platform.Txn{Puts: []platform.Put{{Key: platform.SessionKey("d1-1"), Value: renewed}}}}
	_, err := table.Commit(t.Context(), platform.Txn{Puts: []platform.Put{{Key: platform.SessionKey("d1-1"), Value: row}}})
	is.NoErr(err)
	_, err = sessions.Forget(t.Context(), table, "d1", time.UnixMilli(5000))
	var conflict *platform.ConflictError
	is.True(errors.As(err, &conflict))
	rows, err := sessions.Read(t.Context(), table)
	is.NoErr(err)
	is.Equal(rows[0].FencedUnixMS, int64(0))
	is.Equal(rows[0].ExpiresUnixMS, int64(9000))
}

func TestUnreadableRowIsNamed(t *testing.T) {
	is := is.New(t)
	table := fake.NewPlatform()
	_, err := table.Commit(t.Context(), platform.Txn{Puts: []platform.Put{{Key: "sessions/x", Value: []byte("{")}}})
	is.NoErr(err)
	_, err = sessions.Read(t.Context(), table)
	is.Equal(err.Error(), "row sessions/x is not a session: unexpected end of JSON input")
}
