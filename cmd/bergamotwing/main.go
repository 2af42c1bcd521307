// Command bergamotwing is the one binary of the dispatcher: its processes and
// the commands of its operators and callers.
package main

func main() {}
