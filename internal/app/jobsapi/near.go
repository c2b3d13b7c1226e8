package jobsapi

import (
	"context"
	"time"

	"github.com/loomgrade/loomgrade/internal/core/sitestate"
)

const (
	// nearTimeout bounds the answer of a member in the own zone: a page of 1 MB takes
	// 0.14 s on the slowest link of a front (60 Mbit/s).
	nearTimeout = 400 * time.Millisecond
	// avoidFor is how long one that failed is not asked first.
	avoidFor = 3 * time.Second
)

// askNear asks a member in the own zone for a page, whether it leads or not. Found is false
// if the leader has to be asked: there is no such member, or it has no result from the
// position on.
func (c *Client) askNear(ctx context.Context, request Request) (answer Answer, found bool) {
	address := c.near(request.Shard)
	if address == "" {
		return Answer{}, false
	}
	page := *request.Page
	page.FromFollower, page.WaitMillis = true, 0
	request.Page = &page
	answer, err := c.askWithin(ctx, nearTimeout, address, request)
	switch {
	case err != nil:
		c.avoid(address)
	case answer.NotLeader && answer.Leader != "":
		c.setLeader(request.Shard, answer.Leader)
	case !answer.NotLeader && !answer.Follower:
		c.setLeader(request.Shard, address)
	}
	return answer, err == nil && !answer.NotLeader && len(answer.Page.Results) > 0
}

// near gives a member of a shard's group in the own zone, empty if there is none but the
// leader, which is asked anyway.
func (c *Client) near(shard sitestate.ShardNumber) string {
	view := c.config.View()
	if view == nil || c.config.Zone == "" {
		return ""
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, store := range view.Stores {
		if store.Zone != c.config.Zone || store.Shard != shard || store.State == sitestate.StoreEmptied {
			continue
		}
		if store.Address == c.leaders[shard] {
			return ""
		}
		if !c.avoidedNow(store.Address) {
			return store.Address
		}
	}
	return ""
}

// failedLast puts those that failed a moment ago behind the others.
func (c *Client) failedLast(addresses []string) []string {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	var sound, failed []string
	for _, address := range addresses {
		if c.avoidedNow(address) {
			failed = append(failed, address)
		} else {
			sound = append(sound, address)
		}
	}
	return append(sound, failed...)
}

// avoidedNow reports whether a member failed a moment ago. The mutex is held.
func (c *Client) avoidedNow(address string) bool { return time.Now().Before(c.avoided[address]) }

// avoid notes that a member failed, and forgets those whose time is over.
func (c *Client) avoid(address string) {
	now := time.Now()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for other, until := range c.avoided {
		if now.After(until) {
			delete(c.avoided, other)
		}
	}
	c.avoided[address] = now.Add(avoidFor)
}
