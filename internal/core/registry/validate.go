package registry

import (
	"fmt"
	"net/netip"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/loomgrade/loomgrade/internal/port"
)

// Limits of a configuration.
const (
	MaxPools           = 256
	MaxReplicas        = 16384
	MaxTenants         = 4096
	MaxPolicyBytes     = 64 << 10
	MaxEdits           = 2*MaxReplicas + 2*MaxPools + 2
	maxNameLength      = 64
	maxLeaseNameLength = 128
	maxInflight        = 1 << 16
	maxQueue           = 1 << 20
	maxBatch           = 1 << 16
	maxTokens          = 1 << 24
	tokenHexDigits     = 64
	maxAttempts        = 10
	maxDeadline        = 24 * time.Hour
	maxBuffer          = 1024
)

const (
	allowedName = "1 to 64 letters, digits, '.', '_' or '-', first a letter or digit"
	nameRunes   = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789"
)

func validName(name string) bool {
	if name == "" || len(name) > maxNameLength || !strings.ContainsRune(nameRunes, rune(name[0])) {
		return false
	}
	return strings.Trim(name, nameRunes+"._-") == ""
}

func validLeaseName(name string) bool {
	return name != "" && len(name) <= maxLeaseNameLength && strings.Trim(name, nameRunes+"._-/") == ""
}

// ValidateConfiguration checks a complete configuration. The error is a *port.Error with the
// field, its value and the allowed values.
func ValidateConfiguration(configuration port.Configuration) error {
	_, err := ApplyEdits(port.Configuration{}, buildEdits(configuration))
	if err != nil {
		return err
	}
	if field, duplicate := firstDuplicate(configuration); field != "" {
		return port.InvalidField(field, duplicate, "each name once")
	}
	return nil
}

func firstDuplicate(configuration port.Configuration) (field, value string) {
	seen := make(map[string]bool, len(configuration.Replicas))
	for _, pool := range configuration.Pools {
		if seen[string(pool.Name)] {
			return "pools.name", string(pool.Name)
		}
		seen[string(pool.Name)] = true
	}
	clear(seen)
	for _, replica := range configuration.Replicas {
		if seen[string(replica.ID)] {
			return "replicas.id", string(replica.ID)
		}
		seen[string(replica.ID)] = true
	}
	return "", ""
}

// rule is a condition on a field.
type rule struct {
	holds   bool
	field   string
	value   string
	allowed string
}

// firstViolation returns the error of the first rule that does not hold.
func firstViolation(prefix string, rules []rule) *port.Error {
	for _, rule := range rules {
		if !rule.holds {
			return port.InvalidField(prefix+rule.field, rule.value, rule.allowed)
		}
	}
	return nil
}

func intRule(field string, value, low, high int) rule {
	return rule{value >= low && value <= high, field, strconv.Itoa(value), fmt.Sprintf("%d to %d", low, high)}
}

func shareRule(field string, value float64) rule {
	return rule{value >= 0 && value <= 1, field, fmt.Sprint(value), "0 to 1"}
}

func durationRule(field string, value port.Duration, low, high time.Duration) rule {
	duration := time.Duration(value)
	return rule{duration >= low && duration <= high, field, duration.String(), fmt.Sprintf("%v to %v", low, high)}
}

func urlRule(field, value string, required bool) rule {
	return rule{(value == "" && !required) || validURL(value), field, value, "an http or https URL"}
}

func validURL(text string) bool {
	parsed, err := url.Parse(text)
	return err == nil && (parsed.Scheme == "http" || parsed.Scheme == "https") && parsed.Host != ""
}

