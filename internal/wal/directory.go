package wal

import (
	"io"
	"os"
	"path/filepath"
)

// File is a file that is being written.
type File interface {
	io.Writer
	// Sync returns once all that was written is on disk.
	Sync() error
	Close() error
}

// Directory is where a log keeps its files. It belongs to one log at a time.
type Directory interface {
	// Create makes an empty file, also where there is one of that name.
	Create(name string) (File, error)
	// Read returns the content of a file.
	Read(name string) ([]byte, error)
	// Rename gives a file another name, and replaces one that has it.
	Rename(from, to string) error
	// Remove removes a file.
	Remove(name string) error
	// List returns the names of all files.
	List() ([]string, error)
	// Sync returns once all names are on disk as they are now.
	Sync() error
}

// osDirectory is a directory of the operating system's, by its path.
type osDirectory string

// OpenDirectory returns the directory at path, and makes it where there is none.
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

func (d osDirectory) Rename(from, to string) error { return os.Rename(d.path(from), d.path(to)) }

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
	directory, err := os.Open(string(d))
	if err != nil {
		return err
	}
	err = directory.Sync()
	// Nothing was written through it.
	_ = directory.Close()
	return err
}
