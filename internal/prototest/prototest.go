// Package prototest helps tests compare stored and sent messages across releases. It
// identifies fields by number instead of name, so that renaming a message or field does
// not break such tests. It keeps no state and runs on the test's goroutine.
package prototest

import (
	"fmt"
	"sort"
	"strings"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
)

// repeatedFieldLen is the number of elements that Fill adds to each repeated field.
const repeatedFieldLen = 2

// Offsets that Fill adds to the integers that it generates. The integers of 64-bit
// fields do not fit into 32 bits, so that a test detects a narrowed field.
const (
	valueOffset32 = 1 << 20
	valueOffset64 = 1 << 40
)

// Text formats the populated fields of a message by number, one per line. The fields
// are in the order of their declaration, so that the text changes if two fields swap
// their numbers. Unknown fields are formatted as hex.
func Text(m proto.Message) string {
	var out strings.Builder
	writeMessage(&out, m.ProtoReflect(), "")
	return out.String()
}

func writeMessage(out *strings.Builder, m protoreflect.Message, indent string) {
	fields := m.Descriptor().Fields()
	for i := 0; i < fields.Len(); i++ {
		field := fields.Get(i)
		if m.Has(field) {
			writeField(out, field, m.Get(field), indent)
		}
	}
	if unknown := m.GetUnknown(); len(unknown) > 0 {
		fmt.Fprintf(out, "%sunknown: %x\n", indent, []byte(unknown))
	}
}

func writeField(out *strings.Builder, field protoreflect.FieldDescriptor, value protoreflect.Value, indent string) {
	switch {
	case field.IsList():
		list := value.List()
		for i := 0; i < list.Len(); i++ {
			writeValue(out, field, list.Get(i), indent)
		}
	case field.IsMap():
		writeMap(out, field, value.Map(), indent)
	default:
		writeValue(out, field, value, indent)
	}
}

func writeMap(out *strings.Builder, field protoreflect.FieldDescriptor, entries protoreflect.Map, indent string) {
	var lines []string
	entries.Range(func(key protoreflect.MapKey, value protoreflect.Value) bool {
		var line strings.Builder
		fmt.Fprintf(&line, "%s%d[%q]\n", indent, field.Number(), key.String())
		writeValue(&line, field.MapValue(), value, indent+"  ")
		lines = append(lines, line.String())
		return true
	})
	sort.Strings(lines)
	out.WriteString(strings.Join(lines, ""))
}

func writeValue(out *strings.Builder, field protoreflect.FieldDescriptor, value protoreflect.Value, indent string) {
	switch field.Kind() {
	case protoreflect.MessageKind:
		fmt.Fprintf(out, "%s%d {\n", indent, field.Number())
		writeMessage(out, value.Message(), indent+"  ")
		fmt.Fprintf(out, "%s}\n", indent)
	case protoreflect.StringKind:
		fmt.Fprintf(out, "%s%d: %q\n", indent, field.Number(), value.String())
	case protoreflect.BytesKind:
		fmt.Fprintf(out, "%s%d: bytes %x\n", indent, field.Number(), value.Bytes())
	default:
		fmt.Fprintf(out, "%s%d: %s %s\n", indent, field.Number(), field.Kind(), value.String())
	}
}

// Fill sets every field of a message and its nested messages to a distinct value, except
// that every boolean is true. Each map gets a single entry, because the encoding of
// several would not be deterministic. Fill panics if it does not support the kind of a
// field.
func Fill(m proto.Message) {
	f := filler{}
	f.fillMessage(m.ProtoReflect())
}

// filler generates distinct values; count is the number generated so far.
type filler struct{ count uint64 }

func (f *filler) fillMessage(m protoreflect.Message) {
	fields := m.Descriptor().Fields()
	for i := 0; i < fields.Len(); i++ {
		f.fillField(m, fields.Get(i))
	}
}

func (f *filler) fillField(m protoreflect.Message, field protoreflect.FieldDescriptor) {
	switch {
	case field.IsList():
		list := m.Mutable(field).List()
		for range repeatedFieldLen {
			list.Append(f.nextValue(field, list.NewElement))
		}
	case field.IsMap():
		entries := m.Mutable(field).Map()
		key := f.nextValue(field.MapKey(), nil).MapKey()
		entries.Set(key, f.nextValue(field.MapValue(), entries.NewValue))
	default:
		m.Set(field, f.nextValue(field, func() protoreflect.Value { return m.NewField(field) }))
	}
}

func (f *filler) nextValue(field protoreflect.FieldDescriptor, newValue func() protoreflect.Value) protoreflect.Value {
	f.count++
	switch field.Kind() {
	case protoreflect.MessageKind:
		value := newValue()
		f.fillMessage(value.Message())
		return value
	case protoreflect.StringKind:
		return protoreflect.ValueOfString(fmt.Sprintf("text-%d", f.count))
	case protoreflect.BytesKind:
		return protoreflect.ValueOfBytes(fmt.Appendf(nil, "\x00\xffbytes-%d", f.count))
	case protoreflect.BoolKind:
		return protoreflect.ValueOfBool(true)
	case protoreflect.Uint32Kind:
		return protoreflect.ValueOfUint32(uint32(valueOffset32 + f.count))
	case protoreflect.Uint64Kind:
		return protoreflect.ValueOfUint64(valueOffset64 + f.count)
	case protoreflect.Int32Kind:
		return protoreflect.ValueOfInt32(-int32(valueOffset32 + f.count))
	case protoreflect.Int64Kind:
		return protoreflect.ValueOfInt64(-int64(valueOffset64 + f.count))
	case protoreflect.DoubleKind:
		return protoreflect.ValueOfFloat64(float64(f.count) + 0.25)
	}
	panic(fmt.Sprintf("prototest: unsupported field kind %s", field.Kind()))
}
