package measurespage

import (
	"image/color" //nolint:misspell // the library's name
	"os"
	"path/filepath"

	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgimg"

	"flamingoreach/measure/ingressrig"
)

const (
	// columns is the number of plots in a row of an image.
	columns    = 4
	tileWidth  = 3 * vg.Inch
	tileHeight = 2 * vg.Inch
	// resolution is in dots per inch.
	resolution = 72
	// possible is the legend of the line of the largest possible goodput.
	possible = "possible"
)

// lineColours maps each control, and the largest possible goodput, to the colour of its line.
var lineColours = map[string]color.Color{ //nolint:misspell // the library's name
	possible:    color.Gray{Y: 170},                 //nolint:misspell // the library's name
	"none":      color.RGBA{R: 200, A: 255},         //nolint:misspell // the library's name
	"static":    color.RGBA{R: 230, G: 140, A: 255}, //nolint:misspell // the library's name
	"gatesOnly": color.RGBA{B: 200, A: 255},         //nolint:misspell // the library's name
	"policy":    color.RGBA{G: 130, A: 255},         //nolint:misspell // the library's name
}

// plot writes one image for each scenario with the goodput of each case over time.
func (pag *Page) plot(folder string) error {
	if err := os.MkdirAll(folder, 0o750); err != nil {
		return eris.Wrap(err, "create folder of plots")
	}
	for _, sce := range pag.scenarios {
		if err := pag.draw(sce, filepath.Join(folder, sce.Name+".png")); err != nil {
			return err
		}
	}
	return nil
}

func (pag *Page) draw(sce ingressrig.Scenario, file string) error {
	rows := (len(sce.Cases) + columns - 1) / columns
	img := vgimg.NewWith(vgimg.UseWH(columns*tileWidth, vg.Length(rows)*tileHeight), vgimg.UseDPI(resolution))
	tiles := draw.Tiles{Rows: rows, Cols: columns, PadX: vg.Points(6), PadY: vg.Points(6)}
	canvas := draw.New(img)
	for index, cas := range sce.Cases {
		plo, err := drawCase(cas.Name, pag.reports(sce.Name, cas.Name), index == 0)
		if err != nil {
			return err
		}
		plo.Draw(tiles.At(canvas, index%columns, index/columns))
	}
	out, err := os.Create(file)
	if err != nil {
		return eris.Wrap(err, "create plot")
	}
	if _, err := (vgimg.PngCanvas{Canvas: img}).WriteTo(out); err != nil {
		_ = out.Close()
		return eris.Wrapf(err, "write plot %s", file)
	}
	return eris.Wrap(out.Close(), "close plot")
}

func drawCase(name string, reports []ingressrig.Report, legend bool) (*plot.Plot, error) {
	plo := plot.New()
	plo.Title.Text = name
	plo.X.Label.Text = "s"
	plo.Y.Label.Text = "served/s"
	plo.Y.Min = 0
	if err := addLine(plo, possible, reports[0].Possible, legend); err != nil {
		return nil, err
	}
	for _, rep := range reports {
		served := make([]float64, len(rep.Served))
		for second, count := range rep.Served {
			served[second] = float64(count)
		}
		if err := addLine(plo, rep.Control, served, legend); err != nil {
			return nil, err
		}
	}
	return plo, nil
}

func addLine(plo *plot.Plot, control string, values []float64, legend bool) error {
	points := make(plotter.XYs, len(values))
	for second, value := range values {
		points[second] = plotter.XY{X: float64(second), Y: value}
	}
	line, err := plotter.NewLine(points)
	if err != nil {
		return eris.Wrap(err, "draw line")
	}
	line.Color = lineColours[control] //nolint:misspell // the library's name
	plo.Add(line)
	if legend {
		plo.Legend.Add(control, line)
	}
	return nil
}
