// Package standin holds small stand-ins of the systems that almondbay meets:
// the platform, model engines and plain services.
package standin
