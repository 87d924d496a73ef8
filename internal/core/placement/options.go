package placement

// Options configures an index.
type Options struct {
	// Packing selects between spreading tasks evenly (0) and filling the fullest worker
	// with enough free capacity (1). Values outside this range are clamped.
	Packing float64
}

// NewIndex returns an empty index.
func NewIndex(o Options) Index {
	return newIndex(o)
}

func newIndex(o Options) *index {
	return &index{
		bySlot:      nil,
		slots:       make(map[workerID]int32),
		countsByJob: make(map[jobID]*jobCounts),
		holds:       make(map[jobID]*hold),
		racks:       make(map[rackKey]int32),
		scorer:      newBalanceScorer(o.Packing),
	}
}
