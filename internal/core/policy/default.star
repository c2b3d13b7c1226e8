# The policy of a pool that names none: keep every replica busy, but hold no
# more work than fresh weights can use.

def plan(pool):
    # One batch that is wanted now and one that is being made.
    wanted = 2 * pool.batch_samples - pool.buffered
    target = min(pool.capacity, max(wanted, pool.group_size))

    return struct(
        target_in_flight = target,
        # A sample that starts on the oldest allowed version has no time left.
        min_version = max(pool.version - max(pool.staleness_bound - 1, 0), 0),
        long_tokens = pool.high_tokens,
        long_priority = 10,
        resume = "failed",
        abandon_age = pool.staleness_bound,
        selection = "oldest_first",
    )
