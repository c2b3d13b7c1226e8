package registry

import (
	"cmp"
	"slices"

	"github.com/loomgrade/loomgrade/internal/port"
)

// MaxNodes limits the registered nodes.
const MaxNodes = 4096

// Nodes holds the registered nodes, sorted by id. It never modifies a slice that it returned.
type Nodes struct {
	list   []port.NodeAddress
	shared bool
}

// Register adds or replaces a node; changed is false if the same node was registered.
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

// Put sets a node without checks, for replay by an observer.
func (n *Nodes) Put(node port.NodeAddress) {
	position, found := n.find(node.ID)
	n.unshare()
	if found {
		n.list[position] = node
		return
	}
	n.list = slices.Insert(n.list, position, node)
}

// Remove removes a node; changed is false if it was not registered.
func (n *Nodes) Remove(id port.NodeID) (changed bool) {
	position, found := n.find(id)
	if !found {
		return false
	}
	n.unshare()
	n.list = slices.Delete(n.list, position, position+1)
	return true
}

// List returns the nodes by id. The slice must not be modified.
func (n *Nodes) List() []port.NodeAddress {
	n.shared = true
	return n.list
}

// Import replaces the nodes with a sorted list.
func (n *Nodes) Import(list []port.NodeAddress) { n.list, n.shared = slices.Clone(list), false }

func (n *Nodes) find(id port.NodeID) (int, bool) {
	return slices.BinarySearchFunc(n.list, id, func(node port.NodeAddress, id port.NodeID) int { return cmp.Compare(node.ID, id) })
}

func (n *Nodes) unshare() {
	if n.shared {
		n.list, n.shared = slices.Clone(n.list), false
	}
}
