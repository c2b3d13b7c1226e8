# Generates each sample with a single weight version: a sample interrupted by a weight
# switch restarts.

def plan(pool):
    return struct(
        target_in_flight = min(pool.capacity, 2 * pool.batch_samples),
        min_version = pool.version,
        max_versions = 1,
        resume = "never",
        long_priority = 20,
    )
