package faultfs

import (
	"maps"
	"path/filepath"
	"slices"
)

// nameChange is a creation, renaming or removal of a file. It is durable once its folder is
// synced; until then a crash keeps or loses it independently of other changes.
type nameChange struct {
	// name is the file's name after the change, or its last name if the change removes it.
	name string
	node *node
	// from is the name before a renaming, empty for other changes.
	from    string
	removes bool
}

// apply makes the change in names. It has no effect if the file does not have the name that
// it had before the change, since an earlier change was lost.
func (c nameChange) apply(names map[string]*node) {
	switch {
	case c.removes:
		if names[c.name] == c.node {
			delete(names, c.name)
		}
	case c.from != "":
		if names[c.from] == c.node {
			delete(names, c.from)
			names[c.name] = c.node
		}
	default:
		names[c.name] = c.node
	}
}

// change makes a change that is not durable yet.
func (f *FileSystem) change(change nameChange) {
	change.apply(f.names)
	f.pending = append(f.pending, change)
}

// syncNames makes the changes of names in a folder durable, and the folders in it.
func (f *FileSystem) syncNames(directory string) {
	var others []nameChange
	for _, change := range f.pending {
		if filepath.Dir(change.name) == directory {
			change.apply(f.durable)
		} else {
			others = append(others, change)
		}
	}
	f.pending = others
	for name := range f.pendingFolders {
		if filepath.Dir(name) == directory {
			delete(f.pendingFolders, name)
		}
	}
}

// crashNames keeps the changes of names for which kept returns true, and loses the others.
// Lost folders take their files with them.
func (f *FileSystem) crashNames(kept func() bool) {
	names := maps.Clone(f.durable)
	for _, change := range f.pending {
		if kept() {
			change.apply(names)
		}
	}
	for _, folder := range slices.Sorted(maps.Keys(f.pendingFolders)) {
		if !kept() {
			f.loseFolder(names, folder)
		}
	}
	f.names, f.pending, f.pendingFolders = names, nil, map[string]bool{}
}

// loseFolder removes a folder with all that is in it.
func (f *FileSystem) loseFolder(names map[string]*node, folder string) {
	inside := func(name string) bool {
		for ; name != filepath.Dir(name); name = filepath.Dir(name) {
			if name == folder {
				return true
			}
		}
		return false
	}
	maps.DeleteFunc(names, func(name string, _ *node) bool { return inside(name) })
	maps.DeleteFunc(f.folders, func(name string, _ bool) bool { return inside(name) })
}
