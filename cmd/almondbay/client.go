package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/google/uuid"

	"almondbay.example/serving/certificate"
	"almondbay.example/serving/keys"
	"almondbay.example/serving/operator/operatorclient"
)

// outputOptions is embedded in the commands that print text or JSON.
type outputOptions struct {
	invocation *invocation

	JSON bool `long:"json" description:"Print JSON"`
}

// show prints wire as JSON if --json is set, and else the text.
func (o *outputOptions) show(wire any, text func() string) error {
	if !o.JSON {
		printLine(o.invocation.out, strings.TrimRight(text(), "\n"))
		return nil
	}
	body, err := json.MarshalIndent(wire, "", "  ")
	if err != nil {
		return err
	}
	printLine(o.invocation.out, string(body))
	return nil
}

// serverOptions are the flags for the connection to the admin API.
type serverOptions struct {
	Servers   []string      `long:"server" default:"http://127.0.0.1:8081" description:"Base URL of a node's admin API; may be given several times"`
	Key       string        `long:"key" env:"ALMONDBAY_OPERATOR_KEY" default-mask:"-" description:"Operator's key; better given in the environment variable"`
	Authority string        `long:"authority" description:"File with the certificates that the nodes are checked against"`
	Timeout   time.Duration `long:"timeout" default:"30s" description:"Time that the command may take"`
}

// connect returns a client of the admin API and a context with the timeout of
// the command.
func (o *serverOptions) connect(inv *invocation) (context.Context, context.CancelFunc, *operatorclient.Client, error) {
	trust, err := certificate.ClientConfig(o.Authority)
	if err != nil {
		return nil, nil, nil, err
	}
	ctx, cancel := context.WithTimeout(inv.ctx, o.Timeout)
	client := operatorclient.New(operatorclient.Config{
		Servers: o.Servers,
		Key:     keys.NewSecret(o.Key),
		HTTP: &http.Client{Transport: &http.Transport{
			TLSClientConfig: trust,
			// A command makes few calls, and its connections count at the node.
			DisableKeepAlives: true,
		}},
	})
	return ctx, cancel, client, nil
}

// environmentOptions is the flag that selects an environment.
type environmentOptions struct {
	Environment string `long:"environment" short:"e" description:"Environment; that of the node by default"`
}

// resolve returns the environment of the flag, or that of the node when the
// flag is absent.
func (o *environmentOptions) resolve(ctx context.Context, c *operatorclient.Client) (string, error) {
	if o.Environment != "" {
		return o.Environment, nil
	}
	s, err := c.Status(ctx)
	return s.Environment, err
}

// revisionCommand is embedded in the commands that create a revision.
type revisionCommand struct {
	outputOptions
	serverOptions
	environmentOptions

	Operation string  `long:"operation" description:"ID of the command, to repeat one whose outcome is not known"`
	Parent    *uint64 `long:"parent" description:"Revision that you saw; the one in force by default"`
}

// operationID returns the ID given by the operator, or else a new one, which it
// keeps for the advice on an unknown outcome.
func (c *revisionCommand) operationID() string {
	if c.Operation == "" {
		c.Operation = uuid.NewString()
	}
	return c.Operation
}

// expectedRevision returns the revision that the operator expects to be in
// force: that of the flag, or else the current one.
func (c *revisionCommand) expectedRevision(ctx context.Context, client *operatorclient.Client, environment string) (uint64, error) {
	if c.Parent != nil {
		return *c.Parent, nil
	}
	entry, _, err := client.Document(ctx, environment, 0)
	return entry.Revision, err
}

// unknownOutcomeError is the error of a command that may or may not have taken
// effect. The advice says how to find out.
type unknownOutcomeError struct {
	cause  error
	advice string
}

func (e *unknownOutcomeError) Error() string {
	return e.cause.Error() + "\n" + e.advice
}

func (e *unknownOutcomeError) Unwrap() error { return e.cause }

// withRetryAdvice adds advice to the error of a command whose outcome is unknown.
func (c *revisionCommand) withRetryAdvice(err error, environment string, parent uint64) error {
	var unknown *operatorclient.UnknownOutcomeError
	if !errors.As(err, &unknown) {
		return err
	}
	return &unknownOutcomeError{cause: err, advice: fmt.Sprintf(
		"Repeat the command with --environment %s --operation %s --parent %d: it is accepted at most once.\n"+
			"Or look for the operation in the output of: almondbay history --environment %s",
		environment, c.Operation, parent, environment)}
}
