package jobsapi_test

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/loomgrade/loomgrade/internal/adapter/wire"
	"github.com/loomgrade/loomgrade/internal/app/jobsapi"
	"github.com/loomgrade/loomgrade/internal/core/jobstate"
	"github.com/loomgrade/loomgrade/internal/core/sitestate"
)

// memberStandIn is a member of a shard's group that has so many results of each job.
type memberStandIn struct {
	name, zone string
	address    string
	leader     string
	results    int
	asked      atomic.Int32
	// silent members take calls and do not answer.
	silent bool
}

func (m *memberStandIn) serve(ctx context.Context, call *wire.Call) error {
	m.asked.Add(1)
	var request jobsapi.Request
	if err := call.Decode(&request); err != nil {
		return err
	}
	if m.silent {
		<-ctx.Done()
		return ctx.Err()
	}
	page := jobstate.Page{Total: 10, Next: request.Page.From}
	for page.Next < m.results {
		page.Results = append(page.Results, jobstate.ResultView{ID: m.name})
		page.Next++
	}
	follows := m.leader != m.address
	if follows && (!request.Page.FromFollower || len(page.Results) == 0) {
		return call.Send(jobsapi.Answer{NotLeader: true, Leader: m.leader})
	}
	return call.Send(jobsapi.Answer{Page: page, Follower: follows})
}

// groupClient starts members, of which the first leads, and a client in zone "a".
func groupClient(t *testing.T, members ...*memberStandIn) *jobsapi.Client {
	t.Helper()
	view := &sitestate.View{Placed: map[string]sitestate.ShardNumber{"m": 1}, Shards: []sitestate.Shard{{Number: 1}}}
	for _, m := range members {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		m.address = listener.Addr().String()
		m.leader = members[0].address
		view.Stores = append(view.Stores, sitestate.Store{Name: m.name, Address: m.address, Zone: m.zone, Shard: 1})
		server := wire.NewServer(wire.Options{ClusterID: "test", Name: m.name})
		server.Handle(jobsapi.MethodCall, m.serve)
		go func() { _ = server.Serve(listener) }()
		t.Cleanup(server.Close)
	}
	return jobsapi.NewClient(jobsapi.Config{
		Wire: wire.Options{ClusterID: "test", Name: "client", DialTimeout: 100 * time.Millisecond}, Zone: "a",
		View: func() *sitestate.View { return view },
	})
}

// readFrom reads a page from a position on and gives who served it, empty for a page
// without results.
func readFrom(t *testing.T, client *jobsapi.Client, from int) string {
	t.Helper()
	page, found, err := client.Page(context.Background(), jobsapi.PageRequest{Job: "j", From: from})
	if err != nil || !found {
		t.Fatalf("found %v, %v", found, err)
	}
	if len(page.Results) == 0 {
		return ""
	}
	return page.Results[0].ID
}

// TestPagesAreReadInTheOwnZone: from a member that has what is asked for, else from the
// leader.
func TestPagesAreReadFromZoneMember(t *testing.T) {
	leader := &memberStandIn{name: "leader", zone: "b", results: 5}
	near := &memberStandIn{name: "near", zone: "a", results: 3}
	far := &memberStandIn{name: "far", zone: "c", results: 5}
	client := groupClient(t, leader, near, far)
	for from, want := range map[int]string{0: "near", 2: "near", 3: "leader", 5: ""} {
		if got := readFrom(t, client, from); got != want {
			t.Errorf("from %d: served by %q, want %q", from, got, want)
		}
	}
	if far.asked.Load() > 0 {
		t.Error("a member of another zone was asked, though it does not lead")
	}
}

// TestTheLeaderInTheOwnZoneIsAskedOnce: it is not asked a second time for what it has not.
func TestLeaderInZoneIsCalledOnce(t *testing.T) {
	leader := &memberStandIn{name: "leader", zone: "a", results: 1}
	client := groupClient(t, leader)
	readFrom(t, client, 0)
	before := leader.asked.Load()
	if got := readFrom(t, client, 1); got != "" {
		t.Errorf("served by %q", got)
	}
	if asked := leader.asked.Load() - before; asked != 1 {
		t.Errorf("asked %d times", asked)
	}
}

// TestAMemberOfTheZoneThatFailedIsNotAskedFirst: readers do not wait for it again.
func TestFailedZoneMemberIsInBackoff(t *testing.T) {
	leader := &memberStandIn{name: "leader", zone: "b", results: 5}
	near := &memberStandIn{name: "near", zone: "a", silent: true}
	client := groupClient(t, leader, near)
	for range 3 {
		if got := readFrom(t, client, 0); got != "leader" {
			t.Errorf("served by %q", got)
		}
	}
	if asked := near.asked.Load(); asked > 1 {
		t.Errorf("the silent member was asked %d times", asked)
	}
}