func validatePool(pool port.Pool) *port.Error {
	admission, retry, ejection := pool.Admission, pool.Retry, pool.Ejection
	kindKnown := pool.Kind == port.PoolGeneration || pool.Kind == port.PoolApplication
	prefix := fmt.Sprintf("pools[%s].", pool.Name)
	refusal := firstViolation(prefix, []rule{
		{validName(string(pool.Name)), "name", string(pool.Name), allowedName},
		{kindKnown, "kind", string(pool.Kind), "generation or application"},
		intRule("admission.min_inflight", admission.MinInflight, 1, maxInflight),
		intRule("admission.max_inflight", admission.MaxInflight, admission.MinInflight, maxInflight),
		intRule("admission.queue_length", admission.QueueLength, 0, maxQueue),
		durationRule("admission.default_deadline", admission.DefaultDeadline, time.Millisecond, maxDeadline),
		intRule("retry.max_attempts", retry.MaxAttempts, 1, maxAttempts),
		shareRule("retry.budget_ratio", retry.BudgetRatio),
		durationRule("retry.base_backoff", retry.BaseBackoff, 0, maxDeadline),
		durationRule("retry.max_backoff", retry.MaxBackoff, time.Duration(retry.BaseBackoff), maxDeadline),
		intRule("ejection.consecutive_failures", ejection.ConsecutiveFailures, 0, maxInflight),
		{ejection.LatencyFactor == 0 || ejection.LatencyFactor >= 1, "ejection.latency_factor", fmt.Sprint(ejection.LatencyFactor), "0, or 1 and above"},
		durationRule("ejection.base_duration", ejection.BaseDuration, 0, maxDeadline),
		shareRule("ejection.max_share", ejection.MaxShare),
		{pool.Sampling == nil || pool.Kind == port.PoolGeneration, "sampling", "set", "only with kind generation"},
		{pool.ReplicasOf == "" || pool.Kind == port.PoolGeneration, "replicas_of", string(pool.ReplicasOf), "empty unless kind is generation"},
		{pool.Adapter == "" || validName(pool.Adapter), "adapter", pool.Adapter, allowedName},
	})
	if refusal != nil || pool.Sampling == nil {
		return refusal
	}
	return validateSampling(prefix+"sampling.", *pool.Sampling)
}

func validateSampling(prefix string, sampling port.Sampling) *port.Error {
	group := max(sampling.GroupSize, 1)
	return firstViolation(prefix, []rule{
		{len(sampling.Policy) <= MaxPolicyBytes, "policy", fmt.Sprintf("%d bytes", len(sampling.Policy)), fmt.Sprintf("up to %d bytes", MaxPolicyBytes)},
		intRule("group_size", sampling.GroupSize, 1, maxBatch),
		intRule("batch_samples", sampling.BatchSamples, 1, maxBatch),
		{sampling.BatchSamples%group == 0, "batch_samples", strconv.Itoa(sampling.BatchSamples), "a multiple of group_size"},
		intRule("max_tokens", sampling.MaxTokens, 1, maxTokens),
		intRule("buffer_batches", sampling.BufferBatches, 0, maxBuffer),
		urlRule("prompt_source", sampling.PromptSource, true),
		urlRule("scorer", sampling.Scorer, false),
		urlRule("weight_store", sampling.WeightStore, false),
	})
}

func validateReplica(replica port.Replica) *port.Error {
	_, addressErr := netip.ParseAddrPort(replica.Address)
	stateKnown := replica.State == port.ReplicaActive || replica.State == port.ReplicaDrain
	return firstViolation(fmt.Sprintf("replicas[%s].", replica.ID), []rule{
		{validName(string(replica.ID)), "id", string(replica.ID), allowedName},
		{validName(string(replica.Pool)), "pool", string(replica.Pool), allowedName},
		{validName(string(replica.Zone)), "zone", string(replica.Zone), allowedName},
		{addressErr == nil, "address", replica.Address, "IP:port"},
		{stateKnown, "state", string(replica.State), "active or drain"},
	})
}

func validateTenants(tenants []port.Tenant) *port.Error {
	if len(tenants) > MaxTenants {
		return port.InvalidField("tenants", strconv.Itoa(len(tenants)), fmt.Sprintf("up to %d", MaxTenants))
	}
	seen := make(map[port.TenantName]bool, len(tenants))
	for _, tenant := range tenants {
		token := tenant.TokenSHA256
		hexDigits := len(token) == tokenHexDigits && strings.Trim(token, "0123456789abcdef") == ""
		refusal := firstViolation(fmt.Sprintf("tenants[%s].", tenant.Name), []rule{
			{validName(string(tenant.Name)), "name", string(tenant.Name), allowedName},
			{!seen[tenant.Name], "name", string(tenant.Name), "each name once"},
			{hexDigits, "token_sha256", token, "64 lower-case hex digits"},
			{tenant.QueueShare > 0 && tenant.QueueShare <= 1, "queue_share", fmt.Sprint(tenant.QueueShare), "over 0, up to 1"},
		})
		if refusal != nil {
			return refusal
		}
		seen[tenant.Name] = true
	}
	return nil
}

func validateNode(node port.NodeAddress) *port.Error {
	_, peerErr := netip.ParseAddrPort(node.PeerAddress)
	_, httpErr := netip.ParseAddrPort(node.HTTPAddress)
	return firstViolation("node.", []rule{
		{validName(string(node.ID)), "id", string(node.ID), allowedName},
		{validName(string(node.Zone)), "zone", string(node.Zone), allowedName},
		{peerErr == nil, "peer_address", node.PeerAddress, "IP:port"},
		{httpErr == nil, "http_address", node.HTTPAddress, "IP:port"},
	})
}
