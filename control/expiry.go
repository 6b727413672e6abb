package control

import "container/heap"

// expiryNode links a ledger record into the expiry heap and the answer queue.
type expiryNode struct {
	record *LedgerRecord
	// heapIndex is the index in expiryNodes.
	heapIndex int
	// older and newer link the records with a stored answer.
	older, newer *expiryNode
}

// expiryHeap orders records by expiry time. Each operation takes O(log n).
type expiryHeap struct {
	nodes expiryNodes
}

func (h *expiryHeap) first() *expiryNode {
	if len(h.nodes) == 0 {
		return nil
	}
	return h.nodes[0]
}

func (h *expiryHeap) add(n *expiryNode)    { heap.Push(&h.nodes, n) }
func (h *expiryHeap) update(n *expiryNode) { heap.Fix(&h.nodes, n.heapIndex) }
func (h *expiryHeap) remove(n *expiryNode) { heap.Remove(&h.nodes, n.heapIndex) }

// expiryNodes implements heap.Interface.
type expiryNodes []*expiryNode

func (e expiryNodes) Len() int           { return len(e) }
func (e expiryNodes) Less(i, j int) bool { return e[i].record.Expires < e[j].record.Expires }

func (e expiryNodes) Swap(i, j int) {
	e[i], e[j] = e[j], e[i]
	e[i].heapIndex = i
	e[j].heapIndex = j
}

// Push implements heap.Interface.
func (e *expiryNodes) Push(x any) {
	n := x.(*expiryNode)
	n.heapIndex = len(*e)
	*e = append(*e, n)
}

// Pop implements heap.Interface.
func (e *expiryNodes) Pop() any {
	last := len(*e) - 1
	n := (*e)[last]
	(*e)[last] = nil
	*e = (*e)[:last]
	return n
}
