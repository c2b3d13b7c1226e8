# For a pool whose readers see the newest weights: little work ahead of the
# trainer, only replicas on the current version, freshest groups first.

def plan(pool):
    # Start no more than the batch being made still lacks.
    wanted = pool.batch_samples - pool.buffered
    if pool.trainer_waiting:
        wanted += pool.batch_samples // 4

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
        selection = "freshest_first",
    )
