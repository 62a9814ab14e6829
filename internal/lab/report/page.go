package report

import (
	"bytes"
	_ "embed"
	"fmt"
	"html/template"

	"pearknot/internal/lab/metrics"
)

//go:embed page.html.tmpl
var pageText string

var pageTemplate = template.Must(template.New("page").Funcs(template.FuncMap{
	"decimal": func(x float64) string { return fmt.Sprintf("%.3f", x) },
	"rounded": func(x float64) string { return fmt.Sprintf("%.0f", x) },
}).Parse(pageText))

// page is what the template shows.
type page struct {
	Result   metrics.Result
	Sections []section
}

// section is the part of the page for one run.
type section struct {
	Run     metrics.Run
	Figures []figure
}

// figure is a plot with its title.
type figure struct {
	Title string
	SVG   template.HTML
}

// Render returns the page of a result.
func Render(result metrics.Result) ([]byte, error) {
	p := page{Result: result}
	for _, run := range result.Runs {
		figures, err := newFigures(run)
		if err != nil {
			return nil, fmt.Errorf("plots of seed %d: %w", run.Seed, err)
		}
		p.Sections = append(p.Sections, section{Run: run, Figures: figures})
	}
	var out bytes.Buffer
	err := pageTemplate.Execute(&out, p)
	return out.Bytes(), err
}
