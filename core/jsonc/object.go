package jsonc

import (
	"fmt"
	"net/netip"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/tailscale/hujson"
)

// MaxBytes is the largest text that Parse accepts, in bytes.
const MaxBytes = 1 << 20

// Object gives typed access to the members of one JSON object and collects the problems found while reading them.
type Object struct {
	source  *source
	path    string
	offset  int
	members map[string]hujson.Value
	used    map[string]bool
}

// source is the parsed text, which an object shares with its child objects.
type source struct {
	file     string
	text     []byte
	problems []string
	fields   []string // members that were read, each with the path of its object
}

// Parse reads one object from the text. The file name is used in error messages.
func Parse(file string, text []byte) (*Object, error) {
	if len(text) > MaxBytes {
		return nil, errors.Newf("%s:1: expected at most %d bytes, got %d", file, MaxBytes, len(text))
	}
	if nestingBound(text) > maxDepth {
		return nil, errors.Newf("%s:1: expected at most %d levels of nesting", file, maxDepth)
	}
	value, err := hujson.Parse(text)
	if err != nil {
		return nil, errors.Newf("%s: %s", file, strings.TrimPrefix(err.Error(), "hujson: "))
	}
	src := &source{file: file, text: text}
	obj := src.newObject("", value)
	if obj == nil {
		return nil, src.err()
	}
	return obj, nil
}

// newObject returns the object that the value holds. If the value is not an object, it records a problem and returns nil.
func (s *source) newObject(path string, value hujson.Value) *Object {
	body, ok := value.Value.(*hujson.Object)
	if !ok {
		s.problem(value.StartOffset, path, "expected an object")
		return nil
	}
	obj := &Object{
		source:  s,
		path:    path,
		offset:  value.StartOffset,
		members: map[string]hujson.Value{},
		used:    map[string]bool{},
	}
	for _, m := range body.Members {
		name := literalString(m.Name)
		if _, duplicate := obj.members[name]; duplicate {
			s.problem(m.Name.StartOffset, obj.field(name), "expected each field once")
		}
		obj.members[name] = m.Value
	}
	return obj
}

func literalString(value hujson.Value) string {
	literal, ok := value.Value.(hujson.Literal)
	if !ok {
		return ""
	}
	return literal.String()
}

// problem records a problem at the line of the offset.
func (s *source) problem(offset int, field, text string) {
	line := 1 + strings.Count(string(s.text[:min(offset, len(s.text))]), "\n")
	if field == "" {
		field = "(whole)"
	}
	s.problems = append(s.problems, fmt.Sprintf("%s:%d: %s: %s", s.file, line, field, text))
}

func (s *source) err() error {
	if len(s.problems) == 0 {
		return nil
	}
	return errors.Newf("%s", strings.Join(s.problems, "\n"))
}

// field returns the full path of the member.
func (o *Object) field(name string) string {
	if o.path == "" {
		return name
	}
	return o.path + "." + name
}

// Has reports whether the member is present.
func (o *Object) Has(name string) bool {
	_, ok := o.members[name]
	return ok
}

// Problem records a problem with the value of the member.
func (o *Object) Problem(name, text string) {
	offset := o.offset
	if value, ok := o.members[name]; ok {
		offset = value.StartOffset
	}
	o.source.problem(offset, o.field(name), text)
}

// Fields returns the members that were read, present or not, each with the path of its object. Tests use it to check a
// reference page against the code.
func (o *Object) Fields() []string {
	return o.source.fields
}

// markUsed records that the member was read, so that Close does not report it as unknown.
func (o *Object) markUsed(name string) {
	if !o.used[name] {
		o.source.fields = append(o.source.fields, o.field(name))
	}
	o.used[name] = true
}

// literalOfKind returns the member's value if it has the kind. If it has another kind, it records a problem.
func (o *Object) literalOfKind(name string, kind hujson.Kind, want string) (hujson.Literal, bool) {
	o.markUsed(name)
	value, ok := o.members[name]
	if !ok {
		return nil, false
	}
	literal, ok := value.Value.(hujson.Literal)
	if !ok || literal.Kind() != kind {
		o.Problem(name, "expected "+want)
		return nil, false
	}
	return literal, true
}

// String reads a string. It returns the fallback if the member is absent.
func (o *Object) String(name, fallback string) string {
	literal, ok := o.literalOfKind(name, '"', "a string")
	if !ok {
		return fallback
	}
	return literal.String()
}

// Required reads a string that must be present and not empty.
func (o *Object) Required(name string) string {
	text := o.String(name, "")
	if !o.Has(name) || text == "" && o.isString(name) {
		o.Problem(name, "expected a string that is not empty")
	}
	return text
}

func (o *Object) isString(name string) bool {
	literal, ok := o.members[name].Value.(hujson.Literal)
	return ok && literal.Kind() == '"'
}

// OneOf reads a string that must be one of the choices. It returns the first choice if the member is absent.
func (o *Object) OneOf(name string, choices ...string) string {
	text := o.String(name, choices[0])
	for _, c := range choices {
		if text == c {
			return text
		}
	}
	o.Problem(name, "expected one of "+strings.Join(choices, ", "))
	return choices[0]
}

