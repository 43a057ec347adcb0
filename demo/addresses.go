package demo

import (
	"fmt"
	"io"
)

// PrintAddresses writes the addresses of all components and the inspection endpoints of the stand-ins.
func (f *Fleet) PrintAddresses(out io.Writer) {
	fmt.Fprintf(out, "log service      %s  (inspect: %s/inspect/)\n", f.Log.URL(), f.Log.URL())
	fmt.Fprintf(out, "instance list    %s  (inspect: %s/inspect/)\n", f.InstanceList.URL(), f.InstanceList.URL())
	for i, e := range f.Engines {
		fmt.Fprintf(out, "engine %-2d        %s  (inspect: %s/inspect/)\n", i+1, e.URL(), e.URL())
	}
	for i, s := range f.Services {
		fmt.Fprintf(out, "service %-2d       %s  (inspect: %s/inspect/)\n", i+1, s.URL(), s.URL())
	}
	for i, s := range f.Sidecars {
		fmt.Fprintf(out, "sidecar %-2d       %s  (operators: http://%s)\n", i+1, s.Address(), s.OperatorAddress())
	}
	for i, r := range f.Routers {
		fmt.Fprintf(out, "router %-2d        http://%s  (operators: http://%s)\n", i+1, r.Address(), r.OperatorAddress())
	}
}
