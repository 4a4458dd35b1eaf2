// Package sample embeds the configuration documents of two example deployments.
// The demo command and tests use them.
//
// # Usage
//
//	doc := sample.Nordurljos
package sample

import _ "embed"

// Nordurljos is the configuration of a registration system for summer camps.
//
//go:embed nordurljos/mesh.jsonc
var Nordurljos []byte

// Association is the configuration of a document system for the year-end close of
// accounting firms.
//
//go:embed association/mesh.jsonc
var Association []byte
