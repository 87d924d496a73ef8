package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
)

// columnGap is the number of blanks between two columns.
const columnGap = 2

// printJSON writes an indented JSON value.
func (g *Globals) printJSON(v any) error {
	e := json.NewEncoder(g.out)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

// print writes v as JSON, or calls table with aligned columns.
func (g *Globals) print(v any, table func(w io.Writer)) error {
	if g.Output == "json" {
		return g.printJSON(v)
	}
	w := tabwriter.NewWriter(g.out, 0, 0, columnGap, ' ', 0)
	table(w)
	return w.Flush()
}

func row(w io.Writer, cells ...any) {
	for i, cell := range cells {
		if i > 0 {
			fmt.Fprint(w, "\t")
		}
		fmt.Fprint(w, cell)
	}
	fmt.Fprintln(w)
}
