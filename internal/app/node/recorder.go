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

// bytesPerDecision is the estimate from which the bound of records in number
// becomes one in bytes.
const bytesPerDecision = 400

// recorder keeps the node's decision records, in memory and on disk. It is safe
// for use by many goroutines.
type recorder struct {
	node  port.NodeID
	boot  string
	count atomic.Uint64

	mutex sync.Mutex
	store *decision.Store
	spool *spool.Spool
}

// newRecorder makes a recorder; the boot time keeps the ids of two runs of a
// node apart.
func newRecorder(node port.NodeID, records int, boot time.Time) *recorder {
	return &recorder{
		node:  node,
		boot:  fmt.Sprintf("%x", boot.UnixMilli()),
		store: decision.NewStore(records * bytesPerDecision),
	}
}

// useSpool loads what an earlier run kept and goes on writing there.
func (r *recorder) useSpool(kept *spool.Spool, decisions []port.Decision) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.spool = kept
	for _, earlier := range decisions {
		r.store.Add(earlier)
	}
}

// newRequestID gives r-NODE-BOOT-NUMBER, from which nodeOfRequest reads who
// holds the records.
func (r *recorder) newRequestID() port.RequestID {
	return port.RequestID(fmt.Sprintf("r-%s-%s-%d", r.node, r.boot, r.count.Add(1)))
}

// nodeOfRequest gives the node that a request id names.
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

// record keeps a decision and fills in node and time where they are missing.
func (r *recorder) record(decided port.Decision) {
	if decided.Node == "" {
		decided.Node = r.node
	}
	if decided.Time == 0 {
		decided.Time = time.Now().UnixMilli()
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.store.Add(decided)
	if r.spool != nil {
		r.spool.Append(decided)
	}
}

// get gives the decisions about a subject, oldest first.
func (r *recorder) get(subject string) []port.Decision {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.store.Get(subject)
}

func (r *recorder) close() {
	r.mutex.Lock()
	kept := r.spool
	r.spool = nil
	r.mutex.Unlock()
	if kept != nil {
		kept.Close()
	}
}
