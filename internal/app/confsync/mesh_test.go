package confsync

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"auburnpier/internal/domain"
	"auburnpier/internal/port"
)

// mesh is a fake of the membership that connects the instances of a test. Every instance pings each
// other one twice a second, and acknowledgements carry statements.
type mesh struct {
	mu    sync.Mutex
	nodes []*meshNode
	cut   map[[2]int]bool
}

type meshNode struct {
	*instance
	mesh         *mesh
	index        int
	heard        map[domain.InstanceID]PeerStatement
	dead         bool
	peersUnknown bool // the set of instances is not known to this node
}

var errCut = errors.New("the peer is unreachable")

// newMesh returns a mesh of n instances. storeOf returns the store connection of instance i.
func newMesh(n int, storeOf func(i int) port.Store) *mesh {
	m := &mesh{cut: make(map[[2]int]bool)}
	for i := range n {
		node := &meshNode{mesh: m, index: i, heard: make(map[domain.InstanceID]PeerStatement)}
		node.instance = newInstance(storeOf(i), node)
		m.nodes = append(m.nodes, node)
	}
	return m
}

func (m *mesh) start(ctx context.Context) {
	for _, n := range m.nodes {
		n.start(ctx)
		go n.ping(ctx)
	}
}

// setCut cuts or restores the connection between two instances.
func (m *mesh) setCut(a, b int, cut bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.cut[[2]int{a, b}] = cut
	m.cut[[2]int{b, a}] = cut
}

func (m *mesh) reaches(a, b *meshNode) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return !m.cut[[2]int{a.index, b.index}] && !b.dead && !a.dead
}

func (n *meshNode) id() domain.InstanceID { return domain.InstanceID(fmt.Sprintf("i%d", n.index)) }

func (n *meshNode) ping(ctx context.Context) {
	for ctx.Err() == nil {
		for _, other := range n.mesh.nodes {
			if other == n || !n.mesh.reaches(n, other) {
				continue
			}
			p := PeerStatement{Instance: other.id(), PingSent: time.Now(), Statement: other.Statement()}
			n.mesh.mu.Lock()
			n.heard[other.id()] = p
			n.mesh.mu.Unlock()
			n.ReceiveStatement(p)
		}
		select {
		case <-ctx.Done():
		case <-time.After(500 * time.Millisecond):
		}
	}
}

// Statements implements Peers.
func (n *meshNode) Statements() ([]PeerStatement, bool) {
	n.mesh.mu.Lock()
	defer n.mesh.mu.Unlock()
	var list []PeerStatement
	for _, other := range n.mesh.nodes {
		if other == n || other.dead {
			continue
		}
		p := n.heard[other.id()]
		p.Instance = other.id()
		list = append(list, p)
	}
	return list, !n.peersUnknown
}

// FetchConfig implements Peers.
func (n *meshNode) FetchConfig(_ context.Context, from domain.InstanceID) ([]byte, error) {
	for _, other := range n.mesh.nodes {
		if other.id() != from || !n.mesh.reaches(n, other) {
			continue
		}
		if data, ok := other.Document(); ok {
			return data, nil
		}
	}
	return nil, errCut
}
