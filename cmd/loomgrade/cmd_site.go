package main

// siteCommand runs the processes of a site.
type siteCommand struct {
	Front   siteFrontCommand   `cmd:"" help:"Run the process that callers reach."`
	Control siteControlCommand `cmd:"" help:"Run a control process, which operators and replicas reach."`
	Store   siteStoreCommand   `cmd:"" help:"Run the process of a store machine, which keeps and runs jobs."`
}

// siteSettings holds the argument of every site process command.
type siteSettings struct {
	Settings string `arg:"" optional:"" type:"path" env:"LOOMGRADE_CONFIG" help:"Settings file of the process."`
}
