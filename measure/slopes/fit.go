package slopes

import (
	"fmt"
	"io"
)

// add appends the quantities of one more size to the rows.
func (r *Report) add(measured []quantity) {
	if r.Rows == nil {
		r.Rows = make([]Row, len(measured))
	}
	for i, q := range measured {
		r.Rows[i].Name = q.name
		r.Rows[i].Unit = q.unit
		r.Rows[i].Values = append(r.Rows[i].Values, q.value)
	}
}

// fit fits a straight line through the row's values by least squares.
func (r *Row) fit(targets []int) {
	n := float64(len(targets))
	var sumX, sumY, sumXX, sumXY float64
	for i, count := range targets {
		x := float64(count) / 1000
		y := r.Values[i]
		sumX += x
		sumY += y
		sumXX += x * x
		sumXY += x * y
	}
	r.Slope = (n*sumXY - sumX*sumY) / (n*sumXX - sumX*sumX)
	r.Base = (sumY - r.Slope*sumX) / n
}

// Print writes the report as a table.
func (r Report) Print(out io.Writer) {
	write := func(format string, args ...any) { _, _ = fmt.Fprintf(out, format, args...) }
	write("%-48s", "backend servers")
	for _, count := range r.Targets {
		write("%10d", count)
	}
	write("%12s%10s\n", "per 1,000", "base")
	for _, row := range r.Rows {
		write("%-48s", row.Name+", "+row.Unit)
		for _, value := range row.Values {
			write("%10.3f", value)
		}
		write("%12.3f%10.3f\n", row.Slope, row.Base)
	}
}
