# Keeps samples fresh: it starts little work ahead of the trainer, uses only replicas
# on the current version, and delivers the oldest groups first.

def plan(pool):
    # The view does not count finished samples of incomplete groups, so a target of
    # a full batch would start more than one batch. The rest starts when the trainer
    # waits.
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
        # With freshest_first, older groups would become stale.
        selection = "oldest_first",
    )
