//go:build mutant

package claims

// claimsLapse breaks the claim on purpose, to show that the randomised run notices.
const claimsLapse = true
