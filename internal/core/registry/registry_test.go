package registry

import (
	"errors"
	"fmt"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/loomgrade/loomgrade/internal/port"
	"github.com/loomgrade/loomgrade/internal/testkit"
)

func testPool(name port.PoolName) port.Pool {
	return port.Pool{
		Name: name, Kind: port.PoolGeneration,
		Admission: port.Admission{MinInflight: 1, MaxInflight: 8, QueueLength: 16, DefaultDeadline: port.Duration(time.Second)},
		Retry:     port.Retry{MaxAttempts: 1},
	}
}

func testReplica(number int, pool port.PoolName) port.Replica {
	return port.Replica{
		ID: port.ReplicaID(fmt.Sprintf("r%04d", number)), Pool: pool, Zone: "z1",
		Address: fmt.Sprintf("10.0.%d.%d:80", number/250, number%250), State: port.ReplicaActive,
	}
}

func testConfiguration(replicas int) port.Configuration {
	configuration := port.Configuration{Pools: []port.Pool{testPool("a"), testPool("b")}}
	for number := range replicas {
		configuration.Replicas = append(configuration.Replicas, testReplica(number, "a"))
	}
	return configuration
}

func TestValidateConfigurationNamesTheField(t *testing.T) {
	tests := []struct {
		name   string
		modify func(*port.Configuration)
		field  string
	}{
		{"valid", func(*port.Configuration) {}, ""},
		{"pool name", func(c *port.Configuration) { c.Pools[0].Name = "a b" }, "pools[a b].name"},
		{"pool twice", func(c *port.Configuration) { c.Pools[1].Name = "a" }, "pools.name"},
		{"kind", func(c *port.Configuration) { c.Pools[0].Kind = "other" }, "pools[a].kind"},
		{"inflight", func(c *port.Configuration) { c.Pools[0].Admission.MaxInflight = 0 }, "pools[a].admission.max_inflight"},
		{"share", func(c *port.Configuration) { c.Pools[0].Ejection.MaxShare = 2 }, "pools[a].ejection.max_share"},
		{"group", func(c *port.Configuration) {
			c.Pools[0].Sampling = &port.Sampling{GroupSize: 4, BatchSamples: 6, MaxTokens: 1, PromptSource: "http://10.0.0.1"}
		}, "pools[a].sampling.batch_samples"},
		{"replica's pool", func(c *port.Configuration) { c.Replicas[0].Pool = "none" }, "replicas[r0000].pool"},
		{"host name", func(c *port.Configuration) { c.Replicas[0].Address = "host:80" }, "replicas[r0000].address"},
		{"address twice", func(c *port.Configuration) { c.Replicas[1].Address = c.Replicas[0].Address }, "replicas[r0001].address"},
		{"replica twice", func(c *port.Configuration) { c.Replicas[1].ID = "r0000" }, "replicas.id"},
		{"owner pool missing", func(c *port.Configuration) { c.Pools[1].ReplicasOf = "none" }, "pools[b].replicas_of"},
		{"sharing pool with replicas", func(c *port.Configuration) { c.Pools[0].ReplicasOf = "b" }, "replicas[r0000].pool"},
		{"token", func(c *port.Configuration) { c.Tenants = []port.Tenant{{Name: "t", TokenSHA256: "xx", QueueShare: 1}} }, "tenants[t].token_sha256"},
		{"machine list", func(c *port.Configuration) { c.MachineList = "ftp://x" }, "machine_list"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			configuration := testConfiguration(2)
			test.modify(&configuration)
			err := ValidateConfiguration(configuration)
			if test.field == "" {
				if err != nil {
					t.Fatalf("rejected: %v", err)
				}
				return
			}
			var refusal *port.Error
			if !errors.As(err, &refusal) || refusal.Field != test.field || refusal.Verdict != port.NotRun {
				t.Fatalf("got %v, want field %s", err, test.field)
			}
		})
	}
}

func TestApplyEditsIsAllOrNothing(t *testing.T) {
	document := LoadDocument(testConfiguration(3))
	before := document.Configuration()
	moved := testReplica(9, "b")
	refusal := document.Apply([]port.Edit{
		{RemoveReplica: "r0001"}, {PutReplica: &moved}, {RemovePool: "b"},
	})
	if refusal == nil || refusal.Field != "remove_pool" {
		t.Fatalf("got %v, want remove_pool rejected", refusal)
	}
	if !reflect.DeepEqual(before, document.Configuration()) {
		t.Fatal("a rejected change modified the document")
	}
	replacement := testReplica(1, "a")
	replacement.ID = "other"
	if refusal := document.Apply([]port.Edit{{PutReplica: &replacement}}); refusal == nil {
		t.Fatal("the reverted edit released the address")
	}
}

