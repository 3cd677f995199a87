package recordwire

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"poplarworks/core/record"
	"poplarworks/core/recordformat"
	"poplarworks/entry/peerpb"
)

// Codec encodes and decodes records.
type Codec struct{}

// ToWire converts a record to its message.
func (Codec) ToWire(rec record.Record) *peerpb.Record {
	return &peerpb.Record{
		Kind:     string(rec.Key.Kind),
		Name:     rec.Key.Name,
		Revision: rec.Revision,
		WriteId:  rec.WriteID,
		Deleted:  rec.Deleted,
		Source:   rec.Source,
	}
}

// FromWire converts a message to its record. It fails if the source has a schema that this entry does not support.
func (Codec) FromWire(wire *peerpb.Record) (record.Record, error) {
	rec := record.Record{}
	if !wire.GetDeleted() {
		decoded, err := recordformat.Decode(fmt.Sprintf("%s/%s", wire.GetKind(), wire.GetName()), wire.GetSource())
		if err != nil {
			return record.Record{}, err
		}
		rec = decoded
	}
	rec.Key = record.Key{Kind: record.Kind(wire.GetKind()), Name: wire.GetName()}
	rec.Revision = wire.GetRevision()
	rec.WriteID = wire.GetWriteId()
	rec.Deleted = wire.GetDeleted()
	rec.Source = wire.GetSource()
	return rec, nil
}

// Marshal encodes a record.
func (c Codec) Marshal(rec record.Record) ([]byte, error) {
	return proto.Marshal(c.ToWire(rec))
}

// Unmarshal decodes a record.
func (c Codec) Unmarshal(data []byte) (record.Record, error) {
	wire := &peerpb.Record{}
	if err := proto.Unmarshal(data, wire); err != nil {
		return record.Record{}, err
	}
	return c.FromWire(wire)
}

// MarshalAll encodes a snapshot of all records up to the revision head.
func (c Codec) MarshalAll(records []record.Record, head uint64) ([]byte, error) {
	wire := &peerpb.Records{Head: head}
	for _, rec := range records {
		wire.Records = append(wire.Records, c.ToWire(rec))
	}
	return proto.Marshal(wire)
}

// UnmarshalAll decodes a snapshot. It skips records that cannot be decoded, such as those with an unknown schema, and
// returns the error of the last one together with the other records.
func (c Codec) UnmarshalAll(data []byte) (records []record.Record, head uint64, err error) {
	wire := &peerpb.Records{}
	if err := proto.Unmarshal(data, wire); err != nil {
		return nil, 0, err
	}
	for _, w := range wire.GetRecords() {
		rec, decodeErr := c.FromWire(w)
		if decodeErr != nil {
			err = decodeErr
			continue
		}
		records = append(records, rec)
	}
	return records, wire.GetHead(), err
}
