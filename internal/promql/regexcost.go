package promql

// Bounds on the regular expressions of a query. To compile them can take minutes of processor time and a
// gigabyte of memory for a text of some kilobytes, so they are weighed before they are compiled.

import (
	"fmt"
	"regexp/syntax"
	"strings"
	"unicode/utf8"

	"github.com/prometheus/prometheus/promql/parser"
	"github.com/prometheus/prometheus/util/strutil"
)

// Limits on all regular expressions of one query together.
const (
	maxRegexWeight = 64 << 10 // bytes of text, and what costs as much as so many bytes
	maxRegexSize   = 64 << 10 // instructions that they are compiled to
)

// Weights and sizes, in bytes and in instructions.
const (
	regexWeight     = 64      // of a regular expression beside its text
	wideClassWeight = 4 << 10 // of a class that may hold a large part of Unicode
	runesOfClass    = 16      // so many bounds of a class count as an instruction
)

// checkRegexes returns an error if compiling a query's regular expressions could take long. What cannot be
// read is left to the parser, which tells what is wrong with it.
func checkRegexes(query string) error {
	lexer := parser.Lex(query)
	weight, size := 0, 0
	isRegex := false // the next string is a regular expression
	var item parser.Item
	for lexer.NextItem(&item); item.Typ != parser.EOF && item.Typ != parser.ERROR; lexer.NextItem(&item) {
		switch item.Typ {
		case parser.COMMENT:
			continue
		case parser.STRING:
			if !isRegex {
				break
			}
			text, err := strutil.Unquote(item.Val)
			if err != nil {
				return nil
			}
			if weight += weighRegex(text); weight > maxRegexWeight {
				return fmt.Errorf("the regular expressions are larger than %d bytes, of which a class of Unicode "+
					"characters counts as %d", maxRegexWeight, wideClassWeight)
			}
			if size += sizeOfRegex(text); size > maxRegexSize {
				return fmt.Errorf("the regular expressions have more than %d steps, repetitions written out",
					maxRegexSize)
			}
		}
		isRegex = item.Typ == parser.EQL_REGEX || item.Typ == parser.NEQ_REGEX
	}
	return nil
}

// weighRegex returns the weight of a regular expression, by its text alone: even to parse one takes time and
// memory.
func weighRegex(text string) int {
	weight := regexWeight + len(text)
	inClass := false
	for i := 0; i < len(text); i++ {
		switch c := text[i]; {
		case c == '\\' && i+1 < len(text):
			i++
			if c = text[i]; c == 'p' || c == 'P' || c == 'x' && inClass {
				weight += wideClassWeight
			}
		case c == '[' && !inClass:
			inClass = true
			i += lengthOfClassStart(text[i:]) - 1
		case c == '[': // within a class: a named one, or a character
			i += max(1, lengthOfNamedClass(text[i:])) - 1
		case c == ']':
			inClass = false
		case c >= utf8.RuneSelf && utf8.RuneStart(c) && inClass:
			weight += wideClassWeight
		}
	}
	return weight
}

// lengthOfClassStart returns the length of a class's start: the bracket, a negation, and a closing bracket
// that stands for itself.
func lengthOfClassStart(text string) int {
	n := len("[")
	if strings.HasPrefix(text[n:], "^") {
		n++
	}
	if strings.HasPrefix(text[n:], "]") {
		n++
	}
	return n
}

// lengthOfNamedClass returns the length of a class such as [:alpha:] at the start of a text, or 0.
func lengthOfNamedClass(text string) int {
	if !strings.HasPrefix(text, "[:") {
		return 0
	}
	end := strings.Index(text, ":]")
	if end < len("[:") {
		return 0
	}
	return end + len(":]")
}

// sizeOfRegex returns about how many instructions a regular expression is compiled to; 0 if it is malformed.
// The result is at most a little above maxRegexSize.
func sizeOfRegex(text string) int {
	re, err := syntax.Parse(text, syntax.Perl|syntax.DotNL)
	if err != nil {
		return 0
	}
	return sizeOfTree(re)
}

// sizeOfTree returns the same for a parsed expression.
func sizeOfTree(re *syntax.Regexp) int {
	size := 1
	switch re.Op {
	case syntax.OpLiteral:
		size = len(re.Rune)
	case syntax.OpCharClass:
		size += len(re.Rune) / runesOfClass
	}
	for _, sub := range re.Sub {
		size = min(size+sizeOfTree(sub), maxRegexSize+1)
	}
	if re.Op == syntax.OpRepeat {
		size *= max(1, re.Min+1, re.Max)
	}
	return min(size, maxRegexSize+1)
}
