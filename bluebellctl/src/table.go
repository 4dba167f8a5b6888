package bbctl

import (
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"

	"github.com/juju/errors"
)

// render prints v as JSON, or the rows as a table, as --output says.
func (e *env) render(v any, columns []string, rows [][]any) error {
	if e.opts.Output == formatJSON {
		enc := json.NewEncoder(e.stdout)
		enc.SetIndent("", "  ")
		return errors.Trace(enc.Encode(v))
	}
	w := tabwriter.NewWriter(e.stdout, 0, 8, 2, ' ', 0)
	fmt.Fprintln(w, strings.Join(columns, "\t"))
	for _, r := range rows {
		cells := make([]string, len(r))
		for i, c := range r {
			cells[i] = fmt.Sprint(c)
		}
		fmt.Fprintln(w, strings.Join(cells, "\t"))
	}
	return errors.Trace(w.Flush())
}
