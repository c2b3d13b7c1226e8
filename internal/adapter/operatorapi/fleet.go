package operatorapi

import (
	"cmp"
	"net/http"
	"net/netip"
	"slices"
	"strconv"

	"github.com/loomgrade/loomgrade/internal/adapter/httpserve"
	"github.com/loomgrade/loomgrade/internal/core/registry"
	"github.com/loomgrade/loomgrade/internal/port"
)

func (s *Server) getWeights(writer http.ResponseWriter, request *http.Request) error {
	view, err := s.view(request)
	if err != nil {
		return err
	}
	reports, err := s.config.Backend.Reports(request.Context())
	if err != nil {
		return err
	}
	answer := Weights{Pools: make([]PoolWeights, 0, len(view.Weights))}
	for _, published := range view.Weights {
		answer.Pools = append(answer.Pools, PoolWeights{PublishedWeights: published, Serving: serving(reports, published.Pool)})
	}
	httpserve.WriteJSON(writer, http.StatusOK, answer)
	return nil
}

// serving sums the replicas of a pool in recent node reports by version.
func serving(reports Reports, pool port.PoolName) []port.ServingCount {
	byVersion := make(map[port.WeightVersion]int)
	for _, report := range reports.Nodes {
		if report.AgeMillis > silentAfterMillis {
			continue
		}
		for _, count := range report.Report.Serving {
			if count.Pool == pool {
				byVersion[count.Version] += count.Replicas
			}
		}
	}
	counts := make([]port.ServingCount, 0, len(byVersion))
	for version, replicas := range byVersion {
		counts = append(counts, port.ServingCount{Pool: pool, Version: version, Replicas: replicas})
	}
	slices.SortFunc(counts, func(a, b port.ServingCount) int { return cmp.Compare(a.Version, b.Version) })
	return counts
}

func (s *Server) postWeights(writer http.ResponseWriter, request *http.Request) error {
	var body PublishWeights
	if err := readJSON(writer, request, MaxBodyBytes, &body); err != nil {
		return err
	}
	if _, err := registry.ParseChangeID(body.ChangeID); err != nil {
		return err
	}
	result, err := s.config.Backend.Propose(request.Context(), port.Command{
		ChangeID:       body.ChangeID,
		PublishWeights: &port.PublishWeights{Pool: body.Pool, Version: body.Version, Bytes: body.Bytes},
	})
	if err == nil && result.Error != nil {
		err = result.Error
	}
	if err != nil {
		return err
	}
	httpserve.WriteJSON(writer, http.StatusOK, Accepted{Revision: result.Revision, Index: result.Index})
	return nil
}

func (s *Server) getPools(writer http.ResponseWriter, request *http.Request) error {
	view, err := s.view(request)
	if err != nil {
		return err
	}
	answer := Pools{Pools: make([]PoolSummary, 0, len(view.Configuration.Pools))}
	for _, pool := range view.Configuration.Pools {
		summary := PoolSummary{Name: pool.Name, Kind: pool.Kind}
		for _, replica := range replicasOf(view, pool) {
			summary.Replicas++
			if replica.State == port.ReplicaDrain {
				summary.Draining++
			}
		}
		if published := weightsOf(view, pool.Name); published != nil {
			summary.Version = published.Version
		}
		answer.Pools = append(answer.Pools, summary)
	}
	httpserve.WriteJSON(writer, http.StatusOK, answer)
	return nil
}

func replicasOf(view *port.View, pool port.Pool) []port.Replica {
	replicas := []port.Replica{}
	for _, replica := range view.Configuration.Replicas {
		if replica.Pool == pool.EnginePool() {
			replicas = append(replicas, replica)
		}
	}
	return replicas
}

func weightsOf(view *port.View, pool port.PoolName) *port.PublishedWeights {
	for index := range view.Weights {
		if view.Weights[index].Pool == pool {
			return &view.Weights[index]
		}
	}
	return nil
}

func (s *Server) getPool(writer http.ResponseWriter, request *http.Request) error {
	view, err := s.view(request)
	if err != nil {
		return err
	}
	name := port.PoolName(request.PathValue("pool"))
	position := slices.IndexFunc(view.Configuration.Pools, func(pool port.Pool) bool { return pool.Name == name })
	if position < 0 {
		return port.NewError(port.NotRun, port.CodeNotFound, "no pool %s", name)
	}
	pool := view.Configuration.Pools[position]
	answer := PoolDetail{Pool: pool, Replicas: replicasOf(view, pool)}
	if pool.Sampling != nil {
		if err := s.addDelivery(request, view, &answer); err != nil {
			return err
		}
	}
	httpserve.WriteJSON(writer, http.StatusOK, answer)
	return nil
}

