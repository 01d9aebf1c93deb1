package config

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"zinniapulley.dev/core/strictjson"
)

// MaxDocumentBytes is the maximum size of a document's JSON.
const MaxDocumentBytes = 4 << 20

// Fault is one validation error of a document, with its JSON path.
type Fault = strictjson.Fault

// Faults lists all validation errors of a document; it is an error.
type Faults = strictjson.Faults

// Parse reads and validates a whole document. Its error is Faults, which lists
// all validation errors: syntax, unknown, missing and repeated fields, wrong
// types and everything that Validate finds.
func Parse(data []byte) (Document, error) {
	if len(data) > MaxDocumentBytes {
		problem := fmt.Sprintf("is %d bytes long, more than %d", len(data), MaxDocumentBytes)
		return Document{}, Faults{{Problem: problem}}
	}
	var document Document
	decoded := strictjson.Decode(data, &document)
	faults := decoded
	for _, fault := range document.Validate() {
		if !decoded.Covers(fault.Path) {
			faults = append(faults, fault)
		}
	}
	if len(faults) > 0 {
		return Document{}, faults
	}
	return document, nil
}

// JSON returns the document as indented JSON. Equal documents have equal JSON.
func (d Document) JSON() []byte {
	text, err := json.MarshalIndent(d, "", "  ")
	if err != nil {
		panic("config: a document always has a JSON form: " + err.Error())
	}
	return text
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	return slices.Sorted(maps.Keys(m))
}
