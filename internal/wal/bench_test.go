package wal

import "testing"

// discardDirectory is an empty directory that discards all writes.
type discardDirectory struct{}

func (discardDirectory) Create(string) (File, error) { return discardFile{}, nil }
func (discardDirectory) Read(string) ([]byte, error) { return nil, nil }
func (discardDirectory) Rename(string, string) error { return nil }
func (discardDirectory) Remove(string) error         { return nil }
func (discardDirectory) List() ([]string, error)     { return nil, nil }
func (discardDirectory) Sync() error                 { return nil }

type discardFile struct{}

func (discardFile) Write(data []byte) (int, error) { return len(data), nil }
func (discardFile) Sync() error                    { return nil }
func (discardFile) Close() error                   { return nil }

// BenchmarkAppend appends 200-byte records one at a time, without disk I/O.
func BenchmarkAppend(b *testing.B) {
	log, _, err := Open(discardDirectory{})
	if err != nil {
		b.Fatal(err)
	}
	defer log.Close()
	results := make(chan error, 1)
	done := func(err error) { results <- err }
	log.Checkpoint(nil, done)
	record := make([]byte, 200)
	b.ReportAllocs()
	for range b.N + 1 {
		if err := <-results; err != nil {
			b.Fatal(err)
		}
		log.Append(record, done)
	}
	if err := <-results; err != nil {
		b.Fatal(err)
	}
}
