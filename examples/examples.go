// Package examples holds the settings and configuration of two deployments, at
// their real sizes. Each is a folder with configuration.json, the document that
// a new control group starts with, and settings/, one file for each process.
package examples

import (
	"embed"
	"io/fs"
	"path"

	"github.com/juju/errors"
)

//go:embed pinhal deksel
var files embed.FS

// Names lists the deployments.
func Names() []string {
	return []string{"pinhal", "deksel"}
}

// Deployment is one deployment's files.
type Deployment struct {
	// Configuration is the configuration document.
	Configuration []byte
	// Settings holds one settings document for each process.
	Settings [][]byte
}

// Load returns the files of the named deployment.
func Load(name string) (Deployment, error) {
	configuration, err := files.ReadFile(path.Join(name, "configuration.json"))
	if err != nil {
		return Deployment{}, errors.NotFoundf("example %q", name)
	}
	paths, err := fs.Glob(files, path.Join(name, "settings", "*.json"))
	if err != nil {
		return Deployment{}, errors.Trace(err)
	}
	deployment := Deployment{Configuration: configuration}
	for _, p := range paths {
		data, err := files.ReadFile(p)
		if err != nil {
			return Deployment{}, errors.Trace(err)
		}
		deployment.Settings = append(deployment.Settings, data)
	}
	return deployment, nil
}
