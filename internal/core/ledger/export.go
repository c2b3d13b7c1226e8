package ledger

// Export is the ledger's contents in a form that can be encoded.
type Export struct {
	Pools []*poolLedger `cbor:"1,keyasint,omitempty"`
}

// Export gives the contents for encoding at once; it shares memory with the
// ledger.
func (l *Ledger) Export() Export { return Export{Pools: l.pools} }

// Import replaces the contents by those of a decoded Export.
func (l *Ledger) Import(export Export) { l.pools = export.Pools }
