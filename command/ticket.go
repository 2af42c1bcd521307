package command

import (
	"context"

	"bergamotwing.example/client"
)

const ticketHelp = `Takes tickets and prints them, one a line. A ticket may be used for
one job within ten minutes.

Examples:
$ bergamotwing ticket --entries http://127.0.0.1:8080
$ bergamotwing ticket --count 10 --json`

type ticketCommand struct {
	out     *output
	Options callerOptions
	Count   int `long:"count" default:"1" description:"number of tickets"`
}

// Execute takes and prints tickets.
func (c *ticketCommand) Execute([]string) error {
	return c.Options.call(func(ctx context.Context, cl *client.Client) error {
		tickets, err := cl.Tickets(ctx, c.Count)
		if err != nil {
			return err
		}
		if c.Options.JSON {
			return c.out.printJSON(tickets)
		}
		for _, t := range tickets {
			c.out.printf("%s\n", t)
		}
		return nil
	})
}
