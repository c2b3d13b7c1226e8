package ledger

// Export is the ledger's state in a form that can be encoded.
type Export struct {
	Pools []*poolLedger `cbor:"1,keyasint,omitempty"`
}

// Export returns the state; it shares memory with the ledger and must be encoded before
// the ledger changes.
func (l *Ledger) Export() Export { return Export{Pools: l.pools} }

// Import replaces the state by a decoded Export.
func (l *Ledger) Import(export Export) { l.pools = export.Pools }
