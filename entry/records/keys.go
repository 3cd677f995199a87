package records

import (
	"fmt"
	"strconv"

	"poplarworks/core/record"
	"poplarworks/entry/table"
)

func recordKey(key record.Key) string {
	return recordPrefix + string(key.Kind) + "/" + key.Name
}

func changeKey(revision uint64) string {
	return fmt.Sprintf("%s%020d", changePrefix, revision)
}

func parseHead(row table.Row) uint64 {
	head, err := strconv.ParseUint(string(row.Value), 10, 64)
	if err != nil {
		return 0
	}
	return head
}

func formatHead(head uint64) []byte {
	return strconv.AppendUint(nil, head, 10)
}
