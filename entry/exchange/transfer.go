package exchange

import (
	"poplarworks/core/rule"
	"poplarworks/entry/sockets"
)

// transferBytes is the memory for one direction of a transfer: what the kernel has received from one side, what it has
// to send to the other, and a copy buffer, in bytes.
const transferBytes = 2*sockets.DirectionBytes + copyBufferSize

// transferHeadroomShare is the share of the transfer quota that requests with long answers leave to the others, as one
// part in this many.
const transferHeadroomShare = 4

// reserveTransfer reserves the memory for the transfer with one target until the caller has received the answer, and
// reports whether it is free. A body that is buffered completely is counted by its own quota.
func (c *call) reserveTransfer() bool {
	needed, headroom := int64(transferBytes), int64(0)
	if c.body.rest != nil {
		needed *= 2
	}
	if c.rule.LargeAnswers || c.rule.Class == rule.Long {
		headroom = c.TransferQuota.Max / transferHeadroomShare
	}
	if !c.TransferQuota.ReserveWithHeadroom(needed, headroom) {
		c.Counter("caller.transfer-quota-full").Inc(1)
		return false
	}
	c.transferReserved += needed
	return true
}
