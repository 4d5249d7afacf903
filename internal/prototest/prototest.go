// Package prototest helps tests that compare stored or sent messages across
// releases. It identifies fields by number and never by name, so that such
// tests hold when messages and fields are renamed. It has no state and runs on the
// test's goroutine.
package prototest

import (
	"fmt"
	"sort"
	"strings"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
)

// repeatedLen is how many elements Fill gives to each repeated field.
const repeatedLen = 2

// Base values of Fill: those of 64-bit fields don't fit into 32 bits, so that a
// narrowed field is found.
const (
	base32 = 1 << 20
	base64 = 1 << 40
)

// Text writes the populated fields of a message, one a line, by number. Fields
// come in the order of their declaration, so that two fields that exchange
// their numbers change the text. Unknown fields are written as hex.
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

// Fill sets every field of a message, and of the messages in it, to a value of
// its own; booleans are set to true. A map gets one entry, so that its encoding
// is the same each time. Fill panics on a kind of field that it doesn't know.
func Fill(m proto.Message) {
	f := filler{}
	f.message(m.ProtoReflect())
}

// filler counts the values that were handed out.
type filler struct{ used uint64 }

func (f *filler) message(m protoreflect.Message) {
	fields := m.Descriptor().Fields()
	for i := 0; i < fields.Len(); i++ {
		f.field(m, fields.Get(i))
	}
}

func (f *filler) field(m protoreflect.Message, field protoreflect.FieldDescriptor) {
	switch {
	case field.IsList():
		list := m.Mutable(field).List()
		for range repeatedLen {
			list.Append(f.value(field, list.NewElement))
		}
	case field.IsMap():
		entries := m.Mutable(field).Map()
		key := f.value(field.MapKey(), nil).MapKey()
		entries.Set(key, f.value(field.MapValue(), entries.NewValue))
	default:
		m.Set(field, f.value(field, func() protoreflect.Value { return m.NewField(field) }))
	}
}

func (f *filler) value(field protoreflect.FieldDescriptor, newValue func() protoreflect.Value) protoreflect.Value {
	f.used++
	switch field.Kind() {
	case protoreflect.MessageKind:
		value := newValue()
		f.message(value.Message())
		return value
	case protoreflect.StringKind:
		return protoreflect.ValueOfString(fmt.Sprintf("text-%d", f.used))
	case protoreflect.BytesKind:
		return protoreflect.ValueOfBytes(fmt.Appendf(nil, "\x00\xffbytes-%d", f.used))
	case protoreflect.BoolKind:
		return protoreflect.ValueOfBool(true)
	case protoreflect.Uint32Kind:
		return protoreflect.ValueOfUint32(uint32(base32 + f.used))
	case protoreflect.Uint64Kind:
		return protoreflect.ValueOfUint64(base64 + f.used)
	case protoreflect.Int32Kind:
		return protoreflect.ValueOfInt32(-int32(base32 + f.used))
	case protoreflect.Int64Kind:
		return protoreflect.ValueOfInt64(-int64(base64 + f.used))
	case protoreflect.DoubleKind:
		return protoreflect.ValueOfFloat64(float64(f.used) + 0.25)
	}
	panic(fmt.Sprintf("prototest: no value for a field of kind %s", field.Kind()))
}
