# Each sample comes from one weight version alone: a sample that a weight switch
# would split is started again.

def plan(pool):
    return struct(
        target_in_flight = min(pool.capacity, 2 * pool.batch_samples),
        min_version = pool.version,
        max_versions = 1,
        resume = "never",
        long_priority = 20,
    )
