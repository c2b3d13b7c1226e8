package node

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"sync"

	"github.com/loomgrade/loomgrade/internal/core/decision"
	"github.com/loomgrade/loomgrade/internal/core/nodestate"
	"github.com/loomgrade/loomgrade/internal/port"
)

// maxQueriedNodes limits the nodes queried about a subject whose id does not name a node.
const maxQueriedNodes = 64

// Explain returns a plain-text explanation of the decisions about a subject, and their
// records. It reads the local records, and queries the node that the id names or, if
// it names none, every node that may have a record.
func (n *Node) Explain(ctx context.Context, subject string) ([]string, []port.Decision, error) {
	subject = n.canonical(subject)
	decisions := n.recorder.get(subject)
	for _, answer := range n.queryDecisions(ctx, subject, n.holders(subject)) {
		decisions = append(decisions, answer...)
	}
	decisions = distinct(decisions)
	return decision.Explain(subject, decisions), decisions, nil
}

// canonical returns the subject of the records: operators may name a replica by its id
// alone, and a batch as b-POOL-NUMBER-ATTEMPT.
func (n *Node) canonical(subject string) string {
	if _, configured := n.snapshot.Load().Replicas[port.ReplicaID(subject)]; configured {
		return nodestate.ReplicaSubject(port.ReplicaID(subject))
	}
	if pool, found := poolOfBatch(subject); found {
		return batchSubject(pool, subject)
	}
	return subject
}

// poolOfBatch returns the pool of b-POOL-NUMBER-ATTEMPT; the pool's name may contain
// hyphens.
func poolOfBatch(subject string) (pool port.PoolName, found bool) {
	rest, found := strings.CutPrefix(subject, "b-")
	parts := strings.Split(rest, "-")
	if !found || len(parts) < 3 {
		return "", false
	}
	return port.PoolName(strings.Join(parts[:len(parts)-2], "-")), true
}

const (
	batchPrefix = "batch/"
)

// batchSubject converts the coordinator's b-POOL-NUMBER-ATTEMPT to batch/POOL/NUMBER,
// the common subject of all attempts at a batch.
func batchSubject(pool port.PoolName, subject string) string {
	rest, found := strings.CutPrefix(subject, "b-"+string(pool)+"-")
	if !found {
		return subject
	}
	number, _, _ := strings.Cut(rest, "-")
	return batchPrefix + string(pool) + "/" + number
}

// holders lists the nodes to query about a subject.
func (n *Node) holders(subject string) []port.NodeAddress {
	current := n.snapshot.Load()
	if id, named := nodeOfRequest(subject); named {
		if holder, known := current.Nodes[id]; known && id != n.config.ID {
			return []port.NodeAddress{holder}
		}
		return nil
	}
	var others []port.NodeAddress
	for id, node := range current.Nodes {
		if id != n.config.ID && len(others) < maxQueriedNodes {
			others = append(others, node)
		}
	}
	return others
}

// queryDecisions queries nodes concurrently and returns the answers received.
func (n *Node) queryDecisions(ctx context.Context, subject string, holders []port.NodeAddress) [][]port.Decision {
	ctx, cancel := context.WithTimeout(ctx, n.config.Intervals.CallTimeout)
	defer cancel()
	answers := make([][]port.Decision, len(holders))
	var calls sync.WaitGroup
	for index, holder := range holders {
		calls.Go(func() {
			var answer explainAnswer
			if n.peers.call(ctx, holder.PeerAddress, methodExplain, explainCall{Subject: subject}, &answer) == nil {
				answers[index] = answer.Decisions
			}
		})
	}
	calls.Wait()
	return answers
}

// distinct sorts decisions by time and removes duplicates.
func distinct(decisions []port.Decision) []port.Decision {
	slices.SortStableFunc(decisions, func(a, b port.Decision) int { return cmp.Compare(a.Time, b.Time) })
	return slices.CompactFunc(decisions, func(a, b port.Decision) bool {
		return a.Time == b.Time && a.Kind == b.Kind && a.Node == b.Node && a.Replica == b.Replica &&
			a.Attempt == b.Attempt && a.Detail == b.Detail
	})
}
