package jobs

import (
	"cmp"
	"slices"

	neighbours "auburnpier/internal/core/interference"
	"auburnpier/internal/domain"
)

// Bounds of the images that a preview names: for one step, and for all steps. Names of up to 200 B are known, so all take at most 17 KB.
const (
	maxStepNeighbours    = 4
	maxPreviewNeighbours = 64
)

// otherTeamsTasks stands for an image in a preview that the team cannot know: the names that teams give to their work are their own.
const otherTeamsTasks = "another team's tasks"

// describeLearned adds what was learned from earlier work to the descriptions of the steps. It only reads the models.
func (p *previewer) describeLearned(views []PreviewStep, steps []*step) {
	known := p.knownNeighbours(steps)
	for i, s := range steps {
		if p.learnsDurationOf(s.spec) {
			e := p.expectStep(s)
			views[i].Learned = &PreviewDuration{MeanMS: e.MeanMS, P90MS: e.P90MS, Confidence: e.Confidence}
		}
		views[i].Neighbours = known[s.imageOf()]
	}
}

// knownNeighbours returns the pairs that count in placement by the images of the steps, the strongest ones first.
func (p *previewer) knownNeighbours(steps []*step) map[neighbours.Image][]PreviewNeighbour {
	if p.separation == nil || len(p.separation.known) == 0 {
		return nil
	}
	byImage := make(map[neighbours.Image][]PreviewNeighbour)
	for _, s := range steps {
		byImage[s.imageOf()] = nil
	}
	add := func(of, beside neighbours.Image, pair neighbours.Pair, slowed bool) {
		if list, ok := byImage[of]; ok {
			byImage[of] = append(list, PreviewNeighbour{Image: string(beside), Factor: pair.Slowdown, Confidence: pair.Confidence, Slowed: slowed})
		}
	}
	for _, pair := range p.separation.known {
		add(pair.Victim, pair.Neighbour, pair, false)
		if pair.Victim != pair.Neighbour {
			add(pair.Neighbour, pair.Victim, pair, true)
		}
	}
	most := max(1, min(maxStepNeighbours, maxPreviewNeighbours/len(steps)))
	own := p.ownImages(steps)
	for image, list := range byImage {
		slices.SortStableFunc(list, func(a, b PreviewNeighbour) int { return cmp.Compare(b.Factor, a.Factor) })
		byImage[image] = list[:min(len(list), most)]
		for i, n := range byImage[image] {
			if !own[neighbours.Image(n.Image)] {
				byImage[image][i].Image = otherTeamsTasks
			}
		}
	}
	return byImage
}

// ownImages returns the images of the steps, and of the other open jobs of their team.
func (p *previewer) ownImages(steps []*step) map[neighbours.Image]bool {
	own, queues := make(map[neighbours.Image]bool), make(map[domain.QueueID]bool)
	for _, s := range steps {
		own[s.imageOf()] = true
	}
	for _, j := range p.jobs {
		if j.team.ID != p.team.ID || j.spec == nil || j.state.Terminal() {
			continue
		}
		for i := range j.spec.Steps {
			if image := j.spec.Steps[i].Image; image != "" {
				own[neighbours.Image(image)] = true
			} else {
				queues[j.queue.Name] = true
			}
		}
	}
	for queue := range queues {
		own[neighbours.ImageOf("", string(queue))] = true
	}
	return own
}