// addDelivery adds the weights and delivery state of a pool with a trainer.
func (s *Server) addDelivery(request *http.Request, view *port.View, answer *PoolDetail) error {
	ledger, err := s.config.Backend.Ledger(request.Context(), answer.Pool.Name)
	if err != nil {
		return err
	}
	reports, err := s.config.Backend.Reports(request.Context())
	if err != nil {
		return err
	}
	answer.Ledger = &ledger
	answer.Serving = serving(reports, answer.Pool.Name)
	if published := weightsOf(view, answer.Pool.Name); published != nil {
		answer.Weights = &PoolWeights{PublishedWeights: *published, Serving: answer.Serving}
	}
	return nil
}

func (s *Server) getReplicas(writer http.ResponseWriter, request *http.Request) error {
	view, err := s.view(request)
	if err != nil {
		return err
	}
	httpserve.WriteJSON(writer, http.StatusOK, Replicas{Revision: view.Revision, Replicas: view.Configuration.Replicas})
	return nil
}

// setReplica returns a handler that drains a replica or returns it to service.
func (s *Server) setReplica(state port.ReplicaState) handler {
	return func(writer http.ResponseWriter, request *http.Request) error {
		var body ReplicaChange
		if err := readJSON(writer, request, MaxBodyBytes, &body); err != nil {
			return err
		}
		view, err := s.config.Backend.View(request.Context(), false)
		if err != nil {
			return err
		}
		id := port.ReplicaID(request.PathValue("id"))
		replicas := view.Configuration.Replicas
		position := slices.IndexFunc(replicas, func(replica port.Replica) bool { return replica.ID == id })
		if position < 0 {
			return port.NewError(port.NotRun, port.CodeNotFound, "no replica %s", id)
		}
		replica := replicas[position]
		replica.State = state
		change := ConfigChange{
			ExpectedRevision: body.ExpectedRevision,
			ChangeID:         body.ChangeID,
			Edits:            []port.Edit{{PutReplica: &replica}},
			Author:           body.Author,
			Note:             body.Note,
		}
		if err := checkChange(change); err != nil {
			return err
		}
		return s.proposeEdits(writer, request, change)
	}
}

func (s *Server) getStatus(writer http.ResponseWriter, request *http.Request) error {
	status, err := s.config.Backend.Status(request.Context())
	if err != nil {
		return err
	}
	httpserve.WriteJSON(writer, http.StatusOK, status)
	return nil
}

func (s *Server) getMembers(writer http.ResponseWriter, request *http.Request) error {
	status, err := s.config.Backend.Status(request.Context())
	if err != nil {
		return err
	}
	httpserve.WriteJSON(writer, http.StatusOK, Members{Members: status.Members})
	return nil
}

func (s *Server) postMember(writer http.ResponseWriter, request *http.Request) error {
	var change MemberChange
	if err := readJSON(writer, request, MaxBodyBytes, &change); err != nil {
		return err
	}
	if change.ID == 0 {
		return port.InvalidField("id", "0", "a number above the id of every earlier member")
	}
	if _, err := netip.ParseAddrPort(change.Address); err != nil {
		return port.InvalidField("address", change.Address, "a numeric IP:port")
	}
	change.Action = MemberAdd
	return s.applyMemberChange(writer, request, change)
}

func (s *Server) changeMember(action MemberAction) handler {
	return func(writer http.ResponseWriter, request *http.Request) error {
		id, err := strconv.ParseUint(request.PathValue("id"), 10, 64)
		if err != nil || id == 0 {
			return port.InvalidField("id", request.PathValue("id"), "a member's number")
		}
		return s.applyMemberChange(writer, request, MemberChange{Action: action, ID: id})
	}
}

func (s *Server) applyMemberChange(writer http.ResponseWriter, request *http.Request, change MemberChange) error {
	if err := s.config.Backend.ChangeMember(request.Context(), change); err != nil {
		return err
	}
	return s.getMembers(writer, request)
}
