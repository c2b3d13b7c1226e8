package registry

import (
	"cmp"
	"slices"

	"github.com/loomgrade/loomgrade/internal/port"
)

// MaxNodes bounds the registered nodes.
const MaxNodes = 4096

// Nodes holds the registered nodes, sorted by id. It never changes a slice that
// it gave out.
type Nodes struct {
	list   []port.NodeAddress
	shared bool
}

// Register adds or replaces a node; changed is false if it stood so already.
func (n *Nodes) Register(node port.NodeAddress) (changed bool, refusal *port.Error) {
	if refusal := validateNode(node); refusal != nil {
		return false, refusal
	}
	position, found := n.find(node.ID)
	if found && n.list[position] == node {
		return false, nil
	}
	if !found && len(n.list) >= MaxNodes {
		return false, port.NewError(port.NotRun, port.CodeTooLarge, "%d nodes are registered, the most there may be", MaxNodes)
	}
	n.Put(node)
	return true, nil
}

// Put sets a node without checks, as an observer replays it.
func (n *Nodes) Put(node port.NodeAddress) {
	position, found := n.find(node.ID)
	n.own()
	if found {
		n.list[position] = node
		return
	}
	n.list = slices.Insert(n.list, position, node)
}

// Remove forgets a node; changed is false if it was not registered.
func (n *Nodes) Remove(id port.NodeID) (changed bool) {
	position, found := n.find(id)
	if !found {
		return false
	}
	n.own()
	n.list = slices.Delete(n.list, position, position+1)
	return true
}

// List gives the nodes by id. The slice must not be changed.
func (n *Nodes) List() []port.NodeAddress {
	n.shared = true
	return n.list
}

// Import replaces the nodes by a sorted list.
func (n *Nodes) Import(list []port.NodeAddress) { n.list, n.shared = slices.Clone(list), false }

func (n *Nodes) find(id port.NodeID) (int, bool) {
	return slices.BinarySearchFunc(n.list, id, func(node port.NodeAddress, id port.NodeID) int { return cmp.Compare(node.ID, id) })
}

func (n *Nodes) own() {
	if n.shared {
		n.list, n.shared = slices.Clone(n.list), false
	}
}
