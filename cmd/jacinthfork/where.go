package main

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/integrii/flaggy"
	"jacinthfork.example/jacinthfork/gateway"
	"jacinthfork.example/jacinthfork/internal/httpcheck"
	"jacinthfork.example/jacinthfork/platform"
)

// maxAnswerBytes limits the size of one gateway's answer, which names a bounded number of instances.
const maxAnswerBytes = 1 << 20

// whereCommand implements "jacinthfork where".
type whereCommand struct {
	gateways     []string
	request      string
	route        string
	host         string
	path         string
	key          string
	organisation string
	priority     int
	requestID    string
	parts        string
	tokens       int
	timeLimit    time.Duration
	timeout      time.Duration
	json         bool
	stdin        io.Reader
}

// priorityUnset is the default of --priority.
const priorityUnset = -1

func newWhereCommand() *whereCommand {
	return &whereCommand{priority: priorityUnset, timeout: 5 * time.Second, stdin: os.Stdin}
}

func (c *whereCommand) attach(parser *flaggy.Parser) *flaggy.Subcommand {
	command := flaggy.NewSubcommand("where")
	command.Description = "Ask gateways where a request would go now, and why. Nothing is sent to an instance."
	command.StringSlice(&c.gateways, "g", "gateway", "operators' address HOST:PORT of a gateway; may be repeated")
	command.String(&c.request, "f", "request", "file with the text of the request; - is standard input. Other flags override it")
	command.String(&c.route, "r", "route", "name of the route")
	command.String(&c.host, "H", "host", "host of the request, without --route")
	command.String(&c.path, "p", "path", "path of the request, without --route")
	command.String(&c.key, "k", "key", "API key of the caller; others can read it in the list of processes, so --organisation or --request is better")
	command.String(&c.organisation, "o", "organisation", "name of the organisation, without a key")
	command.Int(&c.priority, "P", "priority", "priority of the request instead of that of its route or organisation, 0 is the most urgent")
	command.String(&c.requestID, "i", "request-id", "ID of the request, which selects one of several pools if the prompt has no shared parts")
	command.String(&c.parts, "a", "parts", "parts of the prompt in order, ID:TOKENS,ID:TOKENS")
	command.Int(&c.tokens, "t", "tokens", "length of the prompt in tokens; without it the sum of the parts")
	command.Duration(&c.timeLimit, "d", "time-limit", "how long the caller waits")
	command.Duration(&c.timeout, "w", "timeout", "how long to wait for each gateway")
	command.Bool(&c.json, "j", "json", "print a JSON list")
	parser.AttachSubcommand(command, 1)
	return command
}

// whereResult is the answer of one gateway, or why there is none.
type whereResult struct {
	Gateway string               `json:"gateway"`
	Error   string               `json:"fault,omitempty"`
	Answer  *gateway.WhereAnswer `json:"answer,omitempty"`
}

func (c *whereCommand) run(ctx context.Context, out output) error {
	if len(c.gateways) == 0 {
		return usageError(errors.New("--gateway is required"))
	}
	question, err := c.question()
	if err != nil {
		return usageError(err)
	}
	body, err := json.Marshal(question)
	if err != nil {
		return err
	}
	results := c.askAll(ctx, body)
	failed := 0
	for _, r := range results {
		if r.Error != "" {
			failed++
		}
	}
	if c.json {
		if err := printJSON(out.stdout, results); err != nil {
			return err
		}
	} else {
		for _, r := range results {
			r.print(out)
		}
	}
	if failed > 0 {
		return fmt.Errorf("%d of %d gateways gave no answer", failed, len(results))
	}
	return nil
}

// question returns the question that the flags and the text of the request ask.
func (c *whereCommand) question() (q gateway.WhereQuestion, err error) {
	if c.request != "" {
		if q, err = c.readRequest(); err != nil {
			return q, err
		}
	}
	if c.parts != "" {
		if q.Parts, err = platform.ParseParts(c.parts); err != nil {
			return q, fmt.Errorf("--parts: %w", err)
		}
		q.Tokens = 0
	}
	if c.priority != priorityUnset {
		q.Priority = &c.priority
	}
	q.Route, q.Host, q.Path = cmp.Or(c.route, q.Route), cmp.Or(c.host, q.Host), cmp.Or(c.path, q.Path)
	q.Organisation, q.RequestID = c.organisation, cmp.Or(c.requestID, q.RequestID)
	q.Key, q.Tokens = cmp.Or(c.key, q.Key), cmp.Or(c.tokens, q.Tokens)
	if q.Organisation != "" {
		// The name is enough, and the key need not leave this machine.
		q.Key = ""
	}
	q.TimeoutMillis = cmp.Or(c.timeLimit.Milliseconds(), q.TimeoutMillis)
	if q.Route == "" && (q.Host == "" || q.Path == "") {
		return q, errors.New("--route, --host and --path, or --request is required")
	}
	return q, nil
}

