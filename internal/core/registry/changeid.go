package registry

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/loomgrade/loomgrade/internal/port"
)

// Limits of a change id.
const (
	changeIDMinRandom = 8
	changeIDMaxRandom = 64
)

// FormatChangeID returns the change id "<creation in milliseconds since the epoch>-<random hex>".
// The creation time distinguishes a new change from a retry of one whose answer expired.
func FormatChangeID(created time.Time, random []byte) string {
	return fmt.Sprintf("%d-%x", created.UnixMilli(), random)
}

// ParseChangeID returns the creation time of a change id in milliseconds since the epoch. The
// error is a *port.Error with code CodeInvalid.
func ParseChangeID(id string) (created int64, err error) {
	malformed := port.InvalidField("change_id", id, "<unix milliseconds>-<8 to 64 lower-case hex digits>")
	text, random, found := strings.Cut(id, "-")
	if !found || len(random) < changeIDMinRandom || len(random) > changeIDMaxRandom {
		return 0, malformed
	}
	if strings.Trim(random, "0123456789abcdef") != "" {
		return 0, malformed
	}
	created, parseErr := strconv.ParseInt(text, 10, 64)
	if parseErr != nil || created <= 0 || strconv.FormatInt(created, 10) != text {
		return 0, malformed
	}
	return created, nil
}
