// Package bbledger distributes prepaid budgets over instances without
// overspending them, whatever fails.
//
// Budgets are spread over pages. A page is one key of the store, the platform's
// key-value service, and is written by compare-and-swap. An Allocator draws tokens
// from a page under a holder id and grants parts of them, called slices, to
// instances, the grantees. Each grantee keeps its slices in a Wallet, with one
// Balance a budget that requests reserve from.
//
// Before an allocator grants anything, its witness, another instance of its
// failure domain, has acknowledged a mark: an upper bound of what the grantee
// may receive. An allocator that finds no witness goes on without and draws less.
// When the allocator's instance is lost, another allocator closes its holder:
// it freezes the witness, so that the marks are final, asks the grantees to
// surrender their slices and settles what was spent on the page. Tokens of a
// grantee that does not answer stay charged to the budget as stuck.
//
// When a budget runs out, an allocator recalls free tokens from its grantees
// for one that needs them, and a wallet may borrow: ask allocators of other
// failure domains.
//
// The package is deterministic: methods take events and the time, and return
// the actions to carry out.
package bbledger
