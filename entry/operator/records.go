package operator

import (
	"context"
	"crypto/rand"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"poplarworks/core/code"
	"poplarworks/core/jsonc"
	"poplarworks/core/record"
	"poplarworks/core/recordformat"
	"poplarworks/entry/records"
	"poplarworks/entry/store"
)

const operatorHeader = "Poplar-Operator"

type wireRecord struct {
	Kind     string `json:"kind"`
	Name     string `json:"name"`
	Schema   int    `json:"schema"`
	Revision uint64 `json:"revision"`
	Writer   string `json:"writer"`
	Source   string `json:"source,omitempty"`
}

func toWire(rec record.Record, source bool) wireRecord {
	writer, _, _ := strings.Cut(rec.WriteID, "/")
	wire := wireRecord{
		Kind:     string(rec.Key.Kind),
		Name:     rec.Key.Name,
		Schema:   rec.Schema,
		Revision: rec.Revision,
		Writer:   writer,
	}
	if source {
		wire.Source = string(rec.Source)
	}
	return wire
}

func (s *Server) listRecords(w http.ResponseWriter, r *http.Request) {
	kind := r.URL.Query().Get("kind")
	list := []wireRecord{}
	for _, rec := range s.Records.Catalog().All() {
		if !rec.Deleted && (kind == "" || kind == string(rec.Key.Kind)) {
			list = append(list, toWire(rec, false))
		}
	}
	writeJSON(w, list)
}

func key(r *http.Request) record.Key {
	return record.Key{Kind: record.Kind(r.PathValue("kind")), Name: r.PathValue("name")}
}

func (s *Server) getRecord(w http.ResponseWriter, r *http.Request) {
	rec, ok := s.Records.Catalog().Get(key(r))
	if !ok || rec.Deleted {
		writeRefusal(w, code.NotFound, "")
		return
	}
	writeJSON(w, toWire(rec, true))
}

func (s *Server) putRecord(w http.ResponseWriter, r *http.Request) {
	rec, ok := readRecord(w, r)
	if !ok {
		return
	}
	if rec.Key != key(r) {
		writeRefusal(w, code.BadRecord, fmt.Sprintf("the record is %s/%s, the path names %s/%s",
			rec.Key.Kind, rec.Key.Name, r.PathValue("kind"), r.PathValue("name")))
		return
	}
	s.write(w, r, rec)
}

func (s *Server) deleteRecord(w http.ResponseWriter, r *http.Request) {
	if current, ok := s.Records.Catalog().Get(key(r)); !ok || current.Deleted {
		writeRefusal(w, code.NotFound, "")
		return
	}
	s.write(w, r, record.Record{Key: key(r), Deleted: true})
}

func (s *Server) validate(w http.ResponseWriter, r *http.Request) {
	rec, ok := readRecord(w, r)
	if !ok {
		return
	}
	if err := s.Records.Catalog().Check(rec); err != nil {
		writeRefusal(w, code.BadRecord, err.Error())
		return
	}
	writeJSON(w, toWire(rec, false))
}

func readRecord(w http.ResponseWriter, r *http.Request) (record.Record, bool) {
	text, err := io.ReadAll(http.MaxBytesReader(w, r.Body, jsonc.MaxBytes))
	if err != nil {
		writeRefusal(w, code.BadRecord, err.Error())
		return record.Record{}, false
	}
	name := r.URL.Query().Get("file")
	if name == "" {
		name = "record"
	}
	rec, err := recordformat.Decode(name, text)
	if err != nil {
		writeRefusal(w, code.BadRecord, err.Error())
		return record.Record{}, false
	}
	return rec, true
}

// write stores a record. The query parameters name the revision that it replaces and the write id.
func (s *Server) write(w http.ResponseWriter, r *http.Request, rec record.Record) {
	replaces, err := strconv.ParseUint(r.URL.Query().Get("replaces"), 10, 64)
	if err != nil {
		writeRefusal(w, code.BadRecord, "replaces: expected the revision that this write replaces, 0 for a new record")
		return
	}
	operator := r.Header.Get(operatorHeader)
	if operator == "" {
		operator = "unnamed"
	}
	id := r.URL.Query().Get("write-id")
	if id == "" {
		id = rand.Text()
	}
	rec.WriteID = strings.ReplaceAll(operator, "/", "-") + "/" + id
	// The write continues when the operator's connection breaks, since it may already have taken effect.
	accepted, err := s.Records.Put(context.WithoutCancel(r.Context()), rec, replaces)
	switch {
	case err == nil:
		s.Log("operator").WithField("record", rec.Key).WithField("revision", accepted.Revision).WithField("writer", operator).Info("A record was accepted.")
		writeJSON(w, toWire(accepted, false))
	case errors.Is(err, records.ErrConflict):
		current := toWire(accepted, false)
		writeRefusal(w, code.RevisionConflict, fmt.Sprintf("revision %d by %s stands, not revision %d", current.Revision, current.Writer, replaces))
	case errors.Is(err, records.ErrInvalid):
		writeRefusal(w, code.BadRecord, err.Error())
	case errors.Is(err, store.ErrUnavailable):
		writeRefusal(w, code.StoreUnavailable, "nothing was written")
	default:
		writeRefusal(w, code.WriteUnknown, "send the same write id again to settle it: "+id)
	}
}
