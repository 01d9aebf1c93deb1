package durable

import (
	"os"
	"path/filepath"
)

// Disk is the file system of the operating system.
type Disk struct{}

const (
	folderMode = 0o755
	fileMode   = 0o644
)

// MkdirAll creates the folder and its parents.
func (Disk) MkdirAll(folder string) error {
	return os.MkdirAll(folder, folderMode)
}

// List returns the names of the files in the folder.
func (Disk) List(folder string) ([]string, error) {
	entries, err := os.ReadDir(folder)
	names := make([]string, 0, len(entries))
	for _, entry := range entries {
		names = append(names, filepath.Base(entry.Name()))
	}
	return names, err
}

// ReadFile returns the content of a file.
func (Disk) ReadFile(name string) ([]byte, error) {
	return os.ReadFile(name)
}

// Open opens an existing file for writing.
func (Disk) Open(name string) (File, error) {
	return os.OpenFile(name, os.O_RDWR, fileMode)
}

// Create creates or truncates a file and opens it for writing.
func (Disk) Create(name string) (File, error) {
	return os.OpenFile(name, os.O_RDWR|os.O_CREATE|os.O_TRUNC, fileMode)
}

// Rename renames a file, replacing an existing one.
func (Disk) Rename(from, to string) error {
	return os.Rename(from, to)
}

// Remove removes a file.
func (Disk) Remove(name string) error {
	return os.Remove(name)
}

// SyncFolder syncs the folder's directory entries.
func (Disk) SyncFolder(folder string) error {
	opened, err := os.Open(folder)
	if err != nil {
		return err
	}
	err = opened.Sync()
	closeErr := opened.Close()
	if err != nil {
		return err
	}
	return closeErr
}
