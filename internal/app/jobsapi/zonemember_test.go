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

// fakeMember is a member of a shard's group that has the first results of each job.
type fakeMember struct {
	name, zone string
	address    string
	leader     string
	results    int
	requests   atomic.Int32
	// unresponsive members accept calls but never answer.
	unresponsive bool
}

func (m *fakeMember) serve(ctx context.Context, call *wire.Call) error {
	m.requests.Add(1)
	var request jobsapi.Request
	if err := call.Decode(&request); err != nil {
		return err
	}
	if m.unresponsive {
		<-ctx.Done()
		return ctx.Err()
	}
	page := jobstate.Page{Total: 10, Next: request.Page.From}
	for page.Next < m.results {
		page.Results = append(page.Results, jobstate.ResultView{ID: m.name})
		page.Next++
	}
	isFollower := m.leader != m.address
	if isFollower && (!request.Page.FromFollower || len(page.Results) == 0) {
		return call.Send(jobsapi.Answer{NotLeader: true, Leader: m.leader})
	}
	return call.Send(jobsapi.Answer{Page: page, Follower: isFollower})
}

// newGroupClient starts members, of which the first leads, and returns a client in zone "a".
func newGroupClient(t *testing.T, members ...*fakeMember) *jobsapi.Client {
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

// readPage reads a page from a position on and returns the name of the member that served
// it, or "" for a page without results.
func readPage(t *testing.T, client *jobsapi.Client, from int) string {
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

// TestPagesAreReadFromZoneMember checks that a page is read from the member in the client's zone
// if it has results, else from the leader.
func TestPagesAreReadFromZoneMember(t *testing.T) {
	leader := &fakeMember{name: "leader", zone: "b", results: 5}
	near := &fakeMember{name: "near", zone: "a", results: 3}
	far := &fakeMember{name: "far", zone: "c", results: 5}
	client := newGroupClient(t, leader, near, far)
	for from, want := range map[int]string{0: "near", 2: "near", 3: "leader", 5: ""} {
		if got := readPage(t, client, from); got != want {
			t.Errorf("from %d: served by %q, want %q", from, got, want)
		}
	}
	if far.requests.Load() > 0 {
		t.Error("a follower in another zone was called")
	}
}

// TestLeaderInZoneIsCalledOnce checks that a leader in the client's zone is called once
// for a page.
func TestLeaderInZoneIsCalledOnce(t *testing.T) {
	leader := &fakeMember{name: "leader", zone: "a", results: 1}
	client := newGroupClient(t, leader)
	readPage(t, client, 0)
	before := leader.requests.Load()
	if got := readPage(t, client, 1); got != "" {
		t.Errorf("served by %q", got)
	}
	if calls := leader.requests.Load() - before; calls != 1 {
		t.Errorf("called %d times, want 1", calls)
	}
}

// TestFailedZoneMemberIsInBackoff checks that reads do not wait again for a member
// that failed.
func TestFailedZoneMemberIsInBackoff(t *testing.T) {
	leader := &fakeMember{name: "leader", zone: "b", results: 5}
	near := &fakeMember{name: "near", zone: "a", unresponsive: true}
	client := newGroupClient(t, leader, near)
	for range 3 {
		if got := readPage(t, client, 0); got != "leader" {
			t.Errorf("served by %q", got)
		}
	}
	if calls := near.requests.Load(); calls > 1 {
		t.Errorf("the unresponsive member was called %d times", calls)
	}
}
