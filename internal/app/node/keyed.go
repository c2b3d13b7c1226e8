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

// Request keys are remembered by the first three nodes of a key's rendezvous
// ranking. The first one runs the request; an unsafe request runs only after a
// second of the three has noted the key. Any two nodes that come to act as the
// first therefore share a third that tells one of them of the other.
const (
	keyNodes = 3
	// keyWitnesses is the number of other nodes that note an unsafe request.
	keyWitnesses = 1
	// maxKeptBody bounds the body of a remembered answer, in bytes.
	maxKeptBody = 16 << 10
)

// keyName gives the name under which a request's key is remembered.
func keyName(request *port.ApplicationRequest) string {
	return strings.Join([]string{string(request.Tenant), string(request.Pool), request.Key}, "\x00")
}

// fingerprint tells requests apart that must not share a key.
func fingerprint(request *port.ApplicationRequest) uint64 {
	digest := xxhash.New()
	for _, part := range []string{request.Method, request.Path, string(request.Body)} {
		_, _ = digest.WriteString(part)
		_, _ = digest.Write([]byte{0})
	}
	return digest.Sum64()
}

// rank gives the nodes that remember a key, first one first.
func rank(current *nodestate.Snapshot, key string) []port.NodeAddress {
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
	kept := ids[:0]
	for _, id := range ids {
		if id != dropped {
			kept = append(kept, id)
		}
	}
	return kept
}

// callKeyed serves an application call with a request key: it goes to the node
// that remembers the key, or to the next one where that one can't be reached.
func (n *Node) callKeyed(ctx context.Context, request port.ApplicationRequest) (port.ApplicationResponse, *port.Error) {
	ranked := rank(n.snapshot.Load(), keyName(&request))
	for _, node := range ranked {
		if node.ID == n.config.ID {
			return n.runKeyed(ctx, request)
		}
		var response port.ApplicationResponse
		failure := n.peers.call(ctx, node.PeerAddress, methodApplication, applicationCall{request}, &response)
		elsewhere := failure != nil && failure.Verdict == port.NotRun &&
			(failure.Code == port.CodeUnavailable || failure.Code == port.CodeDraining)
		if !elsewhere {
			return response, failure
		}
	}
	return n.runKeyed(ctx, request)
}

// runKeyed runs a request with a key at most once while the key is remembered.
func (n *Node) runKeyed(ctx context.Context, request port.ApplicationRequest) (port.ApplicationResponse, *port.Error) {
	key, print := keyName(&request), fingerprint(&request)
	attempt, first, err := n.keys.Begin(key, print, time.Now())
	if err != nil {
		return port.ApplicationResponse{}, keyError(err)
	}
	if !first {
		return n.joinKeyed(ctx, attempt, &request)
	}
	witness, outcome := n.claim(ctx, &request, key, print)
	if outcome == nil {
		outcome = n.runFirst(ctx, request)
	}
	n.settleKey(attempt, witness, key, print, *outcome)
	return outcome.Response, outcome.Error
}

// runFirst runs the one attempt. It goes on when its caller gives up, since
// others may have joined it.
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

// claim notes an unsafe request at a second node before it runs. An outcome
// means that the request must not run: another attempt is known there, or too
// few nodes could note it.
func (n *Node) claim(ctx context.Context, request *port.ApplicationRequest, key string, print uint64) (witness *port.NodeAddress, outcome *keyOutcome) {
	if request.Safe {
		return nil, nil
	}
	ranked := rank(n.snapshot.Load(), key)
	needed := min(keyWitnesses, len(ranked)-1)
	for _, node := range ranked {
		if node.ID == n.config.ID || needed <= 0 {
			continue
		}
		var answer claimAnswer
		if n.peers.call(ctx, node.PeerAddress, methodClaimKey, claimCall{Key: key, Fingerprint: print}, &answer) != nil {
			continue
		}
		if !answer.Fresh {
			return nil, answer.Outcome
		}
		return &node, nil
	}
	if needed > 0 {
		refusal := port.NewError(port.NotRun, port.CodeUnavailable, "no second node could note the request key")
		refusal.RetryAfter = time.Second
		return nil, &keyOutcome{Error: refusal}
	}
	return nil, nil
}

// settleKey keeps the outcome here and tells the witness. A request that did not
// run leaves no trace.
func (n *Node) settleKey(attempt *requestkeys.Attempt[keyOutcome], witness *port.NodeAddress, key string, print uint64, outcome keyOutcome) {
	notRun := outcome.Error != nil && outcome.Error.Verdict == port.NotRun
	if notRun {
		attempt.Forget(outcome)
	} else {
		attempt.Finish(kept(outcome), time.Now())
	}
	if witness == nil {
		return
	}
	told := claimCall{Key: key, Fingerprint: print, Forget: notRun}
	if !notRun {
		short := kept(outcome)
		told.Outcome = &short
	}
	address := witness.PeerAddress
	n.spawn(func(ctx context.Context) {
		_ = n.peers.call(ctx, address, methodClaimKey, told, &claimAnswer{})
	})
}

// kept gives the outcome as it is remembered: without a body that is too large.
func kept(outcome keyOutcome) keyOutcome {
	if len(outcome.Response.Body) <= maxKeptBody {
		return outcome
	}
	return keyOutcome{Error: port.NewError(port.Ran, port.CodeTooLarge, "the request ran; its answer was too large to keep")}
}

// noteClaim is the witness's side of claim and settleKey.
func (n *Node) noteClaim(call claimCall) (claimAnswer, *port.Error) {
	switch {
	case call.Forget:
		n.keys.Drop(call.Key, call.Fingerprint)
		return claimAnswer{}, nil
	case call.Outcome != nil:
		n.keys.Revise(call.Key, call.Fingerprint, *call.Outcome)
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

// unknownOutcome is what a witness says while it hasn't heard of the outcome.
func unknownOutcome() keyOutcome {
	return keyOutcome{Error: port.NewError(port.MayHaveRun, port.CodeUnavailable,
		"a request with this key was started elsewhere and its outcome isn't known")}
}

func keyError(err error) *port.Error {
	if errors.Is(err, requestkeys.ErrOtherRequest) {
		refusal := port.NewError(port.NotRun, port.CodeInvalid, "%s", err.Error())
		refusal.Field = "Idempotency-Key"
		return refusal
	}
	refusal := port.NewError(port.NotRun, port.CodeQueueFull, "%s", err.Error())
	refusal.RetryAfter = time.Second
	return refusal
}