func TestReturnedConfigurationIsImmutable(t *testing.T) {
	document := LoadDocument(testConfiguration(3))
	returned := document.Configuration()
	drained := returned.Replicas[1]
	drained.State = port.ReplicaDrain
	if refusal := document.Apply([]port.Edit{{PutReplica: &drained}, {RemoveReplica: "r0000"}}); refusal != nil {
		t.Fatal(refusal)
	}
	if !reflect.DeepEqual(returned, testConfiguration(3)) {
		t.Fatal("a returned configuration changed")
	}
}

// drawConfiguration draws a valid configuration.
func drawConfiguration(t *rapid.T, label string) port.Configuration {
	var configuration port.Configuration
	owners := rapid.IntRange(1, 3).Draw(t, label+" lenders")
	names := []port.PoolName{"p0", "p1", "p2", "p3", "p4"}
	for position, name := range names {
		switch {
		case position < owners:
			pool := testPool(name)
			pool.Admission.MaxInflight = rapid.IntRange(1, 3).Draw(t, label+" limit")
			configuration.Pools = append(configuration.Pools, pool)
		case rapid.Bool().Draw(t, label+" borrower"):
			pool := testPool(name)
			pool.ReplicasOf = names[rapid.IntRange(0, owners-1).Draw(t, label+" lender")]
			configuration.Pools = append(configuration.Pools, pool)
		}
	}
	addresses := rapid.Permutation([]int{0, 1, 2, 3, 4, 5}).Draw(t, label+" addresses")
	for number := range 5 {
		if !rapid.Bool().Draw(t, label+" present") {
			continue
		}
		replica := testReplica(number, names[rapid.IntRange(0, owners-1).Draw(t, label+" pool")])
		replica.Address = testReplica(addresses[number], "").Address
		configuration.Replicas = append(configuration.Replicas, replica)
	}
	return configuration
}

func TestDiffConfigurationYieldsTarget(t *testing.T) {
	testkit.Check(t, 41, func(t *rapid.T) {
		from, to := drawConfiguration(t, "from"), drawConfiguration(t, "to")
		got, err := ApplyEdits(from, DiffConfiguration(from, to))
		if err != nil {
			t.Fatalf("edits rejected: %v", err)
		}
		want, err := ApplyEdits(port.Configuration{}, DiffConfiguration(port.Configuration{}, to))
		if err != nil || len(DiffConfiguration(got, to)) != 0 {
			t.Fatalf("remaining edits %v, error %v", DiffConfiguration(got, to), err)
		}
		if !reflect.DeepEqual(got.Replicas, want.Replicas) && len(got.Replicas)+len(want.Replicas) > 0 {
			t.Fatalf("got %v, want %v", got.Replicas, want.Replicas)
		}
	})
}

func TestChangeIDRoundTripAndRefusals(t *testing.T) {
	id := FormatChangeID(time.UnixMilli(1234567), []byte{1, 2, 3, 4, 5, 6, 7, 8})
	if created, err := ParseChangeID(id); err != nil || created != 1234567 {
		t.Fatalf("%s: created %d, %v", id, created, err)
	}
	for _, bad := range []string{"", "x", "12", "12-", "12-abc", "012-0123456789", "-5-0123456789", "12-0123456789XYZ", "99999999999999999999-0123456789"} {
		if _, err := ParseChangeID(bad); err == nil {
			t.Errorf("%q was accepted", bad)
		}
	}
}

func TestChangeIsAppliedOnceAfterExpiry(t *testing.T) {
	testkit.Check(t, 42, func(t *rapid.T) {
		answers := NewCachedResults(4)
		applied := map[string]int{}
		now := int64(1_000_000_000)
		for step := range 200 {
			now += rapid.Int64Range(0, 200_000).Draw(t, "pass")
			created := now - rapid.Int64Range(-30_000, 900_000).Draw(t, "age")
			created -= created % 100_000 // repeats some ids
			id := FormatChangeID(time.UnixMilli(max(created, 1)), []byte{1, 2, 3, byte(step % 3)})
			result, found, refusal := answers.Lookup(id, Digest{1}, now)
			if refusal != nil {
				continue
			}
			if found {
				if result.Index == 0 {
					t.Fatal("a retried change got an empty answer")
				}
				continue
			}
			applied[id]++
			if applied[id] > 1 {
				t.Fatalf("%s applied twice", id)
			}
			answers.Store(id, Digest{1}, now, port.Result{Index: uint64(step + 1)})
			if answers.Len() > 4 {
				t.Fatalf("%d answers stored", answers.Len())
			}
		}
	})
}

