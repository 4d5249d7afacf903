package wal

import (
	"io"
	"os"
	"path/filepath"
)

// File is a file open for writing.
type File interface {
	io.Writer
	// Sync returns once all written data is on stable storage.
	Sync() error
	// Close closes the file. It does not sync it.
	Close() error
}

// Directory stores the files of a log. Only one log may use it at a time.
type Directory interface {
	// Create creates a file, or truncates it if it exists.
	Create(name string) (File, error)
	// Read returns the content of a file.
	Read(name string) ([]byte, error)
	// Rename renames a file, replacing any file named newName.
	Rename(oldName, newName string) error
	// Remove removes a file.
	Remove(name string) error
	// List returns the names of all files in the directory.
	List() ([]string, error)
	// Sync returns once all preceding creates, renames and removes are on stable
	// storage.
	Sync() error
}

// osDirectory is the path of a directory in the operating system's file system.
type osDirectory string

// OpenDirectory returns the directory at path, creating it and its parents if they do
// not exist.
func OpenDirectory(path string) (Directory, error) {
	if err := os.MkdirAll(path, 0o755); err != nil {
		return nil, Error.Wrap(err)
	}
	return osDirectory(path), nil
}

func (d osDirectory) path(name string) string { return filepath.Join(string(d), name) }

func (d osDirectory) Create(name string) (File, error) {
	return os.OpenFile(d.path(name), os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o644)
}

func (d osDirectory) Read(name string) ([]byte, error) { return os.ReadFile(d.path(name)) }

func (d osDirectory) Rename(oldName, newName string) error {
	return os.Rename(d.path(oldName), d.path(newName))
}

func (d osDirectory) Remove(name string) error { return os.Remove(d.path(name)) }

func (d osDirectory) List() ([]string, error) {
	entries, err := os.ReadDir(string(d))
	if err != nil {
		return nil, err
	}
	var names []string
	for _, entry := range entries {
		names = append(names, entry.Name())
	}
	return names, nil
}

func (d osDirectory) Sync() error {
	dir, err := os.Open(string(d))
	if err != nil {
		return err
	}
	err = dir.Sync()
	// A failed close loses nothing, as nothing was written through this descriptor.
	_ = dir.Close()
	return err
}
