package coordinator

import "math/bits"

// lengthDistribution is a histogram of the lengths of finished samples with eight
// buckets per power of two. It halves older counts to follow changes.
type lengthDistribution struct {
	counts [lengthBuckets]float64
	sums   [lengthBuckets]float64
	total  float64
}

const (
	subBuckets    = 8
	lengthBuckets = 32 * subBuckets
	// minObservations is the number of samples needed for a prediction.
	minObservations = 32
	// decayThreshold is the total weight above which all counts are halved.
	decayThreshold = 4096
)

// bucketOf returns the bucket for a length.
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
	if d.total <= decayThreshold {
		return
	}
	d.total /= 2
	for index := range d.counts {
		d.counts[index] /= 2
		d.sums[index] /= 2
	}
}

// expectedRemaining returns the mean number of tokens that samples of at least this
// length still generated; known is false while too few samples have finished.
func (d *lengthDistribution) expectedRemaining(length int) (tokens int, known bool) {
	if d.total < minObservations {
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

// quantile returns the mean length of the bucket that contains the quantile, or 0
// while too few samples have finished.
func (d *lengthDistribution) quantile(share float64) int {
	if d.total < minObservations {
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
