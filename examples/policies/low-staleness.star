# For a pool whose readers see the newest weights: little work ahead of the
# trainer, only replicas on the current version, and no group left behind.

def plan(pool):
    # Finished samples of groups that are not whole yet are counted nowhere, so
    # aiming for a whole batch would start more than one. The rest of it starts
    # when the trainer waits.
    wanted = pool.batch_samples * 7 // 8
    if pool.trainer_waiting:
        wanted = pool.batch_samples
    wanted -= pool.buffered + pool.scoring

    behind = [r.id for r in pool.replicas if r.version != pool.version]
    if len(behind) == len(pool.replicas):
        behind = []

    return struct(
        target_in_flight = min(pool.capacity, max(wanted, 0)),
        min_version = max(pool.version - 1, 0),
        exclude = behind,
        resume = "failed",
        predict_stale = True,
        abandon_age = pool.staleness_bound,
        # Freshest first would leave older groups to go stale.
        selection = "oldest_first",
    )
