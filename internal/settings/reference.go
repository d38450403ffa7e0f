package settings

import (
	"fmt"
	"reflect"
	"strconv"
	"strings"
	"time"
)

// Key describes one key of a settings document.
type Key struct {
	// Name is the full key, e.g. "copies.flush_interval".
	Name string
	// Unit is the unit of a number; durations and texts have none.
	Unit string
	// Default is the value of an absent key, in TOML syntax. It is empty for a
	// required key and for an optional key without a default.
	Default  string
	Required bool
	// Allowed describes the accepted values.
	Allowed string
	Doc     string

	// quoted is true if the value is written as a TOML string.
	quoted bool
}

var (
	durationType = reflect.TypeFor[Duration]()
	addressType  = reflect.TypeFor[Address]()
)

// Reference returns the description of every key, in the order of the fields of
// Settings.
func Reference() []Key {
	var keys []Key
	walkKeys(reflect.TypeFor[Settings](), "", func(name string, f reflect.StructField) {
		keys = append(keys, Key{
			Name:     name,
			Unit:     f.Tag.Get("unit"),
			Default:  defaultText(f),
			Required: isRequired(f),
			Allowed:  allowedValues(f),
			Doc:      f.Tag.Get("doc"),
			quoted:   f.Type == durationType || f.Type == addressType || f.Type.Kind() == reflect.String,
		})
	})
	return keys
}

// Markdown returns the contents of docs/settings.md.
func Markdown() string {
	var b strings.Builder
	b.WriteString("# Settings\n\n" +
		"A node reads one TOML file when it starts. Unknown keys and values that are not allowed are refused.\n" +
		"Durations are strings with a unit, such as `\"500ms\"`. Addresses are IP numbers with a port.\n" +
		"This page is generated: `go test ./internal/settings -update`.\n")
	section := ""
	for _, k := range Reference() {
		if s := k.Name[:strings.LastIndexByte(k.Name, '.')]; s != section {
			section = s
			fmt.Fprintf(&b, "\n## %s\n\n| key | default | unit | allowed | meaning |\n| --- | --- | --- | --- | --- |\n", section)
		}
		value := "none"
		switch {
		case k.Required:
			value = "required"
		case k.Default != "":
			value = "`" + k.Default + "`"
		}
		unit := k.Unit
		if unit == "" {
			unit = "-"
		}
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s | %s |\n", k.Name[len(section)+1:], value, unit, k.Allowed, k.Doc)
	}
	return b.String()
}

// walkKeys calls visit for each key of a settings struct type and its sections.
func walkKeys(t reflect.Type, prefix string, visit func(name string, f reflect.StructField)) {
	for i := range t.NumField() {
		f := t.Field(i)
		name := prefix + f.Tag.Get("toml")
		ft := f.Type
		if ft.Kind() == reflect.Slice && ft.Elem().Kind() == reflect.Struct {
			ft = ft.Elem()
		}
		if isSection(ft) {
			walkKeys(ft, name+".", visit)
			continue
		}
		visit(name, f)
	}
}

func isSection(t reflect.Type) bool {
	return t.Kind() == reflect.Struct && t != durationType && t != addressType
}

func isRequired(f reflect.StructField) bool {
	_, hasDefault := f.Tag.Lookup("default")
	return !hasDefault && f.Tag.Get("optional") == ""
}

func defaultText(f reflect.StructField) string {
	value := f.Tag.Get("default")
	if value != "" && (f.Type == durationType || f.Type.Kind() == reflect.String) {
		return strconv.Quote(value)
	}
	return value
}

func allowedValues(f reflect.StructField) string {
	limits := ""
	if f.Tag.Get("min") != "" {
		limits = fmt.Sprintf(" from %s to %s", f.Tag.Get("min"), f.Tag.Get("max"))
	}
	switch {
	case f.Type == durationType:
		return `a duration with a unit such as "500ms"` + limits
	case f.Type == addressType:
		return `an address as IP:port such as "127.0.0.1:7000"`
	case f.Tag.Get("oneof") != "":
		return "one of " + strings.Join(strings.Fields(f.Tag.Get("oneof")), ", ")
	case f.Tag.Get("form") != "":
		return stringRules[f.Tag.Get("form")].allowed
	}
	switch f.Type.Kind() {
	case reflect.Bool:
		return "true or false"
	case reflect.Int, reflect.Int64:
		return "an integer" + limits
	case reflect.Float64:
		return "a number" + limits
	default:
		return "a text"
	}
}

// defaults returns settings in which each key that has a default is set to it.
func defaults() *Settings {
	s := new(Settings)
	setDefaults(reflect.ValueOf(s).Elem())
	return s
}

func setDefaults(v reflect.Value) {
	for i := range v.NumField() {
		f, value := v.Type().Field(i), v.Field(i)
		if isSection(f.Type) {
			setDefaults(value)
			continue
		}
		if text, ok := f.Tag.Lookup("default"); ok {
			setFromTag(value, text)
		}
	}
}

// setFromTag sets a value from the text of a struct tag. It panics if the text is
// malformed, since that is a bug in this package.
func setFromTag(v reflect.Value, text string) {
	var err error
	switch {
	case v.Type() == durationType:
		var d time.Duration
		d, err = time.ParseDuration(text)
		v.Set(reflect.ValueOf(Duration{d}))
	case v.Kind() == reflect.String:
		v.SetString(text)
	case v.Kind() == reflect.Bool:
		v.SetBool(text == "true")
	case v.CanInt():
		var n int64
		n, err = strconv.ParseInt(text, 10, 64)
		v.SetInt(n)
	case v.CanFloat():
		var x float64
		x, err = strconv.ParseFloat(text, 64)
		v.SetFloat(x)
	default:
		panic("settings: no default possible for " + v.Type().String())
	}
	if err != nil {
		panic("settings: default " + text + ": " + err.Error())
	}
}
