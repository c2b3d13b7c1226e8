package coordinator

import "math/bits"

// lengthDistribution remembers the lengths of finished samples in buckets of an
// eighth of a power of two, halved now and then so that it follows a change.
type lengthDistribution struct {
	counts [lengthBuckets]float64
	sums   [lengthBuckets]float64
	total  float64
}

const (
	subBuckets    = 8
	lengthBuckets = 32 * subBuckets
	// minLengths is how many samples a prediction needs.
	minLengths = 32
	// maxLengths is the weight at which the past is halved.
	maxLengths = 4096
)

// bucketOf gives the bucket of a length.
func bucketOf(length int) int {
	if length < subBuckets {
		return max(length, 0)
	}
	power := bits.Len(uint(length)) - 1
	part := (length >> (power - 3)) & (subBuckets - 1)
	return min((power-2)*subBuckets+part, lengthBuckets-1)
}

func (d *lengthDistribution) add(length int) {
	bucket := bucketOf(length)
	d.counts[bucket]++
	d.sums[bucket] += float64(length)
	d.total++
	if d.total <= maxLengths {
		return
	}
	d.total /= 2
	for index := range d.counts {
		d.counts[index] /= 2
		d.sums[index] /= 2
	}
}

// expectedRemaining gives the mean of what samples of at least this length
// still had to come; known is false while too few samples finished.
func (d *lengthDistribution) expectedRemaining(length int) (tokens int, known bool) {
	if d.total < minLengths {
		return 0, false
	}
	var count, sum float64
	for bucket := bucketOf(length); bucket < lengthBuckets; bucket++ {
		count += d.counts[bucket]
		sum += d.sums[bucket]
	}
	if count == 0 {
		return 0, true
	}
	return max(int(sum/count)-length, 0), true
}

// quantile gives the mean length of the bucket that holds the quantile; 0 while
// too few samples finished.
func (d *lengthDistribution) quantile(share float64) int {
	if d.total < minLengths {
		return 0
	}
	var seen float64
	for bucket, count := range d.counts {
		seen += count
		if count > 0 && seen >= share*d.total {
			return int(d.sums[bucket] / count)
		}
	}
	return 0
}
