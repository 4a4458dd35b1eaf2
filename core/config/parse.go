package config

import (
	"fmt"
	"regexp"
	"slices"
	"strings"
	"time"

	"tanagerchute/core/errs"
	"tanagerchute/core/jsonc"
)

// Limits of a document.
const (
	MaxDocumentBytes     = 512 << 10 // bytes; leaves room for encoding in a 1 MB value
	maxServices          = 256
	maxClassesPerService = 64
	maxAnswerWithin      = 5 * time.Minute
	maxNameBytes         = 63
)

var nameRE = regexp.MustCompile(`^[a-z][a-z0-9-]*$`)

var methods = []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"}

// Parse reads a document and checks it whole. The error, if any, is an
// *errs.Error that lists every finding with its place in file.
func Parse(file string, data []byte) (*Document, error) {
	if len(data) > MaxDocumentBytes {
		var l errs.List
		l.Add(errs.Pos{File: file}, "", "has %d bytes, more than the limit of %d", len(data), MaxDocumentBytes)
		return nil, l.Err()
	}
	d := &Document{}
	decoded, err := jsonc.Decode(file, data, d)
	if err != nil {
		return nil, err
	}
	c := &validator{decoded}
	c.checkDocument(d)
	if err := c.Err(); err != nil {
		return nil, err
	}
	return d, nil
}

// checks says what is wrong beyond syntax and types.
type validator struct{ *jsonc.Findings }

func (c *validator) checkName(path, checkName string) {
	if !nameRE.MatchString(checkName) || len(checkName) > maxNameBytes {
		c.Add(path, "%q is not a name of lower-case letters, digits and dashes", checkName)
	}
}

func (c *validator) checkDocument(d *Document) {
	c.checkName("deployment", d.Deployment)
	if len(d.Services) == 0 {
		c.Add("services", "lists no service")
	}
	if len(d.Services) > maxServices {
		c.Add("services", "lists %d services, more than the limit of %d", len(d.Services), maxServices)
	}
	seen := map[string]bool{}
	for i, s := range d.Services {
		path := fmt.Sprintf("services.%d", i)
		c.checkName(path+".name", s.Name)
		if seen[s.Name] {
			c.Add(path+".name", "service %q appears twice", s.Name)
		}
		seen[s.Name] = true
		c.checkService(d, s, path)
	}
}

func (c *validator) checkService(d *Document, s Service, path string) {
	for i, to := range s.Calls {
		if _, ok := d.Service(to); !ok {
			c.Add(fmt.Sprintf("%s.calls.%d", path, i), "service %q does not exist", to)
		}
	}
	if len(s.Classes) == 0 {
		c.Add(path+".classes", "lists no class")
	}
	if len(s.Classes) > maxClassesPerService {
		c.Add(path+".classes", "lists %d classes, more than the limit of %d", len(s.Classes), maxClassesPerService)
	}
	names := map[string]bool{}
	matches := map[Match]string{}
	for i, k := range s.Classes {
		sub := fmt.Sprintf("%s.classes.%d", path, i)
		if names[k.Name] {
			c.Add(sub+".name", "class %q appears twice", k.Name)
		}
		names[k.Name] = true
		c.checkClass(k, sub)
		c.checkMatches(k, sub, matches)
	}
}

func (c *validator) checkClass(k Class, path string) {
	c.checkName(path+".name", k.Name)
	if k.AnswerWithin <= 0 || k.AnswerWithin.Std() > maxAnswerWithin {
		c.Add(path+".answer_within", "must be over 0 and at most %v", maxAnswerWithin)
	}
	if k.MayWait < 0 || k.AnswerWithin > 0 && k.MayWait > k.AnswerWithin {
		c.Add(path+".may_wait", "must be between 0 and answer_within")
	}
	if len(k.Match) == 0 {
		c.Add(path+".match", "lists no match, so no call can belong to the class")
	}
}

func (c *validator) checkMatches(k Class, path string, seen map[Match]string) {
	for i, m := range k.Match {
		sub := fmt.Sprintf("%s.match.%d", path, i)
		if m.Method != "" && !slices.Contains(methods, m.Method) {
			c.Add(sub+".method", "%q is not one of %s", m.Method, strings.Join(methods, ", "))
		}
		if !strings.HasPrefix(m.Path, "/") {
			c.Add(sub+".path", "%q does not start with /", m.Path)
		}
		if other, ok := seen[m]; ok {
			c.Add(sub, "is the same as a match of class %q", other)
		}
		seen[m] = k.Name
	}
}
