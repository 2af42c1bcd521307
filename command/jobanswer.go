package command

import (
	"encoding/base64"
	"unicode/utf8"

	"bergamotwing.example/client/api"
	"bergamotwing.example/result"
)

// reportAnswer prints the answer to a job, if there is one, and returns err.
func reportAnswer(out *output, asJSON bool, a *api.Answer, err error) error {
	if a == nil {
		return err
	}
	if !asJSON {
		writeAnswer(out, a)
		return err
	}
	if jsonErr := out.printJSON(a); jsonErr != nil {
		return jsonErr
	}
	return err
}

func writeAnswer(out *output, a *api.Answer) {
	switch {
	case a.Running:
		out.printf("running: %d of %d tasks have started\n", a.Started, a.Tasks)
	case a.Code == result.OK:
		out.printf("complete: %d tasks\n", len(a.Results))
	default:
		out.printf("%s\n", result.Lookup(a.Code).Sentence)
	}
	if a.Ticket != "" {
		out.printf("ticket %s\n", a.Ticket)
	}
	for i, r := range a.Results {
		out.printf("%4d  %s\n", i+1, printable(r))
	}
}

// printable returns text as it is and other bytes in base64.
func printable(b []byte) string {
	if utf8.Valid(b) {
		return string(b)
	}
	return "base64:" + base64.StdEncoding.EncodeToString(b)
}
