package table

import (
	"sort"
	"strings"
	"sync"
)

// Row is one row of the table. Version zero means that the row does not exist.
type Row struct {
	Key     string
	Value   []byte
	Version uint64
}

// Write creates, replaces or deletes one row.
type Write struct {
	Key    string
	Value  []byte
	Delete bool
}

// Table is an in-memory table with transactions. It is safe for concurrent use.
type Table struct {
	mu      sync.Mutex
	rows    map[string]Row
	keys    []string // sorted
	version uint64
}

// Get returns the rows in the order of the keys. Missing rows have version zero.
func (t *Table) Get(keys []string) []Row {
	t.mu.Lock()
	defer t.mu.Unlock()
	rows := make([]Row, 0, len(keys))
	for _, key := range keys {
		rows = append(rows, t.get(key))
	}
	return rows
}

func (t *Table) get(key string) Row {
	row, ok := t.rows[key]
	if !ok {
		return Row{Key: key}
	}
	return row
}

// Scan returns, in the order of their keys, at most limit rows whose keys have the prefix and are greater than after.
func (t *Table) Scan(prefix, after string, limit int) []Row {
	t.mu.Lock()
	defer t.mu.Unlock()
	start := max(prefix, after)
	var rows []Row
	for i := sort.SearchStrings(t.keys, start); i < len(t.keys) && len(rows) < limit; i++ {
		key := t.keys[i]
		if !strings.HasPrefix(key, prefix) {
			break
		}
		if key != after {
			rows = append(rows, t.rows[key])
		}
	}
	return rows
}

// Transact applies all writes if every row in conditions still has the version given there. Otherwise it writes nothing
// and returns the current rows whose versions differ.
func (t *Table) Transact(conditions []Row, writes []Write) []Row {
	t.mu.Lock()
	defer t.mu.Unlock()
	var conflicts []Row
	for _, c := range conditions {
		if row := t.get(c.Key); row.Version != c.Version {
			conflicts = append(conflicts, row)
		}
	}
	if len(conflicts) > 0 {
		return conflicts
	}
	for _, w := range writes {
		t.write(w)
	}
	return nil
}

func (t *Table) write(w Write) {
	if t.rows == nil {
		t.rows = map[string]Row{}
	}
	_, exists := t.rows[w.Key]
	if w.Delete {
		if exists {
			i := sort.SearchStrings(t.keys, w.Key)
			t.keys = append(t.keys[:i], t.keys[i+1:]...)
			delete(t.rows, w.Key)
		}
		return
	}
	if !exists {
		i := sort.SearchStrings(t.keys, w.Key)
		t.keys = append(t.keys, "")
		copy(t.keys[i+1:], t.keys[i:])
		t.keys[i] = w.Key
	}
	t.version++
	t.rows[w.Key] = Row{Key: w.Key, Value: w.Value, Version: t.version}
}
