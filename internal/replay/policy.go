package replay

import (
	"io"
	"slices"
	"strings"
)

const policyFileSyntax = "policy or class lines"

// ApplyPolicy overrides policy and class lines of the trace with those read
// from r. Keys that r does not mention keep their values. The trace is changed
// only if every line is valid.
func (t *Trace) ApplyPolicy(name string, r io.Reader) error {
	changed := *t
	changed.Config.Classes = slices.Clone(t.Config.Classes)
	changed.File = name
	p := &parser{trace: &changed}
	text, err := io.ReadAll(r)
	if err != nil {
		return err
	}
	for _, line := range strings.Split(string(text), "\n") {
		p.line++
		line, _, _ = strings.Cut(line, "#")
		if strings.TrimSpace(line) == "" {
			continue
		}
		if err := p.policyLine(line); err != nil {
			return p.located(err)
		}
	}
	t.Config = changed.Config
	return nil
}

func (p *parser) policyLine(line string) *ParseError {
	verb := strings.Fields(line)[0]
	if verb != "policy" && verb != "class" {
		return &ParseError{Problem: "line " + quote(verb) + " in a policy file", Expected: policyFileSyntax}
	}
	f := splitFields(line, headers[verb].syntax)
	f.word("verb")
	if verb == "policy" {
		p.headerPolicy(f)
		return f.finish()
	}
	p.overrideClass(f)
	return f.finish()
}

func (p *parser) overrideClass(f *fields) {
	name := p.classWord(f)
	if f.err != nil {
		return
	}
	c := p.class(name)
	idempotent := f.flag("idempotent")
	nonIdempotent := f.flag("non-idempotent")
	if idempotent && nonIdempotent {
		f.fail(f.syntax, "class %q is both idempotent and non-idempotent", name)
	}
	if idempotent || nonIdempotent {
		c.Idempotent = idempotent
	}
	classKeys(f, c)
}
