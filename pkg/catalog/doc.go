// Package catalog holds the routes and services of a deployment as one numbered
// document. Operators always send the whole document.
//
// A Catalog is immutable after validation. A StateMachine applies the numbered
// documents of the replicated log: the document with the highest number is in
// force, and a document whose number is not higher is ignored. The log also holds
// operators' orders to evacuate and restore zones, which are applied in the order of
// the log.
package catalog
