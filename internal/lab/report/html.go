package report

import (
	_ "embed"
	"encoding/base64"
	"html/template"
	"io"

	"github.com/rotisserie/eris"

	"github.com/loomgrade/loomgrade/internal/lab/experiment"
)

//go:embed report.gohtml
var pageSource string

var page = template.Must(template.New("report").Parse(pageSource))

// pageData is the data of the page template.
type pageData struct {
	Headline string
	Results  *experiment.Results
	Tables   []Table
	Figures  []pageFigure
}

// pageFigure is a plot as a data URL.
type pageFigure struct {
	Title, Note string
	Source      template.URL
}

// WriteHTML writes a page with all tables and plots.
func WriteHTML(output io.Writer, results *experiment.Results) error {
	figures, err := Figures(results)
	if err != nil {
		return err
	}
	data := pageData{Headline: headline(results), Results: results, Tables: Tables(results)}
	for _, figure := range figures {
		encoded := base64.StdEncoding.EncodeToString(figure.PNG)
		data.Figures = append(data.Figures, pageFigure{
			Title: figure.Title, Note: figure.Note, Source: template.URL("data:image/png;base64," + encoded),
		})
	}
	return eris.Wrap(page.Execute(output, data), "write page")
}
