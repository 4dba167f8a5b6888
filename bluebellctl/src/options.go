package bbctl

import (
	"fmt"
	"net"
	"time"

	"github.com/alecthomas/kingpin/v2"
)

// Options holds the settings that all commands share.
type Options struct {
	Store   string
	Admins  []string
	Output  string
	Timeout time.Duration
}

// Output formats.
const (
	formatTable = "table"
	formatJSON  = "json"
)

func (o *Options) flags(app *kingpin.Application) {
	app.Flag("store", "Address of the platform's key-value service.").Envar("BLUEBELLCTL_STORE").Default("127.0.0.1:2379").StringVar(&o.Store)
	app.Flag("admin", "Admin address of an instance, for status; may be repeated.").Envar("BLUEBELLCTL_ADMIN").StringsVar(&o.Admins)
	app.Flag("output", "Form of the output: table or json.").Short('o').Envar("BLUEBELLCTL_OUTPUT").Default(formatTable).StringVar(&o.Output)
	app.Flag("timeout", "Longest time that a command may take.").Envar("BLUEBELLCTL_TIMEOUT").Default("15s").DurationVar(&o.Timeout)
}

// Check returns one line for each invalid setting.
func (o *Options) Check() []string {
	var bad []string
	if _, _, err := net.SplitHostPort(o.Store); err != nil {
		bad = append(bad, fmt.Sprintf("--store: not host:port: %q", o.Store))
	}
	for _, v := range o.Admins {
		if _, _, err := net.SplitHostPort(v); err != nil {
			bad = append(bad, fmt.Sprintf("--admin: not host:port: %q", v))
		}
	}
	if o.Output != formatTable && o.Output != formatJSON {
		bad = append(bad, fmt.Sprintf("--output: %q: table or json", o.Output))
	}
	if o.Timeout <= 0 {
		bad = append(bad, fmt.Sprintf("--timeout: must be above 0, is %s", o.Timeout))
	}
	return bad
}
