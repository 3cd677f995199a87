//go:build !mutant

package claims

// claimsLapse would let a claim whose holder cannot be reached be replaced; it must be false. The build tag mutant sets
// it, to show that the randomised run notices.
const claimsLapse = false
