package eelctl

import (
	"fmt"
	"io"
	"math"
	"os"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	pb "eelgrasshollow/gen/eelgrass/v1"
	"eelgrasshollow/internal/errkind"

	"github.com/spf13/cobra"
)

// routeExplainCommand returns the command that shows where entry VMs would send a request now.
func (a *app) routeExplainCommand() *cobra.Command {
	r := &pb.ExplainRouteRequest{}
	var keyFile, promptFile, requestFile, parts string
	cmd := newCommand("explain", "Show where a request would go now and why, without sending it", 0, func(cmd *cobra.Command, _ []string) error {
		var err error
		if keyFile != "" {
			if r.Key, err = readToken(keyFile); err != nil {
				return err
			}
		}
		prompt, err := readInput(cmd.InOrStdin(), promptFile)
		if err != nil {
			return err
		}
		r.Prompt = string(prompt)
		if r.Body, err = readInput(cmd.InOrStdin(), requestFile); err != nil {
			return err
		}
		if r.Parts, err = parseParts(parts); err != nil {
			return err
		}
		if err := checkExplain(r, promptFile != "" && requestFile != ""); err != nil {
			return err
		}
		return a.explainRoute(cmd, r)
	})
	cmd.Long = "Ask entry VMs where they would send a request now and why. Nothing is sent to an endpoint, no tokens are taken and no\n" +
		"state changes. The request is described by a client account or key; a route, a model or a path; and a prompt or an example\n" +
		"request. See eelctl explain for requests that were sent."
	f := cmd.Flags()
	f.StringVar(&r.ClientAccount, "account", "", "client account that sends the request")
	f.StringVar(&keyFile, "key-file", "", "file with a key of the client account, in place of --account; the key is checked, too")
	f.StringVar(&r.Route, "route", "", "name of a route")
	f.StringVar(&r.Model, "model", "", "model; for the OpenAI interface in place of --route")
	f.StringVar(&r.Host, "host", "", "host of the request, with --path in place of --route")
	f.StringVar(&r.Path, "path", "", "path of the request")
	f.StringVar(&r.Method, "method", "", "HTTP method (default POST)")
	f.StringVar(&promptFile, "prompt", "", "file with the text of the prompt; - for standard input")
	f.StringVar(&requestFile, "request", "", "file with the body of an example request; - for standard input")
	f.StringVar(&parts, "parts", "", "parts of a prompt as ID:TOKENS,...")
	f.Int64Var(&r.PromptTokens, "prompt-tokens", 0, "tokens of the whole prompt, with --parts; 0 for their sum")
	f.Int64Var(&r.MaxOutput, "max-output", 0, "highest number of output tokens; 0 for the default")
	f.StringSliceVar(&r.Vms, "vm", nil, "names of the entry VMs to ask; none means all")
	return cmd
}

// maxInputBytes bounds a prompt or example request.
const maxInputBytes = 16 << 20

// readInput reads a file, or standard input for "-". It returns nil for "".
func readInput(stdin io.Reader, path string) ([]byte, error) {
	if path == "" {
		return nil, nil
	}
	in := stdin
	if path != "-" {
		f, err := os.Open(path)
		if err != nil {
			return nil, errkind.Wrap(err, errkind.InvalidRequest, "open input")
		}
		defer func() { _ = f.Close() }() // the file is only read
		in = f
	}
	b, err := io.ReadAll(io.LimitReader(in, maxInputBytes+1))
	switch {
	case err != nil:
		return nil, errkind.Wrap(err, errkind.InvalidRequest, "read input")
	case len(b) > maxInputBytes:
		return nil, errkind.New(errkind.TooLarge, "%s is longer than %d bytes", path, maxInputBytes)
	case len(b) == 0:
		return nil, errkind.New(errkind.InvalidRequest, "%s is empty", path)
	}
	return b, nil
}

// parseParts parses the parts of a prompt, in the form of the platform's header.
func parseParts(text string) ([]*pb.PromptPart, error) {
	if text == "" {
		return nil, nil
	}
	var parts []*pb.PromptPart
	for _, part := range strings.Split(text, ",") {
		id, count, ok := strings.Cut(strings.TrimSpace(part), ":")
		tokens, err := strconv.ParseInt(count, 10, 32)
		if !ok || id == "" || err != nil || tokens < 0 {
			return nil, errkind.New(errkind.InvalidRequest, "--parts: %q is not ID:TOKENS", part)
		}
		parts = append(parts, &pb.PromptPart{Id: id, Tokens: tokens})
	}
	return parts, nil
}

