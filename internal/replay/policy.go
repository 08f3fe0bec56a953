package replay

import (
	"io"
	"slices"
	"strings"
)

const policyFileSyntax = "policy or class lines"

// ApplyPolicy overrides policy and class lines of the trace with those read from r.
// Keys that r does not set keep their values. The trace changes only if every line
// is valid.
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
			return p.withPosition(err)
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
	f := splitFields(line, headerVerbs[verb].syntax)
	f.takeWord("verb")
	if verb == "policy" {
		p.headerPolicy(f)
		return f.finish()
	}
	p.overrideClass(f)
	return f.finish()
}

func (p *parser) overrideClass(f *lineFields) {
	name := p.parseClassName(f)
	if f.err != nil {
		return
	}
	c := p.findClass(name)
	idempotent := f.takeFlag("idempotent")
	nonIdempotent := f.takeFlag("non-idempotent")
	if idempotent && nonIdempotent {
		f.fail(f.syntax, "class %q is both idempotent and non-idempotent", name)
	}
	if idempotent || nonIdempotent {
		c.Idempotent = idempotent
	}
	classKeys(f, c)
}
