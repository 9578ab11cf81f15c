// Package catalog holds the configuration of the services as one numbered
// document, for operators who always send the whole of it.
//
// A Catalog is immutable once it is checked. A Machine applies numbered
// documents of the replicated log: the highest number is in force, and a
// document whose number is not higher changes nothing.
package catalog
