// Command bambooyard-fakes runs stand-ins for the platform and for the workers
// and runners of a document. It is for test scripts and the quick start only.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/bambooyard/bambooyard/document"
	"github.com/bambooyard/bambooyard/internal/fake"
	"github.com/bambooyard/bambooyard/internal/platform"
)

type options struct {
	PlatformAddress string `long:"platform-address" default:"127.0.0.1:7300" description:"IP number and port of the stand-in platform"`
	Document        string `long:"document" description:"document whose VMs and targets are stood in for"`

	SiteAddress string        `long:"site-address" description:"IP number and port of the store of a stand-in site that speaks the platform's protocol; its workers use the ports after it"`
	SiteWorkers int           `long:"site-workers" default:"4" description:"number of workers of the stand-in site"`
	SiteWork    time.Duration `long:"site-work" default:"300ms" description:"how long each task runs on the stand-in site"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		var flagsErr *flags.Error
		if errors.As(err, &flagsErr) && flagsErr.Type == flags.ErrHelp {
			return
		}
		os.Exit(2)
	}
	if err := run(o); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(o options) error {
	if o.Document == "" && o.SiteAddress == "" {
		return errors.New("give --document, --site-address or both")
	}
	if o.Document != "" {
		if err := serveDocument(o); err != nil {
			return err
		}
	}
	if o.SiteAddress != "" {
		if err := (fake.Site{StoreAddress: o.SiteAddress, Workers: o.SiteWorkers, TaskDuration: o.SiteWork}).Serve(); err != nil {
			return err
		}
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	<-stop
	return nil
}

// serveDocument runs stand-ins for the platform's older interface and for the
// workers and runners that the document lists.
func serveDocument(o options) error {
	body, err := os.ReadFile(o.Document)
	if err != nil {
		return err
	}
	doc, err := document.Decode(body)
	if err != nil {
		return err
	}
	p := fake.NewPlatform()
	if err := fake.Listen(o.PlatformAddress, p.Handler()); err != nil {
		return err
	}
	for _, vm := range doc.Inventory.VMs {
		p.SetVM(vm.Name, platform.VMLive)
		if err := fake.Listen(vm.WorkerAddress, fake.NewWorker(vm.Capacity, time.Now).Handler()); err != nil {
			return err
		}
	}
	for _, service := range doc.Inventory.Services {
		for _, t := range service.Targets {
			if err := fake.Listen(t.Address, fake.NewRunner(t.VM)); err != nil {
				return err
			}
		}
	}
	return nil
}
