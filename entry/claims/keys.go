package claims

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"poplarworks/core/claimrow"
)

const (
	claimPrefix  = "claim/"
	expiryPrefix = "expiry/"
	answerPrefix = "answers/"
)

// expiryKey returns the key of the index row through which the clean-up finds a claim. These keys sort by hour of
// expiry.
func expiryKey(row claimrow.Row, key string) string {
	return fmt.Sprintf("%s%010d/%s", expiryPrefix, row.Expires.Unix()/3600, strings.TrimPrefix(key, claimPrefix))
}

// parseExpiryKey returns the hour of expiry and the key of the claim that an index row names.
func parseExpiryKey(key string) (time.Time, string, bool) {
	hour, id, ok := strings.Cut(strings.TrimPrefix(key, expiryPrefix), "/")
	number, err := strconv.ParseInt(hour, 10, 64)
	return time.Unix(number*3600, 0), claimPrefix + id, ok && err == nil
}
