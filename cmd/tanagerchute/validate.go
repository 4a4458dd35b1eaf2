package main

import (
	"context"
	"flag"
	"fmt"

	"github.com/google/subcommands"
)

// validateCmd validates a document.
type validateCmd struct{}

// Name implements subcommands.Command.
func (*validateCmd) Name() string { return "validate" }

// Synopsis implements subcommands.Command.
func (*validateCmd) Synopsis() string { return "validate a document and list all errors" }

// Usage implements subcommands.Command.
func (*validateCmd) Usage() string {
	return `validate FILE
  Validates a document without access to a store. All errors are printed to
  standard error, one a line, with file, line and column.

  Example:
    tanagerchute validate examples/nordurljos/mesh.jsonc

`
}

// SetFlags implements subcommands.Command.
func (*validateCmd) SetFlags(*flag.FlagSet) {}

// Execute implements subcommands.Command.
func (*validateCmd) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	file, err := oneArg(f, "the document")
	if err != nil {
		return exitUsage("validate %v", err)
	}
	_, doc, err := readDocument(file)
	if err != nil {
		return exitFailure(err)
	}
	classes := 0
	for _, s := range doc.Services {
		classes += len(s.Classes)
	}
	fmt.Printf("%s is valid: deployment %s, %d services, %d classes\n", file, doc.Deployment, len(doc.Services), classes)
	return subcommands.ExitSuccess
}
