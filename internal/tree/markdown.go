package tree

import (
	"fmt"
	"strings"
)

// Markdown returns a table of all keys of the tree for docs/SETTINGS.md.
func Markdown() string {
	var b strings.Builder
	b.WriteString("| key | default | allowed | at | meaning |\n| --- | --- | --- | --- | --- |\n")
	for _, k := range Keys {
		var at []string
		for _, kind := range k.Kinds {
			at = append(at, "`"+kind.String()+"`")
		}
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s | %s |\n", k.Name, k.Default, k.Allowed, strings.Join(at, ", "), k.Doc)
	}
	b.WriteString("| *a prefix* | | regions in order, separated by commas | `/blocks/NAME` | The regions of a block of client addresses. |\n")
	return b.String()
}
