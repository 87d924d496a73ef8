package daemon

import (
	"crypto/rand"
	"strings"
)

// newID returns a random identifier that contains no dot and is unique in the cell.
func newID() string {
	return strings.ToLower(rand.Text())
}
