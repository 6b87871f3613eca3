package routing

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"sassafrasturn.example/internal/wire"
)

const (
	// compressedMark is the first byte of a compressed table. No encoded table starts
	// with it, since it is not a valid protobuf tag.
	compressedMark = 0
	// MaxTableBytes bounds the size of a table, compressed or not.
	MaxTableBytes = 16 << 20
	// maxTableParts bounds the routes, services and names of a table, each of which takes
	// some 150 bytes even if it is empty. The smallest routes that a desired state has room
	// for, with all former services, have fewer.
	maxTableParts = 500_000
)

// writers are reused, since each takes more than a megabyte.
var writers = sync.Pool{New: func() any {
	// The level is valid, so there is no error.
	writer, _ := flate.NewWriter(nil, flate.BestCompression)
	return writer
}}

// Compress returns the compressed form of an encoded wire.RoutingTable, in which instances
// send it to each other. Names and addresses repeat a lot in large tables.
func Compress(table []byte) []byte {
	var compressed bytes.Buffer
	compressed.WriteByte(compressedMark)
	writer := writers.Get().(*flate.Writer)
	defer writers.Put(writer)
	writer.Reset(&compressed)
	// Neither call returns an error, because a buffer accepts all writes.
	_, _ = writer.Write(table)
	_ = writer.Close()
	return compressed.Bytes()
}

// Decode decodes a table that Compress has returned, or an encoded wire.RoutingTable, as
// instances of earlier versions send it. Its errors are of class Error.
func Decode(data []byte) (*wire.RoutingTable, error) {
	if len(data) > 0 && data[0] == compressedMark {
		decompressed, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(data[1:])), MaxTableBytes+1))
		if err != nil {
			return nil, Error.New("cannot decompress %d bytes: %v", len(data), err)
		}
		if len(decompressed) > MaxTableBytes {
			return nil, Error.New("found more than %d bytes, the maximum", MaxTableBytes)
		}
		data = decompressed
	}
	if countParts(data) > maxTableParts {
		return nil, Error.New("found more than %d routes, services and names, the maximum", maxTableParts)
	}
	table := new(wire.RoutingTable)
	if err := proto.Unmarshal(data, table); err != nil {
		return nil, Error.New("cannot decode %d bytes: %v", len(data), err)
	}
	return table, nil
}

// countParts counts the messages and texts in an encoded table and in its routes, up to
// what cannot be decoded.
func countParts(table []byte) int {
	const routes = protowire.Number(2)
	count := 0
	forEachPart(table, func(number protowire.Number, part []byte) {
		count++
		if number == routes {
			forEachPart(part, func(protowire.Number, []byte) { count++ })
		}
	})
	return count
}

func forEachPart(message []byte, call func(number protowire.Number, part []byte)) {
	for len(message) > 0 {
		number, kind, tagBytes := protowire.ConsumeTag(message)
		if tagBytes < 0 {
			return
		}
		message = message[tagBytes:]
		valueBytes := protowire.ConsumeFieldValue(number, kind, message)
		if valueBytes < 0 {
			return
		}
		if kind == protowire.BytesType {
			part, _ := protowire.ConsumeBytes(message)
			call(number, part)
		}
		message = message[valueBytes:]
	}
}
