// Command bergamotwing is the one binary of the dispatcher: its processes and
// the commands of its operators and callers.
package main

import (
	"os"

	"bergamotwing.example/command"
)

func main() { os.Exit(command.Run(os.Args[1:], os.Stdout, os.Stderr)) }
