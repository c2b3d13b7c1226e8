package node

import (
	"context"
	"errors"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/loomgrade/loomgrade/internal/app/node/requestkeys"
	"github.com/loomgrade/loomgrade/internal/core/membership"
	"github.com/loomgrade/loomgrade/internal/core/nodestate"
	"github.com/loomgrade/loomgrade/internal/port"
)

// Request keys are stored by the first three nodes of a key's rendezvous ranking. The
// first one runs the request; an unsafe request runs only after a second of the three
// has recorded the key. Any two nodes that both act as the first therefore share a
// third one, which reports the earlier claim to the later claimant.
const (
	keyNodes = 3
	// keyWitnesses is the number of other nodes that record an unsafe request.
	keyWitnesses = 1
	// maxStoredBody limits the body of a stored response, in bytes.
	maxStoredBody = 16 << 10
)

// keyName returns the name under which a request's key is stored.
func keyName(request *port.ApplicationRequest) string {
	return strings.Join([]string{string(request.Tenant), string(request.Pool), request.Key}, "\x00")
}

// fingerprint distinguishes different requests that use the same key.
func fingerprint(request *port.ApplicationRequest) uint64 {
	digest := xxhash.New()
	for _, part := range []string{request.Method, request.Path, string(request.Body)} {
		_, _ = digest.WriteString(part)
		_, _ = digest.Write([]byte{0})
	}
	return digest.Sum64()
}

// rankNodes returns the nodes that store a key, highest rank first.
func rankNodes(current *nodestate.Snapshot, key string) []port.NodeAddress {
	var ids []port.NodeID
	for id, node := range current.Nodes {
		if !node.Draining {
			ids = append(ids, id)
		}
	}
	var ranked []port.NodeAddress
	for len(ranked) < keyNodes {
		first, found := membership.NewAssigner(ids).HomeOf(key)
		if !found {
			break
		}
		ranked = append(ranked, current.Nodes[first])
		ids = without(ids, first)
	}
	return ranked
}

func without(ids []port.NodeID, dropped port.NodeID) []port.NodeID {
	remaining := ids[:0]
	for _, id := range ids {
		if id != dropped {
			remaining = append(remaining, id)
		}
	}
	return remaining
}

// callKeyed serves an application call with a request key. It runs on the highest-ranked
// node of the key that can be reached, or on this node if none can be.
func (n *Node) callKeyed(ctx context.Context, request port.ApplicationRequest) (port.ApplicationResponse, *port.Error) {
	ranked := rankNodes(n.snapshot.Load(), keyName(&request))
	for _, node := range ranked {
		if node.ID == n.config.ID {
			return n.runKeyed(ctx, request)
		}
		var response port.ApplicationResponse
		failure := n.peers.call(ctx, node.PeerAddress, methodApplication, applicationCall{request}, &response)
		tryNext := failure != nil && failure.Verdict == port.NotRun &&
			(failure.Code == port.CodeUnavailable || failure.Code == port.CodeDraining)
		if !tryNext {
			return response, failure
		}
	}
	return n.runKeyed(ctx, request)
}

// runKeyed runs a request with a key at most once while the key is stored.
func (n *Node) runKeyed(ctx context.Context, request port.ApplicationRequest) (port.ApplicationResponse, *port.Error) {
	key, digest := keyName(&request), fingerprint(&request)
	attempt, first, err := n.keys.Begin(key, digest, time.Now())
	if err != nil {
		return port.ApplicationResponse{}, keyError(err)
	}
	if !first {
		return n.joinKeyed(ctx, attempt, &request)
	}
	witness, outcome := n.claim(ctx, &request, key, digest)
	if outcome == nil {
		outcome = n.runFirst(ctx, request)
	}
	n.finishKeyed(attempt, witness, key, digest, *outcome)
	return outcome.Response, outcome.Error
}

// runFirst runs the only attempt. It continues if its caller cancels, since other
// callers may have joined it.
func (n *Node) runFirst(ctx context.Context, request port.ApplicationRequest) *keyOutcome {
	var cancel context.CancelFunc
	deadline, set := ctx.Deadline()
	ctx = context.WithoutCancel(ctx)
	if set {
		ctx, cancel = context.WithDeadline(ctx, deadline)
		defer cancel()
	}
	response, failure := n.callApplication(ctx, request)
	return &keyOutcome{Response: response, Error: failure}
}

