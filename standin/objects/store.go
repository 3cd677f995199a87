package objects

import "sync"

// Store is an in-memory object store. It is safe for concurrent use.
type Store struct {
	mu      sync.Mutex
	objects map[string][]byte
}

// Put creates or replaces an object.
func (s *Store) Put(name string, body []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.objects == nil {
		s.objects = map[string][]byte{}
	}
	s.objects[name] = body
}

// Get returns an object and reports whether it exists.
func (s *Store) Get(name string) ([]byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	body, ok := s.objects[name]
	return body, ok
}

// Delete removes an object if it exists.
func (s *Store) Delete(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.objects, name)
}
