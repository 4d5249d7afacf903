package wal

import (
	"encoding/binary"
	"hash/crc32"
)

const (
	// headerSize is the size in bytes of a record's header: its length and its
	// checksum, 4 bytes each, little endian.
	headerSize = 8
	// maxRecordSize in bytes is above that of any record. A longer one is refused,
	// so that a damaged length is found to be one.
	maxRecordSize = 64 << 20
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// snapshotEnd is the last record of a whole snapshot.
var snapshotEnd = []byte("corkcove snapshot whole")

func appendRecord(data, record []byte) []byte {
	var header [headerSize]byte
	binary.LittleEndian.PutUint32(header[0:], uint32(len(record)))
	binary.LittleEndian.PutUint32(header[4:], crc32.Checksum(record, castagnoli))
	return append(append(data, header[:]...), record...)
}

// encodeRecords fails if a record could not be read back.
func encodeRecords(records [][]byte) ([]byte, error) {
	var data []byte
	for _, record := range records {
		if len(record) == 0 || len(record) > maxRecordSize {
			return nil, Error.New("a record of %d bytes could not be read back", len(record))
		}
		data = appendRecord(data, record)
	}
	return data, nil
}

// decodeRecords returns the records up to the first that is torn or damaged, and
// whether that is all of data. The records share its memory.
func decodeRecords(data []byte) (records [][]byte, complete bool) {
	for len(data) >= headerSize {
		size := binary.LittleEndian.Uint32(data)
		checksum := binary.LittleEndian.Uint32(data[4:])
		if size == 0 || size > maxRecordSize || uint64(len(data)) < headerSize+uint64(size) {
			return records, false
		}
		record := data[headerSize : headerSize+size]
		if crc32.Checksum(record, castagnoli) != checksum {
			return records, false
		}
		records = append(records, record)
		data = data[headerSize+size:]
	}
	return records, len(data) == 0
}

// decodeSnapshot returns the records of a snapshot, false if it isn't whole.
func decodeSnapshot(data []byte) (records [][]byte, complete bool) {
	records, complete = decodeRecords(data)
	last := len(records) - 1
	if !complete || last < 0 || string(records[last]) != string(snapshotEnd) {
		return nil, false
	}
	return records[:last], true
}
