package bbticket

import (
	"bytes"
	"fmt"

	"github.com/goccy/go-yaml"
)

// optionalLists are the lists of a service that allow more if they are left out than any
// list could, and what that is.
var optionalLists = []struct{ name, absent string }{
	{"accounts", "all accounts"},
	{"idempotent", "GET, HEAD and OPTIONS"},
}

// emptyListError returns an error text for the first of a ticket's optionalLists that is
// there but empty or null, in the format of the decoder's errors, or "" if there is none.
// Decoded, such a list could not be told from one that is left out.
func emptyListError(src []byte) string {
	var ticket struct {
		Services []map[string]any `yaml:"services"`
	}
	if err := yaml.Unmarshal(src, &ticket); err != nil {
		return "" // the strict decoder has told why
	}
	for i, service := range ticket.Services {
		for _, list := range optionalLists {
			value, present := service[list.name]
			if entries, _ := value.([]any); !present || len(entries) > 0 {
				continue
			}
			text := list.name + ": must not be empty; leave it out for " + list.absent
			path, err := yaml.PathString(fmt.Sprintf("$.services[%d].%s", i, list.name))
			if err != nil {
				return text
			}
			return located(src, path, text)
		}
	}
	return ""
}

// located returns an error text with the line and column of a path in a ticket, and an
// excerpt, in the format of the decoder's errors.
func located(src []byte, path *yaml.Path, text string) string {
	node, err := path.ReadNode(bytes.NewReader(src))
	if err != nil {
		return text
	}
	position := node.GetToken().Position
	text = fmt.Sprintf("[%d:%d] %s", position.Line, position.Column, text)
	if excerpt, err := path.AnnotateSource(src, false); err == nil {
		text += "\n" + string(excerpt)
	}
	return text
}