func TestAnswersCases(t *testing.T) {
	const start = int64(1_000_000_000)
	id := FormatChangeID(time.UnixMilli(start), []byte{1, 2, 3, 4})
	answers := NewCachedResults(8)
	answers.Store(id, Digest{1}, start, port.Result{Index: 7})
	lifetime := ResultLifetime.Milliseconds()
	tests := []struct {
		name   string
		id     string
		digest Digest
		now    int64
		found  bool
		code   port.Code
	}{
		{"retry", id, Digest{1}, start + lifetime, true, ""},
		{"other body", id, Digest{2}, start, false, port.CodeChangeIDReused},
		{"far ahead", FormatChangeID(time.UnixMilli(start+3_601_000), []byte{1, 2, 3, 5}), Digest{1}, start, false, port.CodeInvalid},
		{"expired", id, Digest{1}, start + lifetime + 1, false, port.CodeChangeExpired},
		{"older than the expired one", FormatChangeID(time.UnixMilli(start-1), []byte{9, 9, 9, 9}), Digest{1}, start + lifetime + 1, false, port.CodeChangeExpired},
		{"newer than the expired one", FormatChangeID(time.UnixMilli(start+1), []byte{9, 9, 9, 9}), Digest{1}, start + lifetime + 1, false, ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			answers.Expire(test.now)
			_, found, refusal := answers.Lookup(test.id, test.digest, test.now)
			var code port.Code
			if refusal != nil {
				code = refusal.Code
			}
			if found != test.found || code != test.code {
				t.Fatalf("found %v, code %q", found, code)
			}
		})
	}
}

// TestClientClockAheadDoesNotExpireOthers checks that a client whose clock is ahead does not
// make the changes of others count as expired.
func TestClientClockAheadDoesNotExpireOthers(t *testing.T) {
	now := int64(1_000_000_000)
	answers := NewCachedResults(8)
	ahead := FormatChangeID(time.UnixMilli(now+MaxCreatedAhead.Milliseconds()), []byte{1, 2, 3, 4})
	answers.Store(ahead, Digest{1}, now, port.Result{Index: 1})
	for range 80 {
		now += time.Minute.Milliseconds()
		answers.Expire(now)
		other := FormatChangeID(time.UnixMilli(now), []byte{5, 6, 7, 8})
		if _, _, refusal := answers.Lookup(other, Digest{2}, now); refusal != nil {
			t.Fatalf("at %d: %v", now, refusal)
		}
	}
	if answers.Len() != 0 {
		t.Fatal("the answer never expires")
	}
}

func TestLeasesHaveOneHolderByEpoch(t *testing.T) {
	var leases Leases
	acquire := func(holder port.NodeID, epoch, next port.Epoch, now int64) port.Code {
		request := port.AcquireLease{Name: "l", Holder: holder, TTL: time.Second, Epoch: epoch}
		if _, _, refusal := leases.Acquire(request, next, now); refusal != nil {
			return refusal.Code
		}
		return ""
	}
	steps := []struct {
		holder      port.NodeID
		epoch, next port.Epoch
		now         int64
		want        port.Code
	}{
		{"n1", 0, 1, 0, ""},
		{"n2", 0, 2, 999, port.CodeLeaseHeld},
		{"n1", 1, 2, 500, ""}, // renewed until 1500
		{"n2", 0, 2, 1400, port.CodeLeaseHeld},
		{"n1", 1, 2, 9000, ""},  // late renewal of a free lease
		{"n2", 0, 2, 10000, ""}, // acquired after expiry
		{"n1", 1, 3, 10001, port.CodeFenced},
		{"n2", 0, 3, 10002, ""}, // restarted holder: new epoch
		{"n2", 2, 4, 10003, port.CodeFenced},
	}
	for number, step := range steps {
		if got := acquire(step.holder, step.epoch, step.next, step.now); got != step.want {
			t.Fatalf("step %d: got %q, want %q", number, got, step.want)
		}
	}
	if _, refusal := leases.Release(port.ReleaseLease{Name: "l", Holder: "n1", Epoch: 1}); refusal == nil {
		t.Fatal("a fenced holder released another's lease")
	}
	if removed := leases.Sweep(10002 + 1000 + leaseRetention.Milliseconds()); len(removed) != 1 {
		t.Fatalf("swept %v", removed)
	}
}
