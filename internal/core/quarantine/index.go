package quarantine

// Index finds suspects. It is immutable; a nil Index is empty.
type Index struct {
	heads    map[Head][]Suspect
	replicas map[string]bool
}

// NewIndex makes an Index, nil if there are no suspects.
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

// Find gives the suspect that a request is, or nil. A body is read only if the rest of the
// request is that of a suspect.
func (i *Index) Find(request *Request) *Suspect {
	if i == nil {
		return nil
	}
	alike := i.heads[request.Head()]
	if len(alike) == 0 {
		return nil
	}
	fingerprint := request.Fingerprint()
	for at := range alike {
		if alike[at].Fingerprint == fingerprint {
			return &alike[at]
		}
	}
	return nil
}

// Ended reports whether a replica is taken to have ended under a suspect.
func (i *Index) Ended(replica string) bool { return i != nil && i.replicas[replica] }
