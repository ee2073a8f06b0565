package main

import (
	"net"
	"testing"

	"almondbay.example/core/fleet"
	"almondbay.example/serving/bounded"
	"almondbay.example/serving/bounded/boundedtest"
)

func registerAt(platform string) error {
	return register(vmOptions{ID: "vm", Platform: platform}, fleet.VM{}, &net.TCPAddr{})
}

// TestHeadWithoutEnd guards against heads of up to 10 MB, the default of net/http.
func TestHeadWithoutEnd(t *testing.T) {
	for _, c := range boundedtest.HeadCases() {
		t.Run(c.Name, func(t *testing.T) {
			s := boundedtest.NewServer(t, c)
			boundedtest.RequireTooLarge(t, registerAt("http://"+s.Address), bounded.PartHead, s.Address)
			s.RequireClosed(t)
		})
	}
}

// TestBodyWithoutEnd guards against reading the body of a refused registration.
func TestBodyWithoutEnd(t *testing.T) {
	s := boundedtest.NewServer(t, boundedtest.Case{Start: boundedtest.HeadBody, Repeat: "x"})
	if err := registerAt("http://" + s.Address); err == nil {
		t.Error("a refused registration returned no error")
	}
	s.RequireClosed(t)
}
