# The default policy without extra samples.
def plan(pool):
    # Enough samples for the next batch and the one after it.
    wanted = 2 * pool.batch_samples - pool.buffered
    target = min(pool.capacity, max(wanted, pool.group_size))

    # A sample on the oldest allowed version becomes stale at the next publication.
    # While the trainer waits, none happens before the batch is delivered.
    slack = 0 if pool.trainer_waiting else 1
    oldest = pool.version - max(pool.staleness_bound - slack, 0)

    # With spare capacity, each group gets an extra sample: the first ones to finish
    # make the group, so that a long one delays it less often.
    spare = pool.capacity >= 2 * pool.batch_samples

    return struct(
        target_in_flight = target,
        min_version = max(oldest, 0),
        over_provision = 0,
        long_tokens = pool.high_tokens,
        long_priority = 10,
        resume = "failed",
        abandon_age = pool.staleness_bound,
        selection = "oldest_first",
    )
