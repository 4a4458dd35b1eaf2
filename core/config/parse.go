package config

import (
	"fmt"
	"regexp"
	"slices"
	"strings"
	"time"

	"tanagerchute/core/acct"
	"tanagerchute/core/errs"
	"tanagerchute/core/jsonc"
)

// Limits of a document. MaxDocumentBytes leaves room for the encoding of the
// document in a store value of 1 MB.
const (
	MaxDocumentBytes     = 512 << 10
	maxServices          = 256
	maxClassesPerService = 64
	maxAnswerWithin      = 5 * time.Minute
	maxNameBytes         = 63
)

var nameRE = regexp.MustCompile(`^[a-z][a-z0-9-]*$`)

var methods = []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"}

// Parse decodes and validates a document. The error, if any, is an *errs.Error
// that lists all findings with their positions in file.
func Parse(file string, data []byte) (*Document, error) {
	return ParseNext(&acct.Compiler{}, file, data)
}

// ParseNext is like Parse for one of the successive versions of a document. It takes
// the accounts that did not change from accounts.
func ParseNext(accounts *acct.Compiler, file string, data []byte) (*Document, error) {
	if len(data) > MaxDocumentBytes {
		var l errs.List
		l.Add(errs.Pos{File: file}, "", "has %d bytes, more than the limit of %d", len(data), MaxDocumentBytes)
		return nil, l.Err()
	}
	d := &Document{}
	findings, err := jsonc.Decode(file, data, d)
	if err != nil {
		return nil, err
	}
	v := &validator{findings}
	v.checkDocument(d)
	if d.Accounts != nil {
		d.directory = v.compileAccounts(accounts, d.Accounts)
	}
	if err := v.Err(); err != nil {
		return nil, err
	}
	return d, nil
}

// validator checks the rules of a document beyond its syntax and types.
type validator struct{ *jsonc.Findings }

func (v *validator) checkName(path, name string) {
	if !nameRE.MatchString(name) || len(name) > maxNameBytes {
		v.Add(path, "%q is not a name of lower-case letters, digits and dashes", name)
	}
}

func (v *validator) checkDocument(d *Document) {
	v.checkName("deployment", d.Deployment)
	if len(d.Services) == 0 {
		v.Add("services", "lists no service")
	}
	if len(d.Services) > maxServices {
		v.Add("services", "lists %d services, more than the limit of %d", len(d.Services), maxServices)
	}
	seen := map[string]bool{}
	for i, s := range d.Services {
		path := fmt.Sprintf("services.%d", i)
		v.checkName(path+".name", s.Name)
		if seen[s.Name] {
			v.Add(path+".name", "service %q appears twice", s.Name)
		}
		seen[s.Name] = true
		v.checkService(d, s, path)
	}
}

func (v *validator) checkService(d *Document, s Service, path string) {
	for i, to := range s.Calls {
		if _, ok := d.Service(to); !ok {
			v.Add(fmt.Sprintf("%s.calls.%d", path, i), "service %q does not exist", to)
		}
	}
	if len(s.Classes) == 0 {
		v.Add(path+".classes", "lists no class")
	}
	if len(s.Classes) > maxClassesPerService {
		v.Add(path+".classes", "lists %d classes, more than the limit of %d", len(s.Classes), maxClassesPerService)
	}
	names := map[string]bool{}
	matches := map[Match]string{}
	for i, class := range s.Classes {
		classPath := fmt.Sprintf("%s.classes.%d", path, i)
		if names[class.Name] {
			v.Add(classPath+".name", "class %q appears twice", class.Name)
		}
		names[class.Name] = true
		v.checkClass(class, classPath)
		v.checkMatches(class, classPath, matches)
	}
}

func (v *validator) checkClass(class Class, path string) {
	v.checkName(path+".name", class.Name)
	if class.AnswerWithin <= 0 || class.AnswerWithin.Std() > maxAnswerWithin {
		v.Add(path+".answer_within", "must be over 0 and at most %v", maxAnswerWithin)
	}
	if class.MayWait < 0 || class.AnswerWithin > 0 && class.MayWait > class.AnswerWithin {
		v.Add(path+".may_wait", "must be between 0 and answer_within")
	}
	if len(class.Match) == 0 {
		v.Add(path+".match", "lists no match, so no call can belong to the class")
	}
}

// checkMatches checks the matches of a class. It adds them to seen, which holds
// the class of each match of the service so far.
func (v *validator) checkMatches(class Class, path string, seen map[Match]string) {
	for i, m := range class.Match {
		matchPath := fmt.Sprintf("%s.match.%d", path, i)
		if m.Method != "" && !slices.Contains(methods, m.Method) {
			v.Add(matchPath+".method", "%q is not one of %s", m.Method, strings.Join(methods, ", "))
		}
		if !strings.HasPrefix(m.Path, "/") {
			v.Add(matchPath+".path", "%q does not start with /", m.Path)
		}
		if other, ok := seen[m]; ok {
			v.Add(matchPath, "is the same as a match of class %q", other)
		}
		seen[m] = class.Name
	}
}
