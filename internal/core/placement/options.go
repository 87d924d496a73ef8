package placement

// Options configures an index.
type Options struct {
	// Packing weighs full workers against even spreading, from 0 (spread
	// evenly) to 1 (fill the fullest worker that has room). Values outside are
	// clamped.
	Packing float64
}

// NewIndex returns an empty index.
func NewIndex(o Options) Index {
	return newIndex(o)
}

func newIndex(o Options) *index {
	return &index{
		bySlot: nil,
		slots:  make(map[workerID]int32),
		jobs:   make(map[jobID]*jobCounts),
		holds:  make(map[jobID]*hold),
		racks:  make(map[rackKey]int32),
		scorer: newBalanceScorer(o.Packing),
	}
}
