package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"os"

	"almondbay.example/serving/operator"
)

type applyCommand struct {
	Server string `long:"server" default:"http://127.0.0.1:8081" description:"Base URL of a node's admin API"`
	Key    string `long:"key" env:"ALMONDBAY_OPERATOR_KEY" description:"Operator key"`
	Args   struct {
		Document string `positional-arg-name:"DOCUMENT" required:"true"`
	} `positional-args:"true"`
}

// Execute implements flags.Commander.
func (c *applyCommand) Execute([]string) error {
	body, err := os.ReadFile(c.Args.Document)
	if err != nil {
		return err
	}
	request, err := http.NewRequest(http.MethodPut, c.Server+operator.PathDocument, bytes.NewReader(body))
	if err != nil {
		return err
	}
	request.Header.Set("Authorization", "Bearer "+c.Key)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()

	answer, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("not accepted: %s: %s", response.Status, answer)
	}
	fmt.Println(string(answer))
	return nil
}
