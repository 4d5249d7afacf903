package wal

import (
	"encoding/binary"
	"hash/crc32"
)

const (
	// headerSize is the size of a record's header in bytes: the record's length and
	// its CRC-32C checksum, 4 bytes each, little endian.
	headerSize = 8
	// maxRecordSize, in bytes, is larger than any legitimate record. Longer records
	// are rejected on write, so that recovery can treat a larger length as corrupt.
	maxRecordSize = 64 << 20
)

var castagnoliTable = crc32.MakeTable(crc32.Castagnoli)

// snapshotTrailer is the last record of a complete snapshot.
var snapshotTrailer = []byte("corkcove snapshot whole")

// appendRecord appends the header and content of a record to data.
func appendRecord(data, record []byte) []byte {
	var header [headerSize]byte
	binary.LittleEndian.PutUint32(header[0:], uint32(len(record)))
	binary.LittleEndian.PutUint32(header[4:], crc32.Checksum(record, castagnoliTable))
	return append(append(data, header[:]...), record...)
}

// encodeRecords returns the file content for records. It fails if a record is empty or
// longer than maxRecordSize, because decodeRecords would reject it.
func encodeRecords(records [][]byte) ([]byte, error) {
	var data []byte
	for _, record := range records {
		if len(record) == 0 || len(record) > maxRecordSize {
			return nil, Error.New("record size of %d bytes is not between 1 and %d", len(record), maxRecordSize)
		}
		data = appendRecord(data, record)
	}
	return data, nil
}

// decodeRecords returns the records before the first torn or damaged one. complete
// reports whether these are all of data. The records alias data.
func decodeRecords(data []byte) (records [][]byte, complete bool) {
	for len(data) >= headerSize {
		size := binary.LittleEndian.Uint32(data)
		checksum := binary.LittleEndian.Uint32(data[4:])
		if size == 0 || size > maxRecordSize || uint64(len(data)) < headerSize+uint64(size) {
			return records, false
		}
		record := data[headerSize : headerSize+size]
		if crc32.Checksum(record, castagnoliTable) != checksum {
			return records, false
		}
		records = append(records, record)
		data = data[headerSize+size:]
	}
	return records, len(data) == 0
}

// decodeSnapshot returns the records of a snapshot without its trailer. complete is
// false if the snapshot is torn or damaged.
func decodeSnapshot(data []byte) (records [][]byte, complete bool) {
	records, complete = decodeRecords(data)
	last := len(records) - 1
	if !complete || last < 0 || string(records[last]) != string(snapshotTrailer) {
		return nil, false
	}
	return records[:last], true
}
