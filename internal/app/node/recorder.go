package node

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/loomgrade/loomgrade/internal/app/node/spool"
	"github.com/loomgrade/loomgrade/internal/core/decision"
	"github.com/loomgrade/loomgrade/internal/port"
)

// bytesPerDecision is the estimated size of a record, which converts a limit in records
// to one in bytes.
const bytesPerDecision = 400

// recorder stores the node's decision records, in memory and on disk. It is safe for
// concurrent use.
type recorder struct {
	node   port.NodeID
	bootID string
	count  atomic.Uint64

	mutex sync.Mutex
	store *decision.Store
	spool *spool.Spool
}

// newRecorder returns a recorder. The boot time distinguishes the ids of different runs
// of a node.
func newRecorder(node port.NodeID, records int, boot time.Time) *recorder {
	return &recorder{
		node:   node,
		bootID: fmt.Sprintf("%x", boot.UnixMilli()),
		store:  decision.NewStore(records * bytesPerDecision),
	}
}

// useSpool adds the decisions of earlier runs, and appends further ones to the spool.
func (r *recorder) useSpool(opened *spool.Spool, decisions []port.Decision) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.spool = opened
	for _, earlier := range decisions {
		r.store.Add(earlier)
	}
}

// newRequestID returns r-NODE-BOOT-NUMBER; nodeOfRequest parses the node from it.
func (r *recorder) newRequestID() port.RequestID {
	return port.RequestID(fmt.Sprintf("r-%s-%s-%d", r.node, r.bootID, r.count.Add(1)))
}

// nodeOfRequest returns the node named by a request id.
func nodeOfRequest(subject string) (port.NodeID, bool) {
	body, found := strings.CutPrefix(subject, "r-")
	if !found {
		return "", false
	}
	parts := strings.Split(body, "-")
	if len(parts) < 3 {
		return "", false
	}
	return port.NodeID(strings.Join(parts[:len(parts)-2], "-")), true
}

// record stores a decision, with this node and the current time if they are missing.
func (r *recorder) record(d port.Decision) {
	if d.Node == "" {
		d.Node = r.node
	}
	if d.Time == 0 {
		d.Time = time.Now().UnixMilli()
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.store.Add(d)
	if r.spool != nil {
		r.spool.Append(d)
	}
}

// get returns the decisions about a subject, oldest first.
func (r *recorder) get(subject string) []port.Decision {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.store.Get(subject)
}

func (r *recorder) close() {
	r.mutex.Lock()
	opened := r.spool
	r.spool = nil
	r.mutex.Unlock()
	if opened != nil {
		opened.Close()
	}
}
