package capacity

import (
	"strings"

	"github.com/pkg/errors"
)

// table returns a Markdown table.
func table(head []string, rows [][]string) string {
	var b strings.Builder
	line := func(cells []string) { b.WriteString("| " + strings.Join(cells, " | ") + " |\n") }
	line(head)
	rule := make([]string, len(head))
	for i := range rule {
		rule[i] = "---"
	}
	line(rule)
	for _, row := range rows {
		line(row)
	}
	return b.String()
}

// Replace puts a text between the markers of a name in a page:
// <!-- capacity:NAME --> and <!-- /capacity:NAME -->.
func ReplaceSection(page, name, text string) (string, error) {
	first, last := "<!-- capacity:"+name+" -->", "<!-- /capacity:"+name+" -->"
	if strings.Count(page, first) != 1 || strings.Count(page, last) != 1 {
		return "", errors.Errorf("the page must have %s and %s once", first, last)
	}
	from := strings.Index(page, first) + len(first)
	to := strings.Index(page, last)
	if to < from {
		return "", errors.Errorf("%s comes before %s", last, first)
	}
	return page[:from] + "\n" + strings.TrimSpace(text) + "\n" + page[to:], nil
}
