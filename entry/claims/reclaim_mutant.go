//go:build mutant

package claims

// reclaimUnreachable breaks the claim protocol on purpose, to show that TestNoKeyRunsTwice detects the fault.
const reclaimUnreachable = true
