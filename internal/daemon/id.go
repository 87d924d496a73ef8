package daemon

import (
	"crypto/rand"
	"strings"
)

// newID returns a random name without a dot, unique in the cell.
func newID() string {
	return strings.ToLower(rand.Text())
}