// checkExplain returns an error for flags that exclude each other or lack.
func checkExplain(r *pb.ExplainRouteRequest, twoInputs bool) error {
	invalid := func(text string) error { return errkind.New(errkind.InvalidRequest, "%s", text) }
	switch {
	case r.ClientAccount != "" && r.Key != "":
		return invalid("use --account or --key-file, not both")
	case r.Route == "" && r.Model == "" && r.Path == "":
		return invalid("--route, --model or --path is required")
	case r.Route != "" && r.Host != "":
		return invalid("use --route or --host, not both")
	case r.Host != "" && r.Path == "":
		return invalid("--host requires --path")
	case twoInputs:
		return invalid("use --prompt or --request, not both")
	case r.Prompt != "" && len(r.Parts) > 0:
		return invalid("use --prompt or --parts, not both")
	case r.PromptTokens < 0 || r.PromptTokens > math.MaxInt32 || r.MaxOutput < 0 || r.MaxOutput > math.MaxInt32:
		return invalid("--prompt-tokens and --max-output must be positive 32-bit numbers")
	}
	return nil
}

func (a *app) explainRoute(cmd *cobra.Command, r *pb.ExplainRouteRequest) error {
	c, err := a.connect()
	if err != nil {
		return err
	}
	answer, err := call(cmd.Context(), c, r, operatorClient.ExplainRoute)
	if err != nil {
		return err
	}
	if err := a.print(answer, func(w io.Writer) { writeExplanations(w, answer, len(r.GetVms()) > 0) }); err != nil {
		return err
	}
	return allFailed(answer)
}

// allFailed returns the first error if no VM has answered.
func allFailed(r *pb.ExplainRouteResponse) error {
	for _, vm := range r.GetVms() {
		if vm.GetErrorCode() == "" {
			return nil
		}
	}
	if len(r.GetVms()) == 0 {
		return nil
	}
	kind, _ := errkind.FromCode(r.GetVms()[0].GetErrorCode())
	return errkind.New(kind, "no entry VM has answered: %s: %s", r.GetVms()[0].GetVm(), r.GetVms()[0].GetErrorText())
}

// writeExplanations writes a line for each VM, and the details of the first VM of each outcome, or of all VMs.
func writeExplanations(w io.Writer, r *pb.ExplainRouteResponse, all bool) {
	t := tabwriter.NewWriter(w, 0, 0, columnGap, ' ', 0)
	_, _ = fmt.Fprintln(t, "VM\tVERDICT\tENDPOINT\tWAIT\tFIRST TOKEN\tREASON")
	for _, vm := range r.GetVms() {
		if vm.GetErrorCode() != "" {
			_, _ = fmt.Fprintf(t, "%s\terror\t-\t-\t-\t%s\n", vm.GetVm(), vm.GetErrorText())
			continue
		}
		p := vm.GetPlacement()
		endpoint, wait, first := "-", "-", "-"
		if p.GetEndpoint() != "" && vm.GetVerdict() != "refuse" {
			endpoint, wait = p.GetEndpoint(), duration(p.GetWaitMs())
			if p.GetFirstTokenMs() > 0 {
				first = duration(p.GetFirstTokenMs())
			}
		}
		_, _ = fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%s\n", vm.GetVm(), vm.GetVerdict(), endpoint, wait, first, reasonOf(vm))
	}
	_ = t.Flush() // as for the other output, a failed write to standard output is not reported
	if len(r.GetOutcomes()) > 1 {
		_, _ = fmt.Fprintln(w, "\nThe VMs differ:")
		for _, o := range r.GetOutcomes() {
			_, _ = fmt.Fprintf(w, "  %s: %s\n", o.GetOutcome(), strings.Join(o.GetVms(), ", "))
		}
	}
	for _, vm := range r.GetVms() {
		first := slices.ContainsFunc(r.GetOutcomes(), func(o *pb.RouteOutcome) bool { return o.GetVms()[0] == vm.GetVm() })
		if vm.GetErrorCode() == "" && (all || first) {
			writeExplanation(w, vm)
		}
	}
}

// reasonOf returns why a VM would refuse a request or let it wait.
func reasonOf(vm *pb.VMExplanation) string {
	if vm.GetVerdict() != "refuse" {
		return vm.GetReason()
	}
	text := vm.GetKind() + ": " + vm.GetReason()
	if vm.GetRetryAfterMs() > 0 {
		text += fmt.Sprintf(" (retry after %s)", duration(vm.GetRetryAfterMs()))
	}
	return text
}

func duration(ms float64) string {
	return time.Duration(ms * float64(time.Millisecond)).Round(100 * time.Microsecond).String()
}

