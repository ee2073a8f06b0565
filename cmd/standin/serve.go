package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"syscall"
	"time"

	"github.com/oklog/run"

	"almondbay.example/core/fleet"
	"almondbay.example/serving/bounded"
	"almondbay.example/serving/platform/platformwire"
	"almondbay.example/standin/platformstandin"
)

// readHeaderTimeout bounds the time that a client takes to send the header of a
// request.
const readHeaderTimeout = 10 * time.Second

// registerTimeout bounds the registration of a VM.
const registerTimeout = 10 * time.Second

// vmOptions are the flags of a stand-in that runs on a VM listed by the platform.
type vmOptions struct {
	ID            string `long:"id" required:"true" description:"ID of the VM"`
	Listen        string `long:"listen" default:"127.0.0.1:0" description:"Address to listen on"`
	Platform      string `long:"platform" required:"true" description:"Base URL of the platform"`
	FailureDomain string `long:"failure-domain" default:"a" description:"Failure domain of the VM"`
	FabricDomain  string `long:"fabric-domain" description:"Fabric domain of the VM"`
}

// serve listens on address, calls onListen with the actual address, and serves
// until SIGINT or SIGTERM.
func serve(address string, handler http.Handler, onListen func(net.Addr) error) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	if err := onListen(l.Addr()); err != nil {
		return err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
	var g run.Group
	g.Add(func() error { return server.Serve(l) }, func(error) { _ = server.Close() })
	g.Add(run.SignalHandler(context.Background(), os.Interrupt, syscall.SIGTERM))
	err = g.Run()
	var signalErr run.SignalError
	if errors.As(err, &signalErr) {
		return nil
	}
	return err
}

// register adds a VM to the platform's list and prints its address, which scripts
// and tests wait for.
func register(o vmOptions, vm fleet.VM, address net.Addr) error {
	vm.ID = o.ID
	vm.Address = address.String()
	vm.FailureDomain = o.FailureDomain
	vm.FabricDomain = o.FabricDomain
	vm.State = fleet.VMLive
	body, err := json.Marshal(platformwire.FromVM(vm))
	if err != nil {
		return err
	}
	request, err := http.NewRequest(http.MethodPut, o.Platform+platformstandin.PathControlVM, bytes.NewReader(body))
	if err != nil {
		return err
	}
	request.Header.Set("Content-Type", "application/json")
	client := &http.Client{
		Timeout:       registerTimeout,
		Transport:     bounded.NewTransport(nil),
		CheckRedirect: bounded.RefuseRedirects,
	}
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()

	if response.StatusCode != http.StatusNoContent {
		return fmt.Errorf("platform answered the registration of the VM with status %d", response.StatusCode)
	}
	fmt.Println(vm.Address)
	return nil
}
