package place

import "github.com/bambooyard/bambooyard/inventory"

// fitIndex finds the machines that a size fits on, in the order of their free
// processors. It is a treap keyed by free processors and machine number. Each
// node holds the maximum memory and accelerators of its subtree, so that a
// search skips subtrees in which nothing can fit.
type fitIndex struct {
	nodes []fitNode // by machine number plus one; zero means no node
	root  int32
}

type fitNode struct {
	free            inventory.Resources
	maxMemory       int64
	maxAccelerators int64
	left, right     int32
	priority        uint32
}

// newFitIndex returns an empty index for machines numbered below count.
func newFitIndex(count int) *fitIndex { return &fitIndex{nodes: make([]fitNode, count+1)} }

// priorityOf returns the heap priority of a node: a hash of its number, so that
// it is evenly distributed and the same on every run.
func priorityOf(n int32) uint32 {
	x := uint32(n) * 0x9e3779b1
	x ^= x >> 15
	x *= 0x85ebca6b
	return x ^ x>>13
}

func (t *fitIndex) insert(machine int, free inventory.Resources) {
	n := int32(machine + 1)
	t.nodes[n] = fitNode{free: free, priority: priorityOf(n)}
	t.updateMaxima(n)
	left, right := t.split(t.root, n)
	t.root = t.merge(t.merge(left, n), right)
}

func (t *fitIndex) remove(machine int) {
	t.root = t.removeNode(t.root, int32(machine+1))
}

// removeNode removes node n from the subtree at the given root and returns the
// new root.
func (t *fitIndex) removeNode(at, n int32) int32 {
	if at == n {
		return t.merge(t.nodes[n].left, t.nodes[n].right)
	}
	if t.less(n, at) {
		t.nodes[at].left = t.removeNode(t.nodes[at].left, n)
	} else {
		t.nodes[at].right = t.removeNode(t.nodes[at].right, n)
	}
	t.updateMaxima(at)
	return at
}

func (t *fitIndex) less(a, b int32) bool {
	x, y := t.nodes[a].free.MilliProcessors, t.nodes[b].free.MilliProcessors
	if x != y {
		return x < y
	}
	return a < b
}

// updateMaxima recomputes a node's maxima from its children.
func (t *fitIndex) updateMaxima(n int32) {
	node := &t.nodes[n]
	l, r := &t.nodes[node.left], &t.nodes[node.right]
	node.maxMemory, node.maxAccelerators = node.free.MemoryMB, node.free.Accelerators
	if node.left != 0 {
		node.maxMemory = max(node.maxMemory, l.maxMemory)
		node.maxAccelerators = max(node.maxAccelerators, l.maxAccelerators)
	}
	if node.right != 0 {
		node.maxMemory = max(node.maxMemory, r.maxMemory)
		node.maxAccelerators = max(node.maxAccelerators, r.maxAccelerators)
	}
}

// split divides a subtree into the nodes ordered before n and those ordered
// after it.
func (t *fitIndex) split(at, n int32) (left, right int32) {
	if at == 0 {
		return 0, 0
	}
	if t.less(at, n) {
		t.nodes[at].right, right = t.split(t.nodes[at].right, n)
		t.updateMaxima(at)
		return at, right
	}
	left, t.nodes[at].left = t.split(t.nodes[at].left, n)
	t.updateMaxima(at)
	return left, at
}

// merge joins two subtrees; every node of a must be ordered before every node
// of b.
func (t *fitIndex) merge(a, b int32) int32 {
	if a == 0 || b == 0 {
		return a + b
	}
	if t.nodes[a].priority > t.nodes[b].priority {
		t.nodes[a].right = t.merge(t.nodes[a].right, b)
		t.updateMaxima(a)
		return a
	}
	t.nodes[b].left = t.merge(a, t.nodes[b].left)
	t.updateMaxima(b)
	return b
}

// ascend calls visit for the machines that size fits on, in ascending order of
// free processors, until visit returns false.
func (t *fitIndex) ascend(size inventory.Resources, visit func(machine int) bool) {
	t.walk(t.root, size, visit)
}

func (t *fitIndex) walk(at int32, size inventory.Resources, visit func(machine int) bool) bool {
	if at == 0 {
		return true
	}
	node := &t.nodes[at]
	if node.maxMemory < size.MemoryMB || node.maxAccelerators < size.Accelerators {
		return true
	}
	if node.free.MilliProcessors >= size.MilliProcessors {
		if !t.walk(node.left, size, visit) {
			return false
		}
		if size.Fits(node.free) && !visit(int(at-1)) {
			return false
		}
	}
	return t.walk(node.right, size, visit)
}
