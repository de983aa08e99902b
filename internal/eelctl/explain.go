package eelctl

import (
	"encoding/json"
	"fmt"
	"io"
	"os"

	"eelgrasshollow/internal/errkind"
	"eelgrasshollow/internal/explain"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"
)

// maxFailedPerKind bounds the requests of each kind of failure that --failed lists.
const maxFailedPerKind = 5

// explainCommand returns the command that explains a request from collected logs. It needs
// no server.
func (a *app) explainCommand() *cobra.Command {
	var failed, namespaces bool
	var namespace string
	cmd := &cobra.Command{
		Use:   "explain REQUEST-ID [LOG-FILE...]",
		Short: "Explain from the logs of all VMs what happened to a request and why",
		Long: "Explain from the logs of all VMs what happened to a request and why. The logs are JSON lines of the daemons, of any\n" +
			"number of VMs in one or more files, or standard input. A collector's time in seconds and the VM's name may\n" +
			"precede each line. With --failed, --namespaces or --namespace, every argument is a file, and failed requests, cache\n" +
			"namespaces or the requests of one are listed instead.",
		RunE: func(cmd *cobra.Command, args []string) error {
			inNamespace := cmd.Flags().Changed("namespace")
			if failed || namespaces || inNamespace {
				lines, err := a.logLines(cmd, args)
				switch {
				case err != nil:
					return err
				case failed:
					return a.printFailed(lines)
				case namespaces:
					return a.printNamespaces(lines)
				}
				return a.printInNamespace(lines, namespace)
			}
			if len(args) == 0 {
				return errkind.New(errkind.InvalidRequest, "explain requires a request ID")
			}
			lines, err := a.logLines(cmd, args[1:])
			if err != nil {
				return err
			}
			return a.explain(lines, args[0])
		},
	}
	cmd.Flags().BoolVar(&failed, "failed", false, fmt.Sprintf("list the last %d failed requests of each kind", maxFailedPerKind))
	cmd.Flags().BoolVar(&namespaces, "namespaces", false, "list the cache namespaces that requests of more than one client account had")
	cmd.Flags().StringVar(&namespace, "namespace", "", "list the requests whose last attempt had this cache namespace; an empty one is that of requests without any")
	cmd.MarkFlagsMutuallyExclusive("failed", "namespaces", "namespace")
	return cmd
}

func (a *app) explain(lines []explain.Line, id string) error {
	report, err := explain.Explain(lines, id)
	if err != nil {
		return err
	}
	if a.output == "json" {
		encoder := json.NewEncoder(a.out)
		encoder.SetIndent("", "  ")
		return errors.Wrap(encoder.Encode(report), "write report")
	}
	return report.Print(a.out)
}

func (a *app) printFailed(lines []explain.Line) error {
	for _, e := range explain.Failed(lines, maxFailedPerKind) {
		if _, err := fmt.Fprintf(a.out, "%s  %-16s  %s  %s: %s\n", e.Request, e.Text("kind"), e.Text("outcome"), e.VM, e.Text("error")); err != nil {
			return errors.Wrap(err, "write list of failed requests")
		}
	}
	return nil
}

// printNamespaces lists the cache namespaces that requests of more than one client account had, and those of a single
// request that more had.
func (a *app) printNamespaces(lines []explain.Line) error {
	for _, use := range explain.Namespaces(lines) {
		if !use.Shared() {
			continue
		}
		if _, err := fmt.Fprintln(a.out, use.String()); err != nil {
			return errors.Wrap(err, "write list of cache namespaces")
		}
	}
	return nil
}

// requestTimeLayout is the format of the times of listed requests, in UTC.
const requestTimeLayout = "2006-01-02T15:04:05.000Z"

// printInNamespace lists the requests with a cache namespace.
func (a *app) printInNamespace(lines []explain.Line, namespace string) error {
	for _, e := range explain.InNamespace(lines, namespace) {
		if _, err := fmt.Fprintf(a.out, "%s  %s  %s  account=%q server=%q weights=%q prefix=%q cached_tokens=%.0f %s\n", e.When.UTC().Format(requestTimeLayout),
			e.Request, e.VM, e.Text("client_account"), e.Text("server"), e.Text("weights"), e.Text("prefix"), e.Number("cached_tokens"), e.Text("outcome")); err != nil {
			return errors.Wrap(err, "write list of requests")
		}
	}
	return nil
}

// logLines reads the named files, or standard input if files is empty.
func (a *app) logLines(cmd *cobra.Command, files []string) ([]explain.Line, error) {
	read := func(r io.Reader, name string) ([]explain.Line, error) {
		lines, skipped, err := explain.Read(r)
		if err != nil {
			return nil, errkind.Wrap(err, errkind.InvalidRequest, "%s", name)
		}
		if skipped > 0 {
			_, _ = fmt.Fprintf(cmd.ErrOrStderr(), "eelctl: %s: %d lines are not structured and were skipped\n", name, skipped)
		}
		return lines, nil
	}
	if len(files) == 0 {
		return read(cmd.InOrStdin(), "standard input")
	}
	var all []explain.Line
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			return nil, errkind.Wrap(err, errkind.InvalidRequest, "open log")
		}
		lines, err := read(f, name)
		_ = f.Close() // the file was only read
		if err != nil {
			return nil, err
		}
		all = append(all, lines...)
	}
	return all, nil
}
