package quarantine

// Index looks up suspects. It is immutable; a nil Index is empty.
type Index struct {
	heads    map[Head][]Suspect
	replicas map[string]bool
}

// NewIndex returns an Index, nil if there are no suspects.
func NewIndex(suspects []Suspect) *Index {
	if len(suspects) == 0 {
		return nil
	}
	index := &Index{heads: map[Head][]Suspect{}, replicas: map[string]bool{}}
	for _, suspect := range suspects {
		head := suspect.Fingerprint.Head
		index.heads[head] = append(index.heads[head], suspect)
		for _, replica := range suspect.Replicas {
			index.replicas[replica] = true
		}
	}
	return index
}

// Find returns the suspect that matches a request, or nil. It hashes the body only if the rest of
// the request matches a suspect.
func (i *Index) Find(request *Request) *Suspect {
	if i == nil {
		return nil
	}
	candidates := i.heads[request.Head()]
	if len(candidates) == 0 {
		return nil
	}
	fingerprint := request.Fingerprint()
	for at := range candidates {
		if candidates[at].Fingerprint == fingerprint {
			return &candidates[at]
		}
	}
	return nil
}

// Crashed reports whether a replica is presumed to have crashed during a suspect request.
func (i *Index) Crashed(replica string) bool { return i != nil && i.replicas[replica] }
