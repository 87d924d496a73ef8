package interference

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"math/bits"
	"slices"

	"github.com/fxamacker/cbor/v2"
)

// MaxStateBytes bounds the encoded state.
const MaxStateBytes = 16_384

// maxEncodedPairs keeps the encoded state within MaxStateBytes while names are short. Longer names leave less room.
const maxEncodedPairs = 400

const stateVersion = 1

// encodedPairBytes bounds the encoding of a pair without names, encodedNameBytes that of a name without its characters, and
// encodedHeadBytes the rest.
const (
	encodedPairBytes = 30
	encodedNameBytes = 12
	encodedHeadBytes = 64
)

type encodedState struct {
	Version       int           `cbor:"1,keyasint"`
	WrittenUnixMS int64         `cbor:"2,keyasint"`
	Images        []string      `cbor:"3,keyasint"`
	Victims       []noiseEntry  `cbor:"4,keyasint"`
	Pairs         []encodedPair `cbor:"5,keyasint"`
}

type noiseEntry struct {
	_     struct{} `cbor:",toarray"`
	Image uint16
	Noise float32
}

type encodedPair struct {
	_                 struct{} `cbor:",toarray"`
	Victim, Neighbour uint16
	Effect, Variance  float32
	Contrast          float32
	Workers           uint8
}

// Encode returns the state for another owner. Of the covariance only the variances are kept. The pairs of which least is known are left out if the
// state would exceed MaxStateBytes.
func (m *Model) Encode(nowMS, unixMS int64) ([]byte, error) {
	type entry struct {
		v *victim
		i int
	}
	var entries []entry
	for _, v := range m.victims {
		v.decay(nowMS)
		for i := range v.pairs {
			entries = append(entries, entry{v, i})
		}
	}
	slices.SortStableFunc(entries, func(a, b entry) int {
		return cmp.Compare(a.v.covariance[a.i][a.i], b.v.covariance[b.i][b.i])
	})
	s := encodedState{Version: stateVersion, WrittenUnixMS: unixMS}
	numbers := make(map[Image]uint16)
	room := MaxStateBytes - encodedHeadBytes
	number := func(image Image) uint16 {
		n, ok := numbers[image]
		if !ok {
			n = uint16(len(s.Images))
			numbers[image] = n
			s.Images = append(s.Images, string(image))
		}
		return n
	}
	noted := make(map[*victim]bool)
	for _, e := range entries[:min(len(entries), maxEncodedPairs)] {
		p := e.v.pairs[e.i]
		size := encodedPairBytes + 2*encodedNameBytes + len(e.v.image) + len(p.neighbour)
		if room -= size; room < 0 {
			break
		}
		victim := number(e.v.image)
		if !noted[e.v] {
			noted[e.v] = true
			s.Victims = append(s.Victims, noiseEntry{Image: victim, Noise: float32(e.v.noise)})
		}
		s.Pairs = append(s.Pairs, encodedPair{Victim: victim, Neighbour: number(p.neighbour), Effect: float32(p.effect),
			Variance: float32(e.v.covariance[e.i][e.i]), Contrast: float32(p.contrast),
			Workers: uint8(bits.OnesCount64(p.workers | p.earlierWorkers))})
	}
	return cbor.Marshal(s)
}

var errState = errors.New("the state of interference between tasks is not valid")

// Decode replaces the state by an encoded one. The model is unchanged if that is not valid, or of another version.
func (m *Model) Decode(data []byte, nowMS, unixMS int64) error {
	if len(data) > MaxStateBytes {
		return fmt.Errorf("%w: %d bytes, at most %d are read", errState, len(data), MaxStateBytes)
	}
	var s encodedState
	if err := cbor.Unmarshal(data, &s); err != nil {
		return fmt.Errorf("%w: %w", errState, err)
	}
	if s.Version != stateVersion {
		return fmt.Errorf("%w: version %d, only %d is read", errState, s.Version, stateVersion)
	}
	if len(s.Pairs) > maxEncodedPairs || len(s.Images) > 2*maxEncodedPairs {
		return fmt.Errorf("%w: too many pairs or images", errState)
	}
	for _, image := range s.Images {
		if len(image) > maxImageBytes {
			return fmt.Errorf("%w: an image has a name of %d bytes", errState, len(image))
		}
	}
	// What was known has decayed since it was written. Clocks of two VMs may differ, so a state from the future counts as just written.
	ageMS := min(max(0, unixMS-s.WrittenUnixMS), 100*halfLifeMS)
	read := Model{}
	for _, p := range s.Pairs {
		if int(p.Victim) >= len(s.Images) || int(p.Neighbour) >= len(s.Images) || !within(p.Effect, -5, 5) ||
			!within(p.Variance, 0, priorEffectVariance+0.001) || !within(p.Contrast, 0, 1e9) {
			return fmt.Errorf("%w: a pair is out of bounds", errState)
		}
		v := read.victim(Image(s.Images[p.Victim]), nowMS-ageMS)
		if v == nil {
			return fmt.Errorf("%w: too many victims", errState)
		}
		i := v.pairIndex(Image(s.Images[p.Neighbour]), nowMS-ageMS)
		if i < 0 {
			return fmt.Errorf("%w: too many neighbours", errState)
		}
		v.pairs[i].effect, v.pairs[i].contrast = float64(p.Effect), float64(p.Contrast)
		v.pairs[i].workers = 1<<min(p.Workers, 63) - 1
		v.covariance[i][i] = min(priorEffectVariance, max(1e-6, float64(p.Variance)))
	}
	for _, n := range s.Victims {
		if int(n.Image) >= len(s.Images) || !within(n.Noise, minNoise/2, 2*maxNoise) {
			return fmt.Errorf("%w: a variance is out of bounds", errState)
		}
		if i, ok := read.find(Image(s.Images[n.Image])); ok {
			read.victims[i].noise = float64(n.Noise)
		}
	}
	for _, v := range read.victims {
		v.decay(nowMS)
	}
	m.victims = read.victims
	return nil
}

func within(value float32, low, high float64) bool {
	return !math.IsNaN(float64(value)) && float64(value) >= low && float64(value) <= high
}
