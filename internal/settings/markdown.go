package settings

import (
	"fmt"
	"reflect"
	"strings"
)

// Markdown returns one Markdown table per section of the settings file, with each key's
// default, allowed values and meaning. The settings page in docs is generated from it.
func Markdown() string {
	var b strings.Builder
	t := reflect.TypeFor[Settings]()
	for i := range t.NumField() {
		section := t.Field(i)
		fmt.Fprintf(&b, "### [%s]\n\n| key | default | allowed | meaning |\n| --- | --- | --- | --- |\n", section.Tag.Get("ini"))
		for j := range section.Type.NumField() {
			f := section.Type.Field(j)
			def := f.Tag.Get("default")
			if f.Tag.Get("required") == "true" {
				def = "*required*"
			}
			fmt.Fprintf(&b, "| `%s` | %s | %s | %s |\n", f.Tag.Get("ini"), def, AllowedValues(f), f.Tag.Get("doc"))
		}
		b.WriteString("\n")
	}
	return b.String()
}
