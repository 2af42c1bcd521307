package command

import (
	"bergamotwing.example/settings"
	"bergamotwing.example/tablestore"
)

// processOptions are common to the commands that run a process.
type processOptions struct {
	Settings string `long:"settings" value-name:"FILE" required:"yes" description:"settings file, JSON with comments"`
	Check    bool   `long:"check-settings" description:"check the settings file and exit"`
}

func connectPlatform(p settings.Platform) tablestore.Table {
	return tablestore.NewClient(tablestore.ClientConfig{URL: p.URL, Token: p.Token, Timeout: p.Timeout.D()})
}
