# The default policy with one sample more than a group needs, always.
def plan(pool):
    # One batch that is wanted now and one that is being made.
    wanted = 2 * pool.batch_samples - pool.buffered
    target = min(pool.capacity, max(wanted, pool.group_size))

    # A sample that starts on the oldest allowed version has no time left, unless
    # the trainer waits for it: then no newer version comes before the batch does.
    slack = 0 if pool.trainer_waiting else 1
    oldest = pool.version - max(pool.staleness_bound - slack, 0)

    # With room to spare, one sample more than a group needs: the first ones to
    # finish make the group, so that a long one holds it up less often.
    spare = pool.capacity >= 2 * pool.batch_samples

    return struct(
        target_in_flight = target,
        min_version = max(oldest, 0),
        over_provision = 1,
        long_tokens = pool.high_tokens,
        long_priority = 10,
        resume = "failed",
        abandon_age = pool.staleness_bound,
        selection = "oldest_first",
    )
