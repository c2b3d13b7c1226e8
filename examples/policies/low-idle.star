# For a pool whose trainers must not wait: work for the next batches runs ahead,
# groups get extra samples, and long samples get priority and a second replica.
# An extra sample lets a group do without its longest one: the trainer idles less
# and learns from shorter samples. Leave over_provision out where that matters.

def plan(pool):
    ahead = pool.buffer_batches * pool.batch_samples - pool.buffered
    extra = 1 if pool.in_flight < pool.capacity else 0

    return struct(
        target_in_flight = min(pool.capacity, max(ahead, pool.group_size)),
        over_provision = extra,
        long_tokens = max(pool.high_tokens, 1),
        long_priority = 50,
        resume = "long",
        predict_stale = True,
        abandon_age = pool.staleness_bound,
        selection = "oldest_first",
    )
