package recordwire

import (
	"reflect"
	"testing"

	"poplarworks/core/record"
	"poplarworks/core/recordformat"
)

const text = `{"schema": 1, "kind": "service", "name": "s", "targets": ["a=127.0.0.1:81"]}`

func sample(t testing.TB) record.Record {
	t.Helper()
	rec, err := recordformat.Decode("test", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	rec.Revision, rec.WriteID = 7, "ann/1"
	return rec
}

func TestRecordRoundTrip(t *testing.T) {
	tombstone := record.Record{Key: record.Key{Kind: record.KindRule, Name: "r"}, Revision: 9, WriteID: "bob/2", Deleted: true}
	for _, want := range []record.Record{sample(t), tombstone} {
		data, err := Codec{}.Marshal(want)
		if err != nil {
			t.Fatal(err)
		}
		got, err := Codec{}.Unmarshal(data)
		if err != nil || !reflect.DeepEqual(got, want) {
			t.Errorf("got %+v (%v), want %+v", got, err, want)
		}
	}
}

func TestSnapshotSkipsUnknownSchemas(t *testing.T) {
	newer := record.Record{Key: record.Key{Kind: record.KindRule, Name: "n"}, Revision: 8, Source: []byte(`{"schema": 3, "kind": "rule"}`)}
	data, err := Codec{}.MarshalAll([]record.Record{newer, sample(t)}, 8)
	if err != nil {
		t.Fatal(err)
	}
	records, head, err := Codec{}.UnmarshalAll(data)
	if err == nil || head != 8 || len(records) != 1 || records[0].Key.Name != "s" {
		t.Errorf("got %d records up to %d (%v), want the known one, 8 and an error", len(records), head, err)
	}
}

// FuzzUnmarshal checks that no input makes the codec panic, and that a decoded value survives encoding and decoding.
func FuzzUnmarshal(f *testing.F) {
	data, _ := Codec{}.Marshal(sample(f))
	f.Add(data)
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, data []byte) {
		first, err := Codec{}.Unmarshal(data)
		if err != nil {
			return
		}
		encoded, err := Codec{}.Marshal(first)
		if err != nil {
			t.Fatalf("got %v for a record that was read", err)
		}
		second, err := Codec{}.Unmarshal(encoded)
		if err != nil || second.Revision != first.Revision || second.Key != first.Key {
			t.Errorf("got %+v (%v), want %+v", second, err, first)
		}
	})
}
