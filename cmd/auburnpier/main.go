// Command auburnpier is the command-line tool for submitters and operators.
package main

import (
	"os"

	"auburnpier/internal/cli"
)

func main() {
	os.Exit(cli.Run(os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
}
