// Package sample holds the example deployments, for the demonstration and for
// tests.
//
// # Usage
//
//	doc := sample.Nordurljos
package sample

import _ "embed"

// Nordurljos is the configuration of the camps' registration.
//
//go:embed nordurljos/mesh.jsonc
var Nordurljos []byte

// Association is the configuration of the accounting firms' year-end close.
//
//go:embed association/mesh.jsonc
var Association []byte
