package record

import (
	"poplarworks/core/limits"
	"poplarworks/core/rule"
	"poplarworks/core/service"
	"poplarworks/core/stop"
)

// Kind is the kind of object that a record describes.
type Kind string

// The kinds of records.
const (
	KindService Kind = "service"
	KindRule    Kind = "rule"
	KindStop    Kind = "stop"
	KindLimits  Kind = "limits"
)

// Key identifies a record.
type Key struct {
	Kind Kind
	Name string
}

// Record is one version of an operator's record. Of Service, Rule, Stop and Limits, only the field of its kind is set. A
// deleted record need not have any of them.
type Record struct {
	Key      Key
	Schema   int
	Revision uint64 // position in the order of all writes; zero until it is accepted
	WriteID  string // chosen by the writer, to find out whether a write took effect if its answer was lost
	Deleted  bool   // whether the record is a tombstone
	Source   []byte // the text as the operator wrote it
	Service  *service.Service
	Rule     *rule.Rule
	Stop     *stop.Stop
	Limits   *limits.Limits
}
