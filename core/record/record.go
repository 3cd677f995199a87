package record

import (
	"poplarworks/core/limits"
	"poplarworks/core/rule"
	"poplarworks/core/service"
	"poplarworks/core/stop"
)

// Kind says what a record describes.
type Kind string

// The kinds of records.
const (
	KindService Kind = "service"
	KindRule    Kind = "rule"
	KindStop    Kind = "stop"
	KindLimits  Kind = "limits"
)

// Key names a record.
type Key struct {
	Kind Kind
	Name string
}

// Record is one version of an operators' record; the field of its kind is set unless it is deleted.
type Record struct {
	Key      Key
	Schema   int
	Revision uint64 // place in the order of all writes; zero before acceptance
	WriteID  string // chosen by the writer, to settle a lost answer
	Deleted  bool
	Source   []byte // the text as the operator wrote it
	Service  *service.Service
	Rule     *rule.Rule
	Stop     *stop.Stop
	Limits   *limits.Limits
}
