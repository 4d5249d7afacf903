package wal

import (
	"io"
	"os"
	"path/filepath"
)

type File interface {
	io.Writer
	Sync() error
	Close() error
}

type Directory interface {
	Create(name string) (File, error)
	Read(name string) ([]byte, error)
	Rename(from, to string) error
	Remove(name string) error
	List() ([]string, error)
	Sync() error
}

type folder struct{ dir string }

func OpenDirectory(dir string) (Directory, error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, Error.Wrap(err)
	}
	return folder{dir}, nil
}

func (f folder) Create(name string) (File, error) {
	return os.OpenFile(filepath.Join(f.dir, name), os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o644)
}

func (f folder) Read(name string) ([]byte, error) { return os.ReadFile(filepath.Join(f.dir, name)) }

func (f folder) Rename(from, to string) error {
	return os.Rename(filepath.Join(f.dir, from), filepath.Join(f.dir, to))
}

func (f folder) Remove(name string) error { return os.Remove(filepath.Join(f.dir, name)) }

func (f folder) List() ([]string, error) {
	es, err := os.ReadDir(f.dir)
	if err != nil {
		return nil, err
	}
	var out []string
	for _, e := range es {
		out = append(out, e.Name())
	}
	return out, nil
}

func (f folder) Sync() error {
	d, err := os.Open(f.dir)
	if err != nil {
		return err
	}
	defer d.Close()
	return d.Sync()
}
