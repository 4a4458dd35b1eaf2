package main

import "fmt"

// Names in the configuration.
const (
	serviceName = "skraning"
	hostName    = "bokun.example"
	pathRead    = "/lookup/"
	pathBook    = "/book/"
	pathFetch   = "/fetch/"
	// fetchService runs the requests of pathFetch where a case has it.
	fetchService = "frames"
)

// configuration returns the operator's document, with the given accounts, which may be empty.
func configuration(version int, tenants string) []byte {
	rule := func(name, kind, prefix, service string, timeoutMs int) string {
		return fmt.Sprintf(`{"Name":%q,"Kind":%q,"TargetLatencyMs":800,"Priority":1,"Anonymous":false,"Match":{"Prefix":%q},"Action":{"Service":%q,"TimeoutMs":%d,"MaxAttempts":2}}`, name, kind, prefix, service, timeoutMs)
	}
	return fmt.Appendf(nil, `{"Version":"r%d","Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":1048576,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},%s"Listeners":[{"Host":%q,"Rules":[%s,%s,%s]}],"Clusters":[%s,%s]}`,
		version, tenants, hostName,
		rule("r-read", "read_only", pathRead, serviceName, 3000), rule("r-book", "non_idempotent", pathBook, serviceName, 3000),
		rule("r-fetch", "read_only", pathFetch, fetchService, 5000), cluster(serviceName), cluster(fetchService))
}

func cluster(name string) string {
	return fmt.Sprintf(`{"Name":%q,"HealthPath":"/healthz","MaxConns":110,"Protocol":"h1","Tls":false}`, name)
}
