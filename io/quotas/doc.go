// Package quotas keeps the requests of client accounts within their quotas: it runs
// the keeper and the holder of package tokens at a node, and carries their messages.
//
// The quotas are those of the configuration version in force. An account without one
// is admitted without a message.
//
// # Usage
//
//	q := quotas.New(quotas.Config{Self: id, Bounds: bounds, View: fleet.View, Quota: quotaOf, …})
//	go q.Run(ctx)
//	q.Join() // once the node has a version in force
//	permit, refusal := q.Admit(ctx, account, until)
//	if refusal != nil { … answer with *refusal … }
//	q.GiveBack(permit) // if the request has not run
package quotas
