// Package strictjson decodes JSON into Go values and reports every validation
// error, called a fault, with its path, where encoding/json stops at the first
// one. It rejects unknown and repeated fields, fields of the wrong type, null and
// trailing data.
//
// A struct field takes its name from its json tag. A field whose tag lacks
// "omitempty" is required. Names match exactly, case included.
//
// The package does no I/O and reads no clock.
package strictjson

import (
	"bytes"
	"encoding"
	"encoding/json"
	"fmt"
	"reflect"
	"strings"
)

// Decode reads data into target, a non-nil pointer. It returns every fault it
// finds, and nil when there is none. If there are faults, target holds the parts
// that could be decoded.
func Decode(data []byte, target any) Faults {
	return DecodeAt("", data, target)
}

// DecodeAt is Decode for a part of a document: the paths of faults start with
// the path of the part.
func DecodeAt(path string, data []byte, target any) Faults {
	var d decoder
	var raw json.RawMessage
	err := json.Unmarshal(data, &raw)
	if err != nil {
		d.add(path, syntaxProblem(err))
		return d.faults
	}
	d.value(path, raw, reflect.ValueOf(target).Elem())
	return d.faults
}

func syntaxProblem(err error) string {
	syntax, ok := err.(*json.SyntaxError)
	if !ok {
		return err.Error()
	}
	return fmt.Sprintf("is not JSON: %v at byte %d", syntax, syntax.Offset)
}

type decoder struct {
	faults Faults
}

func (d *decoder) add(path, problem string) {
	d.faults = append(d.faults, NewFault(path, problem))
}

// value decodes one JSON value, which must be well-formed. A json.RawMessage
// receives any value verbatim.
func (d *decoder) value(path string, raw json.RawMessage, target reflect.Value) {
	raw = bytes.TrimSpace(raw)
	verbatim, ok := target.Addr().Interface().(*json.RawMessage)
	if ok {
		*verbatim = bytes.Clone(raw)
		return
	}
	if bytes.Equal(raw, []byte("null")) {
		d.add(path, "must not be null")
		return
	}
	text, ok := target.Addr().Interface().(encoding.TextUnmarshaler)
	if ok {
		d.text(path, raw, text)
		return
	}
	switch target.Kind() {
	case reflect.Struct:
		d.structure(path, raw, target)
	case reflect.Map:
		d.mapping(path, raw, target)
	case reflect.Slice:
		d.list(path, raw, target)
	case reflect.Pointer:
		target.Set(reflect.New(target.Type().Elem()))
		d.value(path, raw, target.Elem())
	default:
		d.scalar(path, raw, target)
	}
}

func (d *decoder) text(path string, raw json.RawMessage, target encoding.TextUnmarshaler) {
	var text string
	err := json.Unmarshal(raw, &text)
	if err != nil {
		d.add(path, "must be a string")
		return
	}
	err = target.UnmarshalText([]byte(text))
	if err != nil {
		d.add(path, err.Error())
	}
}

func (d *decoder) scalar(path string, raw json.RawMessage, target reflect.Value) {
	err := json.Unmarshal(raw, target.Addr().Interface())
	if err != nil {
		d.add(path, "must be "+describe(target.Kind()))
	}
}

func describe(kind reflect.Kind) string {
	switch kind {
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Float32, reflect.Float64:
		return "a number"
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		return "a whole number of at least 0 within its range"
	default:
		return "a whole number within its range"
	}
}

func (d *decoder) list(path string, raw json.RawMessage, target reflect.Value) {
	var elements []json.RawMessage
	err := json.Unmarshal(raw, &elements)
	if err != nil {
		d.add(path, "must be a list")
		return
	}
	list := reflect.MakeSlice(target.Type(), len(elements), len(elements))
	for i, element := range elements {
		d.value(fmt.Sprintf("%s[%d]", path, i), element, list.Index(i))
	}
	target.Set(list)
}

func (d *decoder) mapping(path string, raw json.RawMessage, target reflect.Value) {
	members, ok := d.members(path, raw)
	if !ok {
		return
	}
	result := reflect.MakeMapWithSize(target.Type(), len(members))
	for _, m := range members {
		element := reflect.New(target.Type().Elem()).Elem()
		d.value(Join(path, m.name), m.raw, element)
		result.SetMapIndex(reflect.ValueOf(m.name).Convert(target.Type().Key()), element)
	}
	target.Set(result)
}

func (d *decoder) structure(path string, raw json.RawMessage, target reflect.Value) {
	members, ok := d.members(path, raw)
	if !ok {
		return
	}
	fields := fieldsOf(target.Type())
	present := make([]bool, len(fields))
	for _, m := range members {
		i := indexOf(fields, m.name)
		if i < 0 {
			d.add(Join(path, m.name), "is an unknown field; valid fields are "+fieldNames(fields))
			continue
		}
		present[i] = true
		d.value(Join(path, m.name), m.raw, target.Field(fields[i].index))
	}
	for i, f := range fields {
		if f.required && !present[i] {
			d.add(Join(path, f.name), "is missing")
		}
	}
}

// member is one name and value of a JSON object.
type member struct {
	name string
	raw  json.RawMessage
}

// members lists the members of a JSON object in the order of the input. It
// adds a fault for each repeated name and keeps the first.
func (d *decoder) members(path string, raw json.RawMessage) ([]member, bool) {
	if len(raw) == 0 || raw[0] != '{' {
		d.add(path, "must be an object")
		return nil, false
	}
	reader := json.NewDecoder(bytes.NewReader(raw))
	_, err := reader.Token()
	if err != nil {
		d.add(path, err.Error())
		return nil, false
	}
	var members []member
	seen := make(map[string]bool)
	for reader.More() {
		m, err := readMember(reader)
		if err != nil {
			d.add(path, err.Error())
			return nil, false
		}
		if seen[m.name] {
			d.add(Join(path, m.name), "appears more than once")
			continue
		}
		seen[m.name] = true
		members = append(members, m)
	}
	return members, true
}

func readMember(reader *json.Decoder) (member, error) {
	token, err := reader.Token()
	if err != nil {
		return member{}, err
	}
	name, ok := token.(string)
	if !ok {
		return member{}, fmt.Errorf("has a name that is not a string: %v", token)
	}
	var raw json.RawMessage
	err = reader.Decode(&raw)
	return member{name: name, raw: raw}, err
}

// field is one struct field with a JSON name.
type field struct {
	name     string
	index    int
	required bool
}

func fieldsOf(structure reflect.Type) []field {
	var fields []field
	for i := range structure.NumField() {
		name, options, _ := strings.Cut(structure.Field(i).Tag.Get("json"), ",")
		if name == "" || name == "-" {
			continue
		}
		optional := strings.Contains(options, "omitempty") || strings.Contains(options, "omitzero")
		fields = append(fields, field{name: name, index: i, required: !optional})
	}
	return fields
}

func indexOf(fields []field, name string) int {
	for i, f := range fields {
		if f.name == name {
			return i
		}
	}
	return -1
}

func fieldNames(fields []field) string {
	names := make([]string, len(fields))
	for i, f := range fields {
		names[i] = f.name
	}
	return strings.Join(names, ", ")
}
