// Package strictjson decodes JSON documents that people write. It reports
// every fault of a document with its JSON path, instead of the first one only:
// unknown fields, wrong types, and what the document's own check finds.
package strictjson

import (
	"bytes"
	"encoding"
	"encoding/json"
	"fmt"
	"io"
	"reflect"
	"sort"
	"strings"
)

// Fault is one thing wrong with a document.
type Fault struct {
	// Path is the JSON path of the faulty value, for example "$.entry.packets".
	Path string
	// Problem says what is wrong and what is expected.
	Problem string
}

// Faults is the list of everything wrong with a document, as an error.
type Faults []Fault

// Error returns one fault a line.
func (f Faults) Error() string {
	lines := make([]string, 0, len(f))
	for _, fault := range f {
		lines = append(lines, fault.Path+": "+fault.Problem)
	}
	return strings.Join(lines, "\n")
}

// Add appends a fault at the path.
func (f *Faults) Add(path, format string, args ...any) {
	*f = append(*f, Fault{Path: path, Problem: fmt.Sprintf(format, args...)})
}

// Decode reads one JSON document of at most limit bytes into target, a pointer
// to a struct. It returns Faults when the document does not fit target.
func Decode(data []byte, limit int, target any) error {
	if len(data) > limit {
		return Faults{{Path: "$", Problem: fmt.Sprintf("document has %d bytes, at most %d are allowed", len(data), limit)}}
	}
	value, err := parse(data)
	if err != nil {
		return Faults{{Path: "$", Problem: err.Error()}}
	}
	var faults Faults
	compare("$", value, reflect.TypeOf(target).Elem(), &faults)
	if len(faults) > 0 {
		return faults
	}
	err = json.Unmarshal(data, target)
	if err != nil {
		return Faults{{Path: "$", Problem: err.Error()}}
	}
	return nil
}

// parse returns the document as generic JSON values and refuses trailing data.
func parse(data []byte) (any, error) {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.UseNumber()
	var value any
	err := decoder.Decode(&value)
	if err == io.EOF {
		return nil, fmt.Errorf("document is empty")
	}
	if err != nil {
		return nil, err
	}
	_, err = decoder.Token()
	if err != io.EOF {
		return nil, fmt.Errorf("unexpected data after the document")
	}
	return value, nil
}

// textUnmarshaler is the interface of types that decode from a JSON string.
var textUnmarshaler = reflect.TypeFor[encoding.TextUnmarshaler]()

// compare adds a fault for each place at which value does not fit the type.
func compare(path string, value any, want reflect.Type, faults *Faults) {
	if value == nil {
		return
	}
	if want.Kind() == reflect.Pointer {
		want = want.Elem()
	}
	if reflect.PointerTo(want).Implements(textUnmarshaler) {
		compareText(path, value, want, faults)
		return
	}
	switch want.Kind() {
	case reflect.Struct:
		compareStruct(path, value, want, faults)
	case reflect.Map:
		compareMap(path, value, want, faults)
	case reflect.Slice, reflect.Array:
		compareList(path, value, want, faults)
	default:
		compareScalar(path, value, want, faults)
	}
}

func compareStruct(path string, value any, want reflect.Type, faults *Faults) {
	object, ok := value.(map[string]any)
	if !ok {
		faults.Add(path, "expected an object, found %s", kindOf(value))
		return
	}
	fields := fieldsOf(want)
	for _, name := range sortedKeys(object) {
		field, known := fields[name]
		if !known {
			faults.Add(path+"."+name, "unknown field")
			continue
		}
		compare(path+"."+name, object[name], field, faults)
	}
}

func compareMap(path string, value any, want reflect.Type, faults *Faults) {
	object, ok := value.(map[string]any)
	if !ok {
		faults.Add(path, "expected an object, found %s", kindOf(value))
		return
	}
	for _, name := range sortedKeys(object) {
		compare(path+"."+name, object[name], want.Elem(), faults)
	}
}

func compareList(path string, value any, want reflect.Type, faults *Faults) {
	list, ok := value.([]any)
	if !ok {
		faults.Add(path, "expected a list, found %s", kindOf(value))
		return
	}
	for i, element := range list {
		compare(fmt.Sprintf("%s[%d]", path, i), element, want.Elem(), faults)
	}
}

// compareText checks a value that decodes from a string, such as an address.
func compareText(path string, value any, want reflect.Type, faults *Faults) {
	text, ok := value.(string)
	if !ok {
		faults.Add(path, "expected a string, found %s", kindOf(value))
		return
	}
	target := reflect.New(want).Interface().(encoding.TextUnmarshaler)
	err := target.UnmarshalText([]byte(text))
	if err != nil {
		faults.Add(path, "%v", err)
	}
}

func compareScalar(path string, value any, want reflect.Type, faults *Faults) {
	encoded, err := json.Marshal(value)
	if err != nil {
		faults.Add(path, "%v", err)
		return
	}
	err = json.Unmarshal(encoded, reflect.New(want).Interface())
	if err != nil {
		faults.Add(path, "expected %s, found %s", describe(want), encoded)
	}
}

// describe names a scalar type in words that a writer of JSON knows.
func describe(want reflect.Type) string {
	switch want.Kind() {
	case reflect.Bool:
		return "true or false"
	case reflect.String:
		return "a string"
	case reflect.Float32, reflect.Float64:
		return "a number"
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		return "a whole number of at least 0"
	default:
		return "a whole number"
	}
}

func kindOf(value any) string {
	switch value.(type) {
	case map[string]any:
		return "an object"
	case []any:
		return "a list"
	case string:
		return "a string"
	case bool:
		return "true or false"
	default:
		return "a number"
	}
}

// fieldsOf maps the JSON names of a struct's fields to their types.
func fieldsOf(want reflect.Type) map[string]reflect.Type {
	fields := make(map[string]reflect.Type, want.NumField())
	for field := range want.Fields() {
		name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		if name == "" {
			name = field.Name
		}
		if field.IsExported() && name != "-" {
			fields[name] = field.Type
		}
	}
	return fields
}

func sortedKeys(object map[string]any) []string {
	keys := make([]string, 0, len(object))
	for key := range object {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	return keys
}
