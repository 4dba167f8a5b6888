// Package bbledger decides who may spend what of prepaid budgets: the budget
// pages kept in the key-value service, the keepers that draw from them, the
// witnesses that bound what a lost keeper handed out, and the purses that
// requests reserve from. It is deterministic: events and the time come in,
// actions go out.
package bbledger
