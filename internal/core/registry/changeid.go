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

// FormatChangeID builds the change id "<milliseconds since 1970>-<random hex>".
// The time of birth lets the state machine tell a resend whose answer is no
// longer kept from a new change.
func FormatChangeID(birth time.Time, random []byte) string {
	return fmt.Sprintf("%d-%x", birth.UnixMilli(), random)
}

// ParseChangeID gives the birth of a change id in milliseconds since 1970. The
// error is a *port.Error with code CodeInvalid.
func ParseChangeID(id string) (birth int64, err error) {
	malformed := port.InvalidField("change_id", id, "<unix milliseconds>-<8 to 64 lower-case hex digits>")
	text, random, found := strings.Cut(id, "-")
	if !found || len(random) < changeIDMinRandom || len(random) > changeIDMaxRandom {
		return 0, malformed
	}
	if strings.Trim(random, "0123456789abcdef") != "" {
		return 0, malformed
	}
	birth, parseErr := strconv.ParseInt(text, 10, 64)
	if parseErr != nil || birth <= 0 || strconv.FormatInt(birth, 10) != text {
		return 0, malformed
	}
	return birth, nil
}
