package agent

import "bergamotwing.example/wire"

// resultOverhead is counted for each held result besides its body, in bytes.
const resultOverhead = 256

// resultCache holds results up to a number of bytes, the oldest dropped first.
type resultCache struct {
	limit int
	bytes int
	held  map[wire.TaskRef]*wire.Result
	queue []wire.TaskRef // oldest first
}

func newResultCache(limit int) *resultCache {
	return &resultCache{limit: limit, held: map[wire.TaskRef]*wire.Result{}}
}

func (c *resultCache) add(res *wire.Result) {
	c.held[res.Task] = res
	c.queue = append(c.queue, res.Task)
	c.bytes += resultOverhead + len(res.Body)
	for c.bytes > c.limit {
		c.dropOldest()
	}
}

func (c *resultCache) get(task wire.TaskRef) *wire.Result { return c.held[task] }

func (c *resultCache) dropOldest() {
	oldest := c.queue[0]
	c.queue = c.queue[1:]
	c.bytes -= resultOverhead + len(c.held[oldest].Body)
	delete(c.held, oldest)
}
