//go:build !mutant

package claims

// reclaimUnreachable allows a claim to be replaced when its holder cannot be reached. It must be false, since that
// holder may still run the request. The build tag mutant sets it to show that TestNoKeyRunsTwice detects the fault.
const reclaimUnreachable = false
