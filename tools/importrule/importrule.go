// Package importrule checks that the decision modules of the workspace do no
// I/O and read no clock: their direct imports name neither networking, files
// nor encodings, and their code calls no clock functions of package time. It also
// checks that only the adapter of the users' platform uses the platform's names,
// and that links in documents resolve.
package importrule

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"

	"github.com/juju/errors"
)

// DecisionModules lists the decision modules, by folder.
var DecisionModules = []string{
	"admission", "capacity", "claim", "config", "consensus", "core", "flow",
	"locality", "membership", "passthrough", "placement", "publish", "request", "route", "waitqueue",
}

// allowedProject lists the project's modules that a decision module may import.
var allowedProject = map[string]bool{
	"zinniapulley.dev/capacity":        true,
	"zinniapulley.dev/core":            true,
	"zinniapulley.dev/core/strictjson": true,
	"zinniapulley.dev/locality":        true,
	"zinniapulley.dev/passthrough":     true,
	"zinniapulley.dev/route":           true,
	"zinniapulley.dev/waitqueue":       true,
}

// platformNames are names of the users' platform that only its adapter may use.
var platformNames = []string{
	"packetAddr", "heartbeatAddr", "coldLeftMs", "coldPerS", "forwardingMode", "internalPorts", "latencySloMs", "timeoutMs",
	"healthPath", "idleTimeoutMs", "heartbeatMs", "machineClass", "faultTolerance", "nodeName", "evacuations", "/zinniapulley/",
	"X-Zinniapulley",
}

// platformNameFolders are the folders that may use platformNames.
var platformNameFolders = []string{"platform", "deploy", "tools"}

// forbiddenImports lists imports that do I/O, read a clock or encode messages.
var forbiddenImports = map[string]bool{
	"net": true, "net/http": true, "net/rpc": true, "os": true, "os/exec": true,
	"os/signal": true, "syscall": true, "log/slog": true, "math/rand": true,
	"encoding/gob": true, "sync": true, "runtime": true,
}

// forbiddenTime lists the functions of package time that read a clock or wait.
var forbiddenTime = map[string]bool{
	"Now": true, "Since": true, "Until": true, "Sleep": true, "After": true,
	"AfterFunc": true, "NewTimer": true, "NewTicker": true, "Tick": true,
}

// Breach is one place in the code that breaks a rule.
type Breach struct {
	// File is the path of the source file, Line its line.
	File string
	Line int
	// What names the import, the call or the platform's name.
	What string
}

// Check returns every breach in the non-test files of the folder.
func Check(folder string) ([]Breach, error) {
	var breaches []Breach
	walk := func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return nil
		}
		found, err := checkFile(path)
		breaches = append(breaches, found...)
		return err
	}
	err := filepath.WalkDir(folder, walk)
	return breaches, errors.Annotatef(err, "check imports of %s", folder)
}

// CheckNames returns every use of a platform name outside the adapter in the Go
// files of the workspace, tests excluded.
func CheckNames(workspace string) ([]Breach, error) {
	var breaches []Breach
	walk := func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		relative, err := filepath.Rel(workspace, path)
		if err != nil {
			return err
		}
		if entry.IsDir() && (slices.Contains(platformNameFolders, relative) || (relative != "." && strings.HasPrefix(entry.Name(), "."))) {
			return fs.SkipDir
		}
		if entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return nil
		}
		found, err := checkNames(path)
		breaches = append(breaches, found...)
		return err
	}
	err := filepath.WalkDir(workspace, walk)
	return breaches, errors.Annotatef(err, "check names below %s", workspace)
}

func checkNames(path string) ([]Breach, error) {
	source, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Trace(err)
	}
	var breaches []Breach
	for i, line := range strings.Split(string(source), "\n") {
		for _, name := range platformNames {
			if strings.Contains(line, name) {
				breaches = append(breaches, Breach{File: path, Line: i + 1, What: "name " + name})
			}
		}
	}
	return breaches, nil
}

func checkFile(path string) ([]Breach, error) {
	files := token.NewFileSet()
	file, err := parser.ParseFile(files, path, nil, 0)
	if err != nil {
		return nil, errors.Trace(err)
	}
	var breaches []Breach
	for _, spec := range file.Imports {
		name, err := strconv.Unquote(spec.Path.Value)
		if err != nil {
			return nil, errors.Trace(err)
		}
		if !importAllowed(name) {
			breaches = append(breaches, Breach{File: path, Line: files.Position(spec.Pos()).Line, What: "import " + name})
		}
	}
	ast.Inspect(file, func(node ast.Node) bool {
		if call, ok := clockCall(node); ok {
			breaches = append(breaches, Breach{File: path, Line: files.Position(node.Pos()).Line, What: "time." + call})
		}
		return true
	})
	return breaches, nil
}

func importAllowed(name string) bool {
	if strings.HasPrefix(name, "zinniapulley.dev/") {
		return allowedProject[name]
	}
	return !forbiddenImports[name]
}

func clockCall(node ast.Node) (string, bool) {
	selector, ok := node.(*ast.SelectorExpr)
	if !ok {
		return "", false
	}
	pkg, ok := selector.X.(*ast.Ident)
	if !ok || pkg.Name != "time" {
		return "", false
	}
	return selector.Sel.Name, forbiddenTime[selector.Sel.Name]
}
