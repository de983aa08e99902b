package fleetview

import "github.com/prometheus/client_golang/prometheus"

// Collectors returns the metrics of the view.
func (c *Client) Collectors() []prometheus.Collector {
	gauge := func(name, help string, value func(v *View) float64) prometheus.Collector {
		return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: "eelgrass", Subsystem: "view", Name: name, Help: help},
			func() float64 { return value(c.View()) })
	}
	return []prometheus.Collector{
		gauge("age_seconds", "Time since the view was certainly current.", func(*View) float64 { return c.Age().Seconds() }),
		gauge("config_version", "Operator's version of the configuration in force; 0 without one.", func(v *View) float64 {
			if v.Config == nil {
				return 0
			}
			return float64(v.Config.Version)
		}),
		gauge("servers", "Servers that are known.", func(v *View) float64 { return float64(len(v.Servers)) }),
		gauge("servers_out_of_use", "Servers that are known and get no requests.", func(v *View) float64 { return float64(v.outOfUse()) }),
		gauge("vms", "Entry VMs that are known.", func(v *View) float64 { return float64(len(v.VMs)) }),
	}
}

// outOfUse counts the servers that get no requests.
func (v *View) outOfUse() int {
	count := 0
	for _, s := range v.Servers {
		if v.unused(s) {
			count++
		}
	}
	return count
}
