package settings

import (
	"fmt"
	"reflect"
	"strconv"
	"strings"
)

// field is one settable struct field with its key and default value.
type field struct {
	key, defaultText string
	value            reflect.Value
}

// keyTag returns the settings key of a struct field.
func keyTag(field reflect.StructField) string { return field.Tag.Get("key") }

// structFields lists the fields of the struct that s points to.
func structFields(s any) []field {
	v := reflect.ValueOf(s).Elem()
	fields := make([]field, 0, v.NumField())
	for i := range v.NumField() {
		structField := v.Type().Field(i)
		fields = append(fields, field{keyTag(structField), structField.Tag.Get("default"), v.Field(i)})
	}
	return fields
}

// set parses text according to the kind of the field and assigns it.
func (f field) set(text string) error {
	switch f.value.Kind() {
	case reflect.String:
		f.value.SetString(text)
	case reflect.Bool:
		b, err := strconv.ParseBool(text)
		if err != nil {
			return fmt.Errorf("%q is neither true nor false", text)
		}
		f.value.SetBool(b)
	case reflect.Int64:
		n, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			return fmt.Errorf("%q is not a whole number", text)
		}
		f.value.SetInt(n)
	case reflect.Float64:
		n, err := strconv.ParseFloat(text, 64)
		if err != nil {
			return fmt.Errorf("%q is not a number", text)
		}
		f.value.SetFloat(n)
	case reflect.Slice:
		parts := strings.Split(text, ",")
		for i := range parts {
			parts[i] = strings.TrimSpace(parts[i])
		}
		f.value.Set(reflect.ValueOf(parts))
	}
	return nil
}