// joinKeyed waits for the first attempt's outcome.
func (n *Node) joinKeyed(ctx context.Context, attempt *requestkeys.Attempt[keyOutcome], request *port.ApplicationRequest) (port.ApplicationResponse, *port.Error) {
	select {
	case <-attempt.Done():
		outcome := attempt.Outcome()
		n.recorder.record(port.Decision{
			Kind: port.DecisionAnswered, Subject: string(request.ID), Pool: request.Pool,
			Detail: "the request key was used before; this is that request's outcome",
		})
		return outcome.Response, outcome.Error
	case <-ctx.Done():
		failure := contextError(ctx)
		failure.Verdict = port.MayHaveRun
		return port.ApplicationResponse{}, failure
	}
}

// claim records an unsafe request at a second node before it runs. If it returns an
// outcome, the request must not run: the witness has recorded another attempt, or no
// second node recorded the key.
func (n *Node) claim(ctx context.Context, request *port.ApplicationRequest, key string, digest uint64) (witness *port.NodeAddress, outcome *keyOutcome) {
	if request.Safe {
		return nil, nil
	}
	ranked := rankNodes(n.snapshot.Load(), key)
	needed := min(keyWitnesses, len(ranked)-1)
	for _, node := range ranked {
		if node.ID == n.config.ID || needed <= 0 {
			continue
		}
		var answer claimAnswer
		if n.peers.call(ctx, node.PeerAddress, methodClaimKey, claimCall{Key: key, Fingerprint: digest}, &answer) != nil {
			continue
		}
		if !answer.Fresh {
			return nil, answer.Outcome
		}
		return &node, nil
	}
	if needed > 0 {
		refusal := port.NewError(port.NotRun, port.CodeUnavailable, "no second node could record the request key")
		refusal.RetryAfter = time.Second
		return nil, &keyOutcome{Error: refusal}
	}
	return nil, nil
}

// finishKeyed stores the outcome here and sends it to the witness. The key of a request
// that did not run is removed.
func (n *Node) finishKeyed(attempt *requestkeys.Attempt[keyOutcome], witness *port.NodeAddress, key string, digest uint64, outcome keyOutcome) {
	notRun := outcome.Error != nil && outcome.Error.Verdict == port.NotRun
	if notRun {
		attempt.Discard(outcome)
	} else {
		attempt.Finish(storedOutcome(outcome), time.Now())
	}
	if witness == nil {
		return
	}
	update := claimCall{Key: key, Fingerprint: digest, Forget: notRun}
	if !notRun {
		stored := storedOutcome(outcome)
		update.Outcome = &stored
	}
	address := witness.PeerAddress
	n.spawn(func(ctx context.Context) {
		_ = n.peers.call(ctx, address, methodClaimKey, update, &claimAnswer{})
	})
}

// storedOutcome returns the outcome to store, without a body that is too large.
func storedOutcome(outcome keyOutcome) keyOutcome {
	if len(outcome.Response.Body) <= maxStoredBody {
		return outcome
	}
	return keyOutcome{Error: port.NewError(port.Ran, port.CodeTooLarge, "the request ran; its answer was too large to store")}
}

// handleClaim serves the calls of claim and finishKeyed at the witness.
func (n *Node) handleClaim(call claimCall) (claimAnswer, *port.Error) {
	switch {
	case call.Forget:
		n.keys.Remove(call.Key, call.Fingerprint)
		return claimAnswer{}, nil
	case call.Outcome != nil:
		n.keys.Update(call.Key, call.Fingerprint, *call.Outcome)
		return claimAnswer{}, nil
	}
	attempt, first, err := n.keys.Begin(call.Key, call.Fingerprint, time.Now())
	if err != nil {
		return claimAnswer{}, keyError(err)
	}
	if first {
		attempt.Finish(unknownOutcome(), time.Now())
		return claimAnswer{Fresh: true}, nil
	}
	select {
	case <-attempt.Done():
		outcome := attempt.Outcome()
		return claimAnswer{Outcome: &outcome}, nil
	default:
		outcome := unknownOutcome()
		return claimAnswer{Outcome: &outcome}, nil
	}
}

// unknownOutcome is the witness's outcome of a key until it receives the real one.
func unknownOutcome() keyOutcome {
	return keyOutcome{Error: port.NewError(port.MayHaveRun, port.CodeUnavailable,
		"a request with this key was started elsewhere and its outcome isn't known")}
}

func keyError(err error) *port.Error {
	if errors.Is(err, requestkeys.ErrKeyReused) {
		refusal := port.NewError(port.NotRun, port.CodeInvalid, "%s", err.Error())
		refusal.Field = "Idempotency-Key"
		return refusal
	}
	refusal := port.NewError(port.NotRun, port.CodeQueueFull, "%s", err.Error())
	refusal.RetryAfter = time.Second
	return refusal
}
