package console

import (
	"strconv"
	"strings"
)

// pageSize is the number of list entries on one page.
const pageSize = 50

// Views that are not document paths.
const (
	viewReview = "review"
	viewText   = "text"
)

// view identifies what a page shows: a struct or a list of the document, or one
// of the views above. Its string form is path@page.
type view struct {
	path string
	// page is the page index, starting at 0. It is used only for lists.
	page int
}

func parseView(text string) view {
	path, number, _ := strings.Cut(text, "@")
	page, err := strconv.Atoi(number)
	if err != nil || page < 0 {
		page = 0
	}
	return view{path: path, page: page}
}

func (v view) String() string { return v.path + "@" + strconv.Itoa(v.page) }

// hasOwnPage reports whether a list or entry is shown on a page of its own
// rather than inside its parent's page.
func hasOwnPage(path string) bool {
	switch last := path[strings.LastIndexByte(path, '.')+1:]; {
	case last == "services", last == "targets", last == "routes":
		return true
	default:
		list, _, ok := splitIndex(path)
		return ok && list == "services"
	}
}

// viewForField returns the view that shows a field.
func viewForField(path string) view {
	for at := path; at != ""; {
		if hasOwnPage(at) {
			return view{path: at}
		}
		list, index, ok := splitIndex(at)
		if ok && hasOwnPage(list) {
			return view{path: list, page: index / pageSize}
		}
		if ok {
			at = list
			continue
		}
		at, _ = splitField(at)
	}
	return view{}
}

// parent returns the view that contains v.
func (v view) parent() view {
	if list, index, ok := splitIndex(v.path); ok {
		return view{path: list, page: index / pageSize}
	}
	if owner, _ := splitField(v.path); owner != "" {
		return viewForField(owner)
	}
	return view{}
}
