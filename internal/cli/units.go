package cli

import (
	"math"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

// CPU is an amount of processor time: cores such as "2.5", or thousandths of
// a core such as "500m".
type CPU int64

// UnmarshalText implements encoding.TextUnmarshaler.
func (c *CPU) UnmarshalText(text []byte) error {
	s := string(text)
	if milli, ok := strings.CutSuffix(s, "m"); ok {
		n, err := strconv.ParseInt(milli, 10, 64)
		if err != nil {
			return errors.Newf("%q is not an amount of processor time, write cores such as 2.5 or thousandths such as 500m", s)
		}
		*c = CPU(n)
		return nil
	}
	n, ok := scaled(s, 1000)
	if !ok {
		return errors.Newf("%q is not an amount of processor time, write cores such as 2.5 or thousandths such as 500m", s)
	}
	*c = CPU(n)
	return nil
}

// maxAmount is the largest amount that is read, in the unit that is sent. Up to
// it a number with a fraction is exact to the whole unit.
const maxAmount = 1e15

// scaled reads a number and multiplies it. It reports false for what is no
// number or does not fit.
func scaled(text string, factor float64) (int64, bool) {
	n, err := strconv.ParseFloat(text, 64)
	if n *= factor; err != nil || !(math.Abs(n) <= maxAmount) {
		return 0, false
	}
	return int64(n), true
}

// Memory is an amount of memory in megabytes, written with a unit: "512MB", "4GB".
type Memory int64

// UnmarshalText implements encoding.TextUnmarshaler.
func (m *Memory) UnmarshalText(text []byte) error {
	s := string(text)
	for _, unit := range []struct {
		suffix string
		factor float64
	}{{"MB", 1}, {"GB", 1000}, {"TB", 1e6}} {
		number, ok := strings.CutSuffix(s, unit.suffix)
		if !ok {
			continue
		}
		n, ok := scaled(number, unit.factor)
		if !ok {
			break
		}
		*m = Memory(n)
		return nil
	}
	return errors.Newf("%q is not an amount of memory, write megabytes such as 512MB or gigabytes such as 4GB", s)
}
