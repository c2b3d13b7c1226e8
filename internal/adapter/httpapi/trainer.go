package httpapi

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/loomgrade/loomgrade/internal/adapter/httpserve"
	"github.com/loomgrade/loomgrade/internal/port"
	"github.com/loomgrade/loomgrade/internal/port/api"
)

// maxWait limits how long a trainer's request may wait for a batch.
const maxWait = time.Minute

// registerConsumer makes a trainer the consumer of its pool.
func (s *Server) registerConsumer(writer http.ResponseWriter, request *http.Request) {
	from, refusal := s.authorize(request)
	if refusal != nil {
		s.fail(writer, refusal)
		return
	}
	var body api.RegisterConsumer
	refusal = s.decode(writer, request, &body)
	if refusal == nil {
		refusal = checkName("consumer", body.Consumer)
	}
	if refusal == nil && body.RewindTo != 0 && !from.operator {
		refusal = unauthorized("rewind_to needs the operator's token")
	}
	if refusal != nil {
		s.fail(writer, refusal)
		return
	}
	register := port.RegisterConsumer{
		Pool:     port.PoolName(request.PathValue("pool")),
		Consumer: body.Consumer,
		RewindTo: port.BatchNumber(body.RewindTo),
	}
	consumer, failure := await(request.Context(), s, func(ctx context.Context) (port.Consumer, error) {
		return s.backend.RegisterConsumer(ctx, register)
	})
	s.answer(writer, consumer, failure)
}

// batch returns a batch by number.
func (s *Server) batch(writer http.ResponseWriter, request *http.Request) {
	if _, refusal := s.authorize(request); refusal != nil {
		s.fail(writer, refusal)
		return
	}
	query, refusal := readBatchRequest(request)
	if refusal != nil {
		s.fail(writer, refusal)
		return
	}
	release, refusal := acquire(s.calls)
	if refusal != nil {
		s.fail(writer, refusal)
		return
	}
	defer release()
	started := time.Now()
	batch, failure := await(request.Context(), s, func(ctx context.Context) (api.Batch, error) {
		return s.backend.Batch(ctx, query.pool, query.number, query.consumer, query.waitMillis)
	})
	if s.config.Recorder != nil && s.configuredPool(query.pool) {
		s.config.Recorder.TrainerWaited(query.pool, time.Since(started))
	}
	s.answer(writer, batch, failure)
}

// batchRequest is a trainer's request for a batch.
type batchRequest struct {
	pool       port.PoolName
	number     port.BatchNumber
	consumer   port.Epoch
	waitMillis int64
}

func readBatchRequest(request *http.Request) (batchRequest, *port.Error) {
	none := batchRequest{}
	number, err := strconv.ParseUint(request.PathValue("number"), 10, 64)
	if err != nil || number == 0 {
		return none, port.InvalidField("number", request.PathValue("number"), "a batch number from 1 on")
	}
	query := request.URL.Query()
	epoch, err := strconv.ParseUint(query.Get(api.QueryConsumerEpoch), 10, 64)
	if err != nil || epoch == 0 {
		return none, port.InvalidField(api.QueryConsumerEpoch, query.Get(api.QueryConsumerEpoch), "the epoch returned by registration")
	}
	var wait int64
	if text := query.Get(api.QueryWaitMs); text != "" {
		wait, err = strconv.ParseInt(text, 10, 64)
		if err != nil || wait < 0 || wait > maxWait.Milliseconds() {
			return none, port.InvalidField(api.QueryWaitMs, text, "milliseconds from 0 to 60000")
		}
	}
	return batchRequest{
		pool:       port.PoolName(request.PathValue("pool")),
		number:     port.BatchNumber(number),
		consumer:   port.Epoch(epoch),
		waitMillis: wait,
	}, nil
}

// publishWeights makes a new version current. A request without a consumer epoch
// needs the operator's token.
func (s *Server) publishWeights(writer http.ResponseWriter, request *http.Request) {
	from, refusal := s.authorize(request)
	if refusal != nil {
		s.fail(writer, refusal)
		return
	}
	var body api.PublishWeights
	refusal = s.decode(writer, request, &body)
	if refusal == nil {
		refusal = checkPublication(body, from)
	}
	if refusal != nil {
		s.fail(writer, refusal)
		return
	}
	publish := port.PublishWeights{
		Pool:          port.PoolName(request.PathValue("pool")),
		Version:       port.WeightVersion(body.Version),
		Bytes:         body.Bytes,
		ConsumerEpoch: port.Epoch(body.ConsumerEpoch),
	}
	result, failure := await(request.Context(), s, func(ctx context.Context) (port.Result, error) {
		return s.backend.PublishWeights(ctx, body.ChangeID, publish)
	})
	s.answer(writer, api.PublishedWeights{Version: body.Version, Revision: uint64(result.Revision)}, failure)
}

func checkPublication(body api.PublishWeights, from caller) *port.Error {
	if body.Version == 0 {
		return port.InvalidField("version", "0", "a version from 1 on")
	}
	if body.ConsumerEpoch == 0 && !from.operator {
		return unauthorized("a publication without consumer_epoch needs the operator's token")
	}
	if body.ChangeID == "" {
		return nil
	}
	return checkName("change_id", body.ChangeID)
}

// answer writes a JSON response or the failure.
func (s *Server) answer(writer http.ResponseWriter, body any, failure *port.Error) {
	s.markConfirmation(writer)
	if failure != nil {
		s.fail(writer, failure)
		return
	}
	httpserve.WriteJSON(writer, http.StatusOK, body)
}
