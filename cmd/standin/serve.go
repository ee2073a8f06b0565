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
	"almondbay.example/serving/platform/platformwire"
	"almondbay.example/standin/platformstandin"
)

// readHeaderTimeout bounds the time that a client takes to send its head.
const readHeaderTimeout = 10 * time.Second

// placeOptions tell where a stand-in runs and how the platform lists it.
type placeOptions struct {
	ID            string `long:"id" required:"true" description:"ID of the VM"`
	Listen        string `long:"listen" default:"127.0.0.1:0" description:"Address to listen on"`
	Platform      string `long:"platform" required:"true" description:"Base URL of the platform"`
	FailureDomain string `long:"failure-domain" default:"a" description:"Failure domain of the VM"`
	FabricDomain  string `long:"fabric-domain" description:"Fabric domain of the VM"`
}

// serve listens on address, calls started with the address taken, and serves
// until the process is told to stop.
func serve(address string, handler http.Handler, started func(net.Addr) error) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	if err := started(l.Addr()); err != nil {
		return err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
	var g run.Group
	g.Add(func() error { return server.Serve(l) }, func(error) { _ = server.Close() })
	g.Add(run.SignalHandler(context.Background(), os.Interrupt, syscall.SIGTERM))
	err = g.Run()
	var stopped run.SignalError
	if errors.As(err, &stopped) {
		return nil
	}
	return err
}

// register lists a VM with the platform.
func register(o placeOptions, vm fleet.VM, address net.Addr) error {
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
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()

	if response.StatusCode != http.StatusNoContent {
		return fmt.Errorf("the platform answered with status %d", response.StatusCode)
	}
	fmt.Println(vm.Address)
	return nil
}