// writeExplanation writes the details of one VM.
func writeExplanation(w io.Writer, vm *pb.VMExplanation) {
	line := func(format string, args ...any) { _, _ = fmt.Fprintf(w, format+"\n", args...) }
	line("\n%s:", vm.GetVm())
	request := []string{"route " + orNone(vm.GetRoute()), "client account " + orNone(vm.GetClientAccount())}
	for _, field := range [][2]string{{"service", vm.GetService()}, {"model", vm.GetModel()}, {"weights", vm.GetWeightsVersion()}, {"release", vm.GetRelease()}} {
		if field[1] != "" {
			request = append(request, field[0]+" "+field[1])
		}
	}
	line("  request: %s, %d prompt tokens, at most %d output tokens", strings.Join(request, ", "), vm.GetPromptTokens(), vm.GetMaxOutput())
	age := "confirmed " + duration(vm.GetConfigAgeMs()) + " ago"
	if vm.GetConfigAgeMs() < 0 {
		age = "of unknown age"
	}
	line("  configuration: revision %d, %s", vm.GetRevision(), age)
	if g := vm.GetGrant(); g != nil {
		line("  grant: %d tokens needed, %d held by the VM: %s %s", g.GetTokens(), g.GetHeld(), g.GetVerdict(), g.GetReason())
	} else {
		line("  grant: none needed")
	}
	if p := vm.GetPlacement(); p != nil {
		writePlacement(w, p)
	}
	for _, note := range vm.GetNotes() {
		line("  note: %s", note)
	}
}

func orNone(s string) string {
	if s == "" {
		return "(none)"
	}
	return s
}

func writePlacement(w io.Writer, p *pb.PlacementExplanation) {
	line := func(format string, args ...any) { _, _ = fmt.Fprintf(w, format+"\n", args...) }
	state := "none"
	if p.GetQuarantined() {
		state = "at least one"
	}
	line("  quarantine: %s of %d traits", state, p.GetTraits())
	if p.GetCrowded() {
		line("  admission: the service is crowded, %d requests are held", p.GetHeld())
	}
	line("  other entry VMs: %d counted, digests of %d, the oldest from %s ago", max(p.GetVms()-1, 0), p.GetPeers(), duration(p.GetOldestDigestMs()))
	if p.GetImportFrom() != "" {
		line("  cached parts are copied from: %s", p.GetImportFrom())
	}
	if len(p.GetCandidates()) > 0 {
		line("")
		writeCandidates(w, p)
	}
	if len(p.GetDropped()) > 0 {
		line("\n  not compared:")
		for _, d := range p.GetDropped() {
			line("    %s: %s", d.GetEndpoint(), d.GetReason())
		}
	}
}

func writeCandidates(w io.Writer, p *pb.PlacementExplanation) {
	t := tabwriter.NewWriter(w, 0, 0, columnGap, ' ', 0)
	header := "  \tCANDIDATE\tDOMAIN\tTOTAL ms"
	for _, s := range p.GetCandidates()[0].GetScores() {
		header += "\t" + s.GetName()
	}
	_, _ = fmt.Fprintln(t, header+"\tCACHED\tUNCACHED\tIN FLIGHT\tOTHERS\tQUEUED\tPLACES\tPERMIT\tLOAD REPORT")
	for _, c := range p.GetCandidates() {
		mark := "  "
		if c.GetEndpoint() == p.GetEndpoint() {
			mark = "  >"
		}
		row := fmt.Sprintf("%s\t%s\t%s\t%.1f", mark, c.GetEndpoint(), orNone(c.GetFailureDomain()), c.GetTotalMs())
		for _, s := range c.GetScores() {
			row += fmt.Sprintf("\t%.1f", s.GetMs())
		}
		permit, load := "not needed", "none"
		switch {
		case c.GetPermitNeeded() && c.GetPermitHeld():
			permit = fmt.Sprintf("held, %.1f/s", c.GetPermitRate())
		case c.GetPermitNeeded():
			permit = fmt.Sprintf("in %s, %.1f/s", duration(c.GetPermitWaitMs()), c.GetPermitRate())
		case c.GetStarting():
			permit = "starting"
		}
		if c.GetLoadAgeMs() >= 0 {
			load = duration(c.GetLoadAgeMs()) + " ago"
		}
		_, _ = fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%s\t%s\n", row, c.GetCachedTokens(), c.GetUncachedTokens(), c.GetInFlight(), c.GetPeerInFlight(),
			c.GetQueued(), c.GetSlots(), permit, load)
	}
	_ = t.Flush() // as for the other output, a failed write to standard output is not reported
}
