package cell

import (
	"context"
	"errors"

	"github.com/bambooyard/bambooyard/cellmap"
	"github.com/bambooyard/bambooyard/internal/port"
)

// maxCellsOfJob bounds how many cells a request looks for a job in. A job is in at most
// cellmap.MaxMoves+1 cells in its life, and may move while it is looked for.
const maxCellsOfJob = cellmap.MaxMoves + 2

// inCellOf calls do with the cell that a job is in, again if the job is found in another.
func (g *Group) inCellOf(ctx context.Context, id string, do func(*Cell) error) error {
	for range maxCellsOfJob {
		c, err := g.find(ctx, id)
		if err != nil {
			return err
		}
		err = do(c)
		var other *OtherCellError
		if !errors.As(err, &other) {
			return err
		}
		if other.Cell < cellmap.Lead || other.Cell >= maxCells {
			return storeError(err, true)
		}
		g.locations.set(id, other.Cell, g.lead.Now())
	}
	return storeError(errors.New("the job moves too fast"), true)
}

// findElsewhere returns the row that tells where a job is that is not in this cell's table:
// its index row or, in the lead cell, its row there. A row without a version means that the
// job does not exist. Because a job may move between two reads, up to cellmap.MaxMoves
// times, that takes as many misses and two more, with the one in this cell's table.
func (c *Cell) findElsewhere(ctx context.Context, id string) (port.Row, error) {
	var row port.Row
	table := tableIndex
	for range cellmap.MaxMoves + 1 {
		var err error
		row, err = c.readRow(ctx, table, c.jobPartition(id), id)
		if err != nil || row.Version > 0 {
			return row, err
		}
		if table == tableIndex {
			table = tableJobs
		} else {
			table = tableIndex
		}
	}
	return row, nil
}
