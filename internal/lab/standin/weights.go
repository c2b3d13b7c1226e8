package standin

import (
	"cmp"
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/loomgrade/loomgrade/internal/lab/engine"
	"github.com/loomgrade/loomgrade/internal/port/api"
)

// WeightStore simulates the weight store.
type WeightStore struct {
	*server
	config WeightStoreConfig

	mutex sync.Mutex
	rate  *engine.Store
}

// WeightStoreConfig describes a weight store.
type WeightStoreConfig struct {
	Common
	// BytesPerSecond is the total rate of all downloads. Default 64 MiB/s.
	BytesPerSecond int64
	// Bytes is the size of every version. Default 4 MiB.
	Bytes int64
}

// weightChunkBytes is the size of one write.
const weightChunkBytes = 64 << 10

// StartWeightStore starts a weight store. It runs until ctx ends or Close is
// called.
func StartWeightStore(ctx context.Context, config WeightStoreConfig) (*WeightStore, error) {
	config.BytesPerSecond = cmp.Or(config.BytesPerSecond, 64<<20)
	config.Bytes = cmp.Or(config.Bytes, 4<<20)
	s := &WeightStore{config: config, rate: engine.NewStore(config.BytesPerSecond)}
	s.server = newServer(ctx, config.Common, FaultCrash, FaultHang, FaultSlow, FaultRefuse, FaultCut)
	s.inject = s.injectFault
	s.mux.HandleFunc("GET "+api.PathWeightsBlob, s.handleBlob)
	if err := s.listen(config.Listen); err != nil {
		return nil, err
	}
	return s, nil
}

func (s *WeightStore) injectFault(fault Fault) error {
	if fault.Kind == FaultCrash {
		s.crash(fault.Duration(), func() {}, func() {})
		return nil
	}
	return s.faults.set(fault)
}

func (s *WeightStore) handleBlob(w http.ResponseWriter, r *http.Request) {
	if s.applyFaults(w, r) {
		return
	}
	w.Header().Set("Content-Length", strconv.FormatInt(s.config.Bytes, 10))
	chunk := make([]byte, weightChunkBytes)
	_, cut := s.faults.consume(FaultCut)
	for sent := int64(0); sent < s.config.Bytes; {
		size := min(s.config.Bytes-sent, weightChunkBytes)
		if !sleep(r.Context(), s.reserve(size)) {
			return
		}
		if cut && sent >= s.config.Bytes/2 {
			abortConnection()
		}
		if _, err := w.Write(chunk[:size]); err != nil {
			return
		}
		sent += size
	}
}

// reserve reserves bandwidth and returns how long to wait before sending.
func (s *WeightStore) reserve(bytes int64) time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := unixNow()
	slowed := int64(float64(bytes) * s.faults.slowdown())
	return s.rate.Reserve(now, slowed) - now
}