// Bool reads true or false. It returns the fallback if the member is absent.
func (o *Object) Bool(name string, fallback bool) bool {
	o.markUsed(name)
	value, ok := o.members[name]
	if !ok {
		return fallback
	}
	literal, ok := value.Value.(hujson.Literal)
	if !ok || (literal.Kind() != 't' && literal.Kind() != 'f') {
		o.Problem(name, "expected true or false")
		return fallback
	}
	return literal.Bool()
}

// Int reads a whole number from low to high. It returns the fallback if the member is absent.
func (o *Object) Int(name string, fallback, low, high int) int {
	number := o.Float(name, float64(fallback), float64(low), float64(high))
	if number != float64(int(number)) {
		o.Problem(name, fmt.Sprintf("expected a whole number from %d to %d", low, high))
		return fallback
	}
	return int(number)
}

// Float reads a number from low to high. It returns the fallback if the member is absent.
func (o *Object) Float(name string, fallback, low, high float64) float64 {
	literal, ok := o.literalOfKind(name, '0', "a number")
	if !ok {
		return fallback
	}
	number := literal.Float()
	if !(number >= low && number <= high) {
		o.Problem(name, fmt.Sprintf("expected a number from %v to %v", low, high))
		return fallback
	}
	return number
}

// Duration reads a duration such as "250ms" from low to high. It returns the fallback if the member is absent.
func (o *Object) Duration(name string, fallback, low, high time.Duration) time.Duration {
	literal, ok := o.literalOfKind(name, '"', `a duration such as "250ms"`)
	if !ok {
		return fallback
	}
	duration, err := time.ParseDuration(literal.String())
	if err != nil || duration < low || duration > high {
		o.Problem(name, fmt.Sprintf("expected a duration from %v to %v", low, high))
		return fallback
	}
	return duration
}

// Time reads a time in RFC 3339 format. It returns the zero time if the member is absent.
func (o *Object) Time(name string) time.Time {
	literal, ok := o.literalOfKind(name, '"', "a time such as \"2026-12-24T18:00:00Z\"")
	if !ok {
		return time.Time{}
	}
	parsed, err := time.Parse(time.RFC3339, literal.String())
	if err != nil {
		o.Problem(name, "expected a time such as \"2026-12-24T18:00:00Z\"")
	}
	return parsed
}

// AddrPort reads an IP address with a port. It returns the zero value if the member is absent.
func (o *Object) AddrPort(name string) netip.AddrPort {
	text := o.String(name, "")
	if text == "" {
		return netip.AddrPort{}
	}
	address, err := netip.ParseAddrPort(text)
	if err != nil {
		o.Problem(name, `expected an IP address with a port such as "127.0.0.1:8080"`)
	}
	return address
}

// Strings reads a list of strings.
func (o *Object) Strings(name string) []string {
	var texts []string
	for _, value := range o.list(name) {
		literal, ok := value.Value.(hujson.Literal)
		if !ok || literal.Kind() != '"' {
			o.source.problem(value.StartOffset, o.field(name), "expected a list of strings")
			continue
		}
		texts = append(texts, literal.String())
	}
	return texts
}

// Ints reads a list of whole numbers from low to high.
func (o *Object) Ints(name string, low, high int) []int {
	var numbers []int
	for _, value := range o.list(name) {
		literal, ok := value.Value.(hujson.Literal)
		if !ok || literal.Kind() != '0' || literal.Int() < int64(low) || literal.Int() > int64(high) {
			o.source.problem(value.StartOffset, o.field(name), fmt.Sprintf("expected whole numbers from %d to %d", low, high))
			continue
		}
		numbers = append(numbers, int(literal.Int()))
	}
	return numbers
}

// Objects reads a list of objects.
func (o *Object) Objects(name string) []*Object {
	var objects []*Object
	for i, value := range o.list(name) {
		path := fmt.Sprintf("%s[%d]", o.field(name), i)
		if child := o.source.newObject(path, value); child != nil {
			objects = append(objects, child)
		}
	}
	return objects
}

func (o *Object) list(name string) []hujson.Value {
	o.markUsed(name)
	value, ok := o.members[name]
	if !ok {
		return nil
	}
	array, ok := value.Value.(*hujson.Array)
	if !ok {
		o.Problem(name, "expected a list")
		return nil
	}
	return array.Elements
}

// Object reads an object. It returns an empty object if the member is absent.
func (o *Object) Object(name string) *Object {
	o.used[name] = true
	if value, ok := o.members[name]; ok {
		if child := o.source.newObject(o.field(name), value); child != nil {
			return child
		}
	}
	return &Object{source: o.source, path: o.field(name), offset: o.offset, used: map[string]bool{}}
}

// Close records every member that was not read as unknown. It must be called once for each object.
func (o *Object) Close() {
	for name, value := range o.members {
		if !o.used[name] {
			o.source.problem(value.StartOffset, o.field(name), "unknown field")
		}
	}
}

// Err returns all problems found so far, one per line, or nil if there are none.
func (o *Object) Err() error {
	return o.source.err()
}
