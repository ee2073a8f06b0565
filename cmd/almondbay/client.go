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

// reader is the part that commands share which print what they read.
type reader struct {
	session *session

	JSON bool `long:"json" description:"Print JSON"`
}

// show prints JSON or text, as the operator chose.
func (r *reader) show(wire any, text func() string) error {
	if !r.JSON {
		printLine(r.session.out, strings.TrimRight(text(), "\n"))
		return nil
	}
	body, err := json.MarshalIndent(wire, "", "  ")
	if err != nil {
		return err
	}
	printLine(r.session.out, string(body))
	return nil
}

// serverOptions tell how to reach the admin API.
type serverOptions struct {
	Servers   []string      `long:"server" default:"http://127.0.0.1:8081" description:"Base URL of a node's admin API; may be given several times"`
	Key       string        `long:"key" env:"ALMONDBAY_OPERATOR_KEY" default-mask:"-" description:"Operator's key; better given in the environment variable"`
	Authority string        `long:"authority" description:"File with the certificates that the nodes are checked against"`
	Timeout   time.Duration `long:"timeout" default:"30s" description:"Time that the command may take"`
}

// connect returns a client and a context that ends with the timeout.
func (o *serverOptions) connect(s *session) (context.Context, context.CancelFunc, *operatorclient.Client, error) {
	trust, err := certificate.ClientConfig(o.Authority)
	if err != nil {
		return nil, nil, nil, err
	}
	ctx, cancel := context.WithTimeout(s.ctx, o.Timeout)
	client := operatorclient.New(operatorclient.Config{
		Servers: o.Servers,
		Key:     keys.NewSecret(o.Key),
		HTTP:    &http.Client{Transport: &http.Transport{TLSClientConfig: trust}},
	})
	return ctx, cancel, client, nil
}

// environmentOptions name an environment.
type environmentOptions struct {
	Environment string `long:"environment" short:"e" description:"Environment; that of the node by default"`
}

// name returns the environment, asking the node when none was given.
func (o *environmentOptions) name(ctx context.Context, c *operatorclient.Client) (string, error) {
	if o.Environment != "" {
		return o.Environment, nil
	}
	s, err := c.Status(ctx)
	return s.Environment, err
}

// changer is the part that commands share which make a new revision.
type changer struct {
	reader
	serverOptions
	environmentOptions

	Operation string  `long:"operation" description:"ID of the command, to repeat one whose outcome is not known"`
	Parent    *uint64 `long:"parent" description:"Revision that you saw; the one in force by default"`
}

// operation returns the ID of the command.
func (c *changer) operation() string {
	if c.Operation == "" {
		c.Operation = uuid.NewString()
	}
	return c.Operation
}

// seen returns the revision that the operator saw.
func (c *changer) seen(ctx context.Context, client *operatorclient.Client, environment string) (uint64, error) {
	if c.Parent != nil {
		return *c.Parent, nil
	}
	entry, _, err := client.Document(ctx, environment, 0)
	return entry.Revision, err
}

// unknownOutcomeError tells how to find out what became of a command.
type unknownOutcomeError struct {
	cause  error
	advice string
}

func (e *unknownOutcomeError) Error() string {
	return e.cause.Error() + "\n" + e.advice
}

func (e *unknownOutcomeError) Unwrap() error { return e.cause }

// outcome adds advice to the error of a command whose outcome is not known.
func (c *changer) outcome(err error, environment string, parent uint64) error {
	var unknown *operatorclient.UnknownOutcomeError
	if !errors.As(err, &unknown) {
		return err
	}
	return &unknownOutcomeError{cause: err, advice: fmt.Sprintf(
		"Repeat the command with --environment %s --operation %s --parent %d: it is accepted once at most.\n"+
			"Or look for the operation in: almondbay history --environment %s",
		environment, c.Operation, parent, environment)}
}
