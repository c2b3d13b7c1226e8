package sitestate

import "maps"

// byService groups the replicas that accept requests by service, sorted by id.
func (v *View) byService() map[string]ReplicaList {
	grouped := map[string][]Replica{}
	for _, replica := range v.Replicas.All() {
		if v.Routable(&replica) {
			grouped[replica.Service] = append(grouped[replica.Service], replica)
		}
	}
	lists := make(map[string]ReplicaList, len(grouped))
	for service, replicas := range grouped {
		lists[service] = ListOf(replicas...)
	}
	return lists
}

// updateByService returns the lists after an update; before holds the replicas before it.
// Only lists that changed are rebuilt.
func (v *View) updateByService(before ReplicaSet, update Update) map[string]ReplicaList {
	lists := serviceEdit{lists: v.ByService, edits: map[string]*listEdit{}}
	for _, id := range update.Removed {
		lists.move(id, before, v)
	}
	for _, replica := range update.Replicas {
		lists.move(replica.ID, before, v)
	}
	return lists.finish()
}

// serviceEdit collects changes to the lists of some services.
type serviceEdit struct {
	lists map[string]ReplicaList
	edits map[string]*listEdit
}

// move moves a replica to the list it belongs to after the update.
func (r *serviceEdit) move(id string, before ReplicaSet, after *View) {
	old, was := before.Get(id)
	now, is := after.Replicas.Get(id)
	is = is && after.Routable(&now)
	if was && (!is || old.Service != now.Service) {
		r.edit(old.Service).remove(id)
	}
	if is {
		r.edit(now.Service).put(now)
	}
}

func (r *serviceEdit) edit(service string) *listEdit {
	edit := r.edits[service]
	if edit == nil {
		edit = r.lists[service].edit()
		r.edits[service] = edit
	}
	return edit
}

func (r *serviceEdit) finish() map[string]ReplicaList {
	lists := maps.Clone(r.lists)
	for service, edit := range r.edits {
		if lists[service] = edit.finish(); edit.count == 0 {
			delete(lists, service)
		}
	}
	return lists
}
