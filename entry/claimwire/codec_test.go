package claimwire

import (
	"reflect"
	"testing"
	"time"

	"poplarworks/core/answer"
	"poplarworks/core/claimrow"
)

func sample() claimrow.Row {
	return claimrow.Row{
		Entry: "entry-1", Incarnation: 5, Nonce: "n", Fingerprint: []byte{1, 2}, State: claimrow.Done,
		Created: time.UnixMilli(1000), Expires: time.UnixMilli(2000),
		Answer: &answer.Answer{Status: 201, Fields: []answer.Field{{Name: "A", Value: "b"}}, Body: []byte("x")}, ObjectName: "o",
	}
}

func TestRowRoundTrip(t *testing.T) {
	data, err := Codec{}.Marshal(sample())
	if err != nil {
		t.Fatal(err)
	}
	got, err := Codec{}.Unmarshal(data)
	if err != nil || !reflect.DeepEqual(got, sample()) {
		t.Errorf("got %+v (%v), want %+v", got, err, sample())
	}
}

func TestUnknownStateIsRefused(t *testing.T) {
	row := sample()
	row.State = "sealed"
	data, err := Codec{}.Marshal(row)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := (Codec{}).Unmarshal(data); err == nil {
		t.Error("got no error for an unknown state, want one")
	}
}

// FuzzUnmarshal checks that no input makes the codec panic, and that a decoded value survives encoding and decoding.
func FuzzUnmarshal(f *testing.F) {
	data, _ := Codec{}.Marshal(sample())
	f.Add(data)
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, data []byte) {
		first, err := Codec{}.Unmarshal(data)
		if err != nil {
			return
		}
		encoded, err := Codec{}.Marshal(first)
		if err != nil {
			t.Skip("a row with text that is not UTF-8 cannot be written")
		}
		second, err := Codec{}.Unmarshal(encoded)
		if err != nil || second.Nonce != first.Nonce || second.State != first.State {
			t.Errorf("got %+v (%v), want %+v", second, err, first)
		}
	})
}
