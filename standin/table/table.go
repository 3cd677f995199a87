package table

import (
	"sort"
	"strings"
	"sync"
)

// Row is one row; a version of zero stands for a row that does not exist.
type Row struct {
	Key     string
	Value   []byte
	Version uint64
}

// Write replaces or deletes one row.
type Write struct {
	Key    string
	Value  []byte
	Delete bool
}

// Table is a transactional table that is safe for concurrent use.
type Table struct {
	mu      sync.Mutex
	rows    map[string]Row
	keys    []string // sorted
	version uint64
}

// Get returns the rows in the order of the keys; missing ones have version zero.
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

// Scan returns at most limit rows whose keys have the prefix and come after the key given.
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

// Transact applies all writes if every condition row has the version stated, and else returns the rows that differ.
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
