# Keeps trainers busy: it starts work for the next batches early, adds extra
# samples to groups, and gives long samples priority and a second replica. With an
# extra sample a group can finish without its longest one, which biases training
# towards shorter samples. Remove over_provision where that matters.

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
