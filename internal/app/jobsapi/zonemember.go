package jobsapi

import (
	"context"
	"time"

	"github.com/loomgrade/loomgrade/internal/core/sitestate"
)

const (
	// zoneMemberTimeout limits the call to a member in the client's zone. A page of 1 MB takes
	// 0.14 s on the slowest link of a front (60 Mbit/s).
	zoneMemberTimeout = 400 * time.Millisecond
	// failureBackoff is how long a member that failed is called last.
	failureBackoff = 3 * time.Second
)

// callZoneMember requests a page from a member in the client's zone, leader or not. found is
// false if the leader must be called: the zone has no such member, or the member has no
// result from the position on.
func (c *Client) callZoneMember(ctx context.Context, request Request) (answer Answer, found bool) {
	address := c.zoneMember(request.Shard)
	if address == "" {
		return Answer{}, false
	}
	page := *request.Page
	page.FromFollower, page.WaitMillis = true, 0
	request.Page = &page
	answer, err := c.callWithTimeout(ctx, zoneMemberTimeout, address, request)
	switch {
	case err != nil:
		c.recordFailure(address)
	case answer.NotLeader && answer.Leader != "":
		c.setLeader(request.Shard, answer.Leader)
	case !answer.NotLeader && !answer.Follower:
		c.setLeader(request.Shard, address)
	}
	return answer, err == nil && !answer.NotLeader && len(answer.Page.Results) > 0
}

// zoneMember returns a member of a shard's group in the client's zone. It returns "" if there
// is none, or only the leader, which is called anyway.
func (c *Client) zoneMember(shard sitestate.ShardNumber) string {
	view := c.config.View()
	if view == nil || c.config.Zone == "" {
		return ""
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, store := range view.Stores {
		if store.Zone != c.config.Zone || store.Shard != shard || store.State == sitestate.StoreEvacuated {
			continue
		}
		if store.Address == c.leaders[shard] {
			return ""
		}
		if !c.recentlyFailed(store.Address) {
			return store.Address
		}
	}
	return ""
}

// sortFailedLast moves members that failed recently behind the others.
func (c *Client) sortFailedLast(addresses []string) []string {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	var others, failed []string
	for _, address := range addresses {
		if c.recentlyFailed(address) {
			failed = append(failed, address)
		} else {
			others = append(others, address)
		}
	}
	return append(others, failed...)
}

// recentlyFailed reports whether a member is in its failure backoff. The caller must hold
// c.mutex.
func (c *Client) recentlyFailed(address string) bool {
	return time.Now().Before(c.failedUntil[address])
}

// recordFailure records that a member failed, and removes expired failures.
func (c *Client) recordFailure(address string) {
	now := time.Now()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for other, until := range c.failedUntil {
		if now.After(until) {
			delete(c.failedUntil, other)
		}
	}
	c.failedUntil[address] = now.Add(failureBackoff)
}
