package sitestate

import "maps"

// byService lists the replicas that may take requests, by service and id.
func (v *View) byService() map[string]ReplicaList {
	grouped := map[string][]Replica{}
	for _, replica := range v.Replicas.All() {
		if v.Takes(&replica) {
			grouped[replica.Service] = append(grouped[replica.Service], replica)
		}
	}
	lists := make(map[string]ReplicaList, len(grouped))
	for service, replicas := range grouped {
		lists[service] = ListOf(replicas...)
	}
	return lists
}

// regroup gives the lists after an update that changed the replicas before into those of the
// view. Only lists with a change are made anew.
func (v *View) regroup(before ReplicaSet, update Update) map[string]ReplicaList {
	lists := regrouped{lists: v.ByService, edits: map[string]*listEdit{}}
	for _, id := range update.Gone {
		lists.change(id, before, v)
	}
	for _, replica := range update.Replicas {
		lists.change(replica.ID, before, v)
	}
	return lists.done()
}

// regrouped are lists of which some are being changed.
type regrouped struct {
	lists map[string]ReplicaList
	edits map[string]*listEdit
}

// change moves one replica to where it belongs.
func (r *regrouped) change(id string, before ReplicaSet, after *View) {
	old, was := before.Get(id)
	now, is := after.Replicas.Get(id)
	is = is && after.Takes(&now)
	if was && (!is || old.Service != now.Service) {
		r.edit(old.Service).remove(id)
	}
	if is {
		r.edit(now.Service).put(now)
	}
}

func (r *regrouped) edit(service string) *listEdit {
	edit := r.edits[service]
	if edit == nil {
		edit = r.lists[service].edit()
		r.edits[service] = edit
	}
	return edit
}

func (r *regrouped) done() map[string]ReplicaList {
	lists := maps.Clone(r.lists)
	for service, edit := range r.edits {
		if lists[service] = edit.done(); edit.count == 0 {
			delete(lists, service)
		}
	}
	return lists
}
