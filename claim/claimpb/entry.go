package claimpb

// EntryKind is the generated interface of the oneof field kind of Entry.
type EntryKind = isEntry_Kind

// NewEntry returns an entry of the given kind.
func NewEntry(key []byte, nonce [16]byte, kind EntryKind) *Entry {
	return &Entry{Key: key, Nonce: nonce[:], Kind: kind}
}
