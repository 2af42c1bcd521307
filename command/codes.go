package command

import (
	"fmt"
	"io"

	"bergamotwing.example/result"
)

const codesHelp = `Prints the result codes with what they say about the work and
about submitting it again.

Examples:
$ bergamotwing codes
$ bergamotwing codes --markdown > docs/CODES.md`

type codesCommand struct {
	out      *output
	Markdown bool `long:"markdown" description:"print docs/CODES.md"`
	JSON     bool `long:"json" description:"print JSON"`
}

// Execute prints the table.
func (c *codesCommand) Execute([]string) error {
	switch {
	case c.Markdown:
		return writeCodesMarkdown(c.out.stdout)
	case c.JSON:
		return c.out.printJSON(codeRows())
	}
	t := newTable("CODE", "NAME", "HTTP", "RAN", "SUBMIT AGAIN", "MEANING")
	for _, r := range codeRows() {
		t.add(int(r.Code), r.Name, r.HTTPStatus, r.Ran, r.Resubmit, r.Meaning)
	}
	return t.write(c.out.stdout)
}

// codeRow is a row of the table of result codes.
type codeRow struct {
	Code       result.Code `json:"code"`
	Name       string      `json:"name"`
	HTTPStatus int         `json:"httpStatus"`
	Ran        string      `json:"ran"`
	Resubmit   string      `json:"resubmit"`
	Meaning    string      `json:"meaning"`
}

var ranWords = map[result.Ran]string{result.RanNo: "no", result.RanMaybe: "maybe", result.RanYes: "yes"}

var resubmitWords = map[result.Resubmit]string{
	result.ResubmitNever:      "never",
	result.ResubmitSameTicket: "same ticket",
	result.ResubmitNewTicket:  "new ticket",
}

func codeRows() []codeRow {
	infos := result.All()
	rows := make([]codeRow, 0, len(infos))
	for _, i := range infos {
		rows = append(rows, codeRow{i.Code, i.Name, i.HTTPStatus, ranWords[i.Ran], resubmitWords[i.Resubmit], i.Sentence})
	}
	return rows
}

const codesIntro = `# Result codes

Written by ` + "`bergamotwing codes --markdown`" + `; a test compares this page with package ` + "`result`" + `.

Every answer and refusal carries one of these codes. Numbers are never reused. 0 is success, 1xx are
bad requests, 2xx are refusals where nothing ran, 3xx are failures where something may have run, 4xx
concern release notes and operators, 5xx are refusals between processes.

**Ran** says whether work of the request may have run: *no* means that none did and none will.
**Submit again** says what a caller may do: *same ticket* joins the job or finds its answer, *new
ticket* is safe because nothing ran, *never* means that the same request fails again. For notes and
zone commands, read *note id* for *ticket*.

A refused submission consumes its ticket. So a refusal that names the ticket and whose code has *Ran:
no* is final for it: nothing ran under it and nothing will, also if an earlier answer was lost. A refusal without
the ticket's name was made before the ticket was read. It speaks for that one request, and a caller
whose earlier answer was lost keeps to the same ticket. not_found settles no ticket.

| Code | Name | HTTP | Ran | Submit again | Meaning |
| ---: | --- | ---: | --- | --- | --- |
`

func writeCodesMarkdown(w io.Writer) error {
	if _, err := io.WriteString(w, codesIntro); err != nil {
		return err
	}
	for _, r := range codeRows() {
		if _, err := fmt.Fprintf(w, "| %d | %s | %d | %s | %s | %s |\n", int(r.Code), r.Name, r.HTTPStatus, r.Ran, r.Resubmit, r.Meaning); err != nil {
			return err
		}
	}
	return writeExitCodes(w)
}

const exitIntro = `
## Exit codes of the commands

| Exit code | Meaning |
| ---: | --- |
`

func writeExitCodes(w io.Writer) error {
	if _, err := io.WriteString(w, exitIntro); err != nil {
		return err
	}
	for code, meaning := range exitMeanings {
		if _, err := fmt.Fprintf(w, "| %d | %s |\n", code, meaning); err != nil {
			return err
		}
	}
	return nil
}
