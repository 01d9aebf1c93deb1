package strictjson

import (
	"fmt"
	"strconv"
	"strings"
)

// maxShown is the maximum number of faults listed in the text of Faults.
const maxShown = 200

// Limits, in bytes, on the input quoted in a fault.
const (
	maxShownName = 100
	maxProblem   = 400
)

// Fault is one validation error in a JSON document.
type Fault struct {
	// Path locates the value, for example "services.matcher.address" or
	// "instances[2].port". It is empty for the document as a whole.
	Path string `json:"path"`
	// Problem describes what is wrong with the value, for example "is missing".
	Problem string `json:"problem"`
}

// NewFault returns a fault with its problem truncated after maxProblem bytes.
func NewFault(path, problem string) Fault {
	return Fault{Path: path, Problem: truncate(problem, maxProblem)}
}

func truncate(text string, limit int) string {
	if len(text) <= limit {
		return text
	}
	return strings.ToValidUTF8(text[:limit], "") + "..."
}

// String returns "path: problem".
func (f Fault) String() string {
	if f.Path == "" {
		return "document: " + f.Problem
	}
	return f.Path + ": " + f.Problem
}

// Faults lists the validation errors of a document. It is an error if it isn't
// empty; return it through Err.
type Faults []Fault

// Error returns one line for each fault, up to maxShown, and the count of the
// rest.
func (f Faults) Error() string {
	shown := f[:min(len(f), maxShown)]
	lines := make([]string, len(shown), len(shown)+1)
	for i, fault := range shown {
		lines[i] = fault.String()
	}
	if len(f) > len(shown) {
		lines = append(lines, fmt.Sprintf("and %d more faults", len(f)-len(shown)))
	}
	return strings.Join(lines, "\n")
}

// Err returns the faults as an error, or nil if there are none.
func (f Faults) Err() error {
	if len(f) == 0 {
		return nil
	}
	return f
}

// Clip returns at most the given number of faults. If it drops some, the last one
// returned gives their count.
func (f Faults) Clip(limit int) Faults {
	if len(f) <= limit {
		return f
	}
	clipped := append(Faults(nil), f[:limit-1]...)
	problem := fmt.Sprintf("has %d more faults", len(f)-len(clipped))
	return append(clipped, Fault{Problem: problem})
}

// Covers reports whether a fault lies at the path or at one of its ancestors.
func (f Faults) Covers(path string) bool {
	for _, fault := range f {
		rest, ok := strings.CutPrefix(path, fault.Path)
		if ok && (fault.Path == "" || rest == "" || rest[0] == '.' || rest[0] == '[') {
			return true
		}
	}
	return false
}

// Join returns the path of a named member of the object at path. A name that
// isn't made of letters, digits, '-' and '_' is quoted, and a long one is
// truncated.
func Join(path, name string) string {
	name = truncate(name, maxShownName)
	if !isPlain(name) {
		name = strconv.Quote(name)
	}
	if path == "" {
		return name
	}
	return path + "." + name
}

func isPlain(name string) bool {
	for _, r := range name {
		letter := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z'
		digit := r >= '0' && r <= '9'
		if !letter && !digit && r != '-' && r != '_' {
			return false
		}
	}
	return name != ""
}

// Add appends a fault at the path. The problem is a fmt format.
func (f *Faults) Add(path, problem string, args ...any) {
	*f = append(*f, Fault{Path: path, Problem: fmt.Sprintf(problem, args...)})
}