func (c *whereCommand) readRequest() (gateway.WhereQuestion, error) {
	if c.request == "-" {
		return platform.ParseQuestion(c.stdin)
	}
	file, err := os.Open(c.request)
	if err != nil {
		return gateway.WhereQuestion{}, err
	}
	defer file.Close()
	return platform.ParseQuestion(file)
}

// askAll asks all gateways and returns their answers in the order of the flags.
func (c *whereCommand) askAll(ctx context.Context, question []byte) []whereResult {
	results := make([]whereResult, len(c.gateways))
	semaphore := make(chan struct{}, maxConcurrentRequests)
	var wg sync.WaitGroup
	for i, address := range c.gateways {
		wg.Go(func() {
			semaphore <- struct{}{}
			defer func() { <-semaphore }()
			results[i].Gateway = address
			answer, err := c.ask(ctx, address, question)
			if err != nil {
				results[i].Error = err.Error()
				return
			}
			results[i].Answer = answer
		})
	}
	wg.Wait()
	return results
}

// ask asks one gateway. The question may hold a key, so that it goes through no proxy and follows no redirect.
func (c *whereCommand) ask(ctx context.Context, address string, question []byte) (*gateway.WhereAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, platform.WhereURL(address), bytes.NewReader(question))
	if err != nil {
		return nil, fmt.Errorf("invalid address: %w", err)
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := httpcheck.Transport(&http.Transport{DisableKeepAlives: true}).RoundTrip(request)
	if err != nil {
		return nil, fmt.Errorf("gateway away: %w", err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return nil, fmt.Errorf("gateway away: %w", err)
	}
	if response.StatusCode == http.StatusOK {
		answer := new(gateway.WhereAnswer)
		if err := json.Unmarshal(body, answer); err != nil || answer.Outcome == "" {
			return nil, errors.New("not allowed: the address does not belong to the operators' port of a gateway")
		}
		return answer, nil
	}
	var refused gateway.WhereError
	switch err := json.Unmarshal(body, &refused); {
	case err != nil || refused.Reason == "" || refused.Detail == "":
		return nil, fmt.Errorf("not allowed: the address answers %q; questions are answered on the operators' port", response.Status)
	case response.StatusCode == http.StatusUnauthorized:
		return nil, fmt.Errorf("not allowed: %s", refused.Detail)
	}
	return nil, &refused
}

// ruleTexts explain the rules by which an instance is chosen.
var ruleTexts = map[string]string{
	"least-loaded":    "fewest requests per slot",
	"all-full":        "fewest requests per slot, because all are at the load bound or have no free slot",
	"cached":          "has cached at least half of the prompt, at the lowest cost",
	"first-of-order":  "first of the order of the prompt",
	"second-of-order": "second of the order of the prompt, because the first costs much more",
	"cheaper":         "least loaded, by more than the whole prompt",
}

// print writes the answer of one gateway as text.
func (r *whereResult) print(out output) {
	if r.Error != "" {
		out.warn("%s: %s", r.Gateway, r.Error)
		return
	}
	a, w := r.Answer, out.stdout
	fmt.Fprintf(w, "%s (%s): %s\n", cmp.Or(a.Node, r.Gateway), r.Gateway, outcomeText(a))
	fmt.Fprintf(w, "  route %s, pool %s (selected by the %s), organisation %s, priority %d\n",
		a.Route, cmp.Or(a.Pool, "none"), strings.ReplaceAll(a.PoolBy, "-", " "), cmp.Or(a.Organisation, "none"), a.Priority)
	if a.Suspect != "" {
		fmt.Fprintf(w, "  suspected of crashes: %s; sent to find out whether it is sound: %v\n", a.Suspect, a.Trial)
	}
	for _, i := range a.Full {
		fmt.Fprintf(w, "  full    %s\n", instanceText(&i))
	}
	if a.Instance != nil {
		fmt.Fprintf(w, "  chosen  %s\n", instanceText(a.Instance))
	}
	for _, i := range a.Next {
		fmt.Fprintf(w, "  next    %s\n", instanceText(&i))
	}
	if a.LeftOutCount > 0 {
		var left []string
		for _, l := range a.LeftOut {
			left = append(left, l.Instance+" ("+l.Reason+")")
		}
		fmt.Fprintf(w, "  left out %d: %s\n", a.LeftOutCount, strings.Join(left, ", "))
	}
	fmt.Fprintf(w, "  pool: %d of %d instances usable, %d slots, %d requests of this gateway and %d of others\n",
		a.Load.Usable, a.Load.Members, a.Load.Slots, a.Load.Own, a.Load.Peers)
	fmt.Fprintf(w, "  known: configuration %d %s, instances %s, totals of %d gateways %s\n", a.Data.ConfigurationVersion,
		ageText(a.Data.ConfigurationAgeMillis), ageText(a.Data.InstancesAgeMillis), a.Data.Gateways, ageText(a.Data.TotalsAgeMillis))
}

func outcomeText(a *gateway.WhereAnswer) string {
	var text string
	switch {
	case a.Outcome == gateway.OutcomeRefuse && a.Refusal != nil:
		return fmt.Sprintf("refused with %d, %s: %s; retry after %d ms", a.Refusal.Status, a.Refusal.Reason, a.Refusal.Detail, a.Refusal.RetryAfterMillis)
	case a.Outcome == gateway.OutcomeWait:
		text = "waits"
		if a.WaitMillis > 0 {
			text += fmt.Sprintf(" about %d ms", a.WaitMillis)
		}
		text += fmt.Sprintf(", at most %d ms", a.LongestWaitMillis)
	default:
		text = "runs"
	}
	if a.Instance != nil {
		text += " at " + a.Instance.Instance
		if a.Provisional {
			text += ", if its keeper " + a.Instance.Keeper + " grants the place, which was not asked"
		}
	}
	if a.OverloadRefused > 0 {
		text += fmt.Sprintf("; unless it is among the %.0f in 100 new requests that are refused for want of processor time", 100*a.OverloadRefused)
	}
	return text
}

// instanceText describes an instance in one line.
func instanceText(i *gateway.WhereInstance) string {
	parts := []string{cmp.Or(ruleTexts[i.Rule], i.Rule)}
	if len(i.TiedWith) > 0 {
		parts[0] += "; chosen at random among it and " + strings.Join(i.TiedWith, ", ")
	}
	keeper := "this gateway counts"
	if i.Keeper != "" {
		keeper = i.Keeper + " counts, known " + ageText(i.LoadAgeMillis)
	}
	parts = append(parts, fmt.Sprintf("load %.1f of %d (mean %.1f, bound %.1f; %s)", i.Load, i.Limit, i.Mean, i.Bound, keeper))
	if i.CachedTokens > 0 || i.FetchFrom != "" {
		parts = append(parts, fmt.Sprintf("%d tokens cached (known by the requests of %s)", i.CachedTokens, strings.ReplaceAll(i.CachedKnown, "-", " ")))
	}
	if i.FetchFrom != "" {
		parts = append(parts, "rest copied from "+i.FetchFrom+" if it has it")
	}
	if i.Limited {
		parts = append(parts, fmt.Sprintf("limit %d of %d slots, pace %.0f%% %s", i.Limit, i.Slots, i.Pace, ageText(i.PaceAgeMillis)))
	}
	for _, flag := range []struct {
		set  bool
		text string
	}{
		{i.RefusedLately, "has just refused a place"},
		{i.EjectedMillis > 0, fmt.Sprintf("ejected for %d ms", i.EjectedMillis)},
		{i.EjectedByKeeperMillis > 0, fmt.Sprintf("ejected by its keeper for %d ms", i.EjectedByKeeperMillis)},
		{i.Unreachable, "unreachable"}, {i.Probing, "probed with one request"}, {i.Stalled, "stalled"},
		{i.Lapsed, "entry lapsed"}, {i.ColdMillis > 0, fmt.Sprintf("cold for %d ms", i.ColdMillis)}, {i.CrashSuspected, "suspected to have crashed"},
	} {
		if flag.set {
			parts = append(parts, flag.text)
		}
	}
	return fmt.Sprintf("%s (%s, %s): %s", i.Instance, i.Domain, i.Class, strings.Join(parts, "; "))
}

func ageText(millis int64) string {
	if millis < 0 {
		return "never"
	}
	return fmt.Sprintf("%d ms ago", millis)
}
