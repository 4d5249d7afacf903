package replay

import (
	"fmt"
	"strings"
)

// Text formats the comparison for an operator. Each list ends after limit entries.
func (c *Comparison) Text(limit int) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%d requests under the change, %d under other configurations or within the warm-up; coverage %.1f%%\n", c.Requests, c.OtherRequests, 100*c.Coverage)
	fmt.Fprintf(&b, "%d flows, %d shares compared; %.1f standard errors of both samples are allowed\n\n", len(c.Flows), c.SharesChecked, c.MaxStandardErrors)
	c.writeFlows(&b, limit)
	c.writeDeviations(&b, limit)
	writeFlowList(&b, "forecast, but without requests", c.MissingFlows, limit)
	writeFlowList(&b, "not forecast", c.NewFlows, limit)
	writeFlowList(&b, "too few requests to compare", c.SparseFlows, limit)
	return b.String()
}

func (c *Comparison) writeFlows(b *strings.Builder, limit int) {
	fmt.Fprintf(b, "%-20s %-10s %-26s %9s %9s %8s  %s\n", "route", "kind", "from", "foretold", "carried", "outside", "service, foretold -> carried")
	for i, f := range c.Flows {
		if i == limit {
			fmt.Fprintf(b, "and %d more flows\n", len(c.Flows)-i)
			break
		}
		fmt.Fprintf(b, "%-20s %-10s %-26s %9d %9d %8d  %s -> %s\n", f.Route, f.Kind, f.Origin, f.Forecast.Requests, f.Actual.Requests, f.Deviations,
			sharesText(f.Forecast.Service, f.Forecast.Requests), sharesText(f.Actual.Service, f.Actual.Requests))
	}
}

func (c *Comparison) writeDeviations(b *strings.Builder, limit int) {
	for i, d := range c.Deviations {
		if i == 0 {
			b.WriteString("\n")
		}
		if i == limit {
			fmt.Fprintf(b, "and %d more shares outside\n", len(c.Deviations)-i)
			break
		}
		fmt.Fprintf(b, "OUTSIDE %s: %s %s was forecast at %.1f%%, is %.1f%% (expected between %.1f%% and %.1f%%)\n",
			d.Flow, d.Dimension, d.Value, 100*d.Forecast, 100*d.Actual, 100*d.Low, 100*d.High)
	}
}

func writeFlowList(b *strings.Builder, title string, flows []Flow, limit int) {
	for i, f := range flows {
		if i == limit {
			fmt.Fprintf(b, "%s: and %d more flows\n", title, len(flows)-i)
			break
		}
		fmt.Fprintf(b, "%s: %s\n", title, f)
	}
}
