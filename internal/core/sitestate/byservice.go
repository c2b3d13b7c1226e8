package sitestate

import (
	"maps"
	"slices"
	"strings"
)

// byService lists the replicas that may take requests, by service and id.
func (v *View) byService() map[string][]Replica {
	grouped := map[string][]Replica{}
	for _, replica := range v.Replicas {
		if v.Takes(&replica) {
			grouped[replica.Service] = append(grouped[replica.Service], replica)
		}
	}
	for _, list := range grouped {
		slices.SortFunc(list, func(a, b Replica) int { return strings.Compare(a.ID, b.ID) })
	}
	return grouped
}

// regroup gives the lists after an update that changed the replicas before into those of the
// view. Only lists with a change are made anew.
func (v *View) regroup(before map[string]Replica, update Update) map[string][]Replica {
	lists := regrouped{lists: maps.Clone(v.ByService), own: map[string]bool{}}
	for _, id := range update.Gone {
		lists.change(id, before, v)
	}
	for _, replica := range update.Replicas {
		lists.change(replica.ID, before, v)
	}
	return lists.lists
}

// regrouped are lists of which some are still shared with an older view.
type regrouped struct {
	lists map[string][]Replica
	own   map[string]bool
}

// change moves one replica to where it belongs.
func (r *regrouped) change(id string, before map[string]Replica, after *View) {
	old, was := before[id]
	now, is := after.Replicas[id]
	is = is && after.Takes(&now)
	if was && (!is || old.Service != now.Service) {
		r.remove(old.Service, id)
	}
	if is {
		r.put(now)
	}
}

func (r *regrouped) remove(service, id string) {
	if at, found := find(r.lists[service], id); found {
		r.lists[service] = slices.Delete(r.list(service), at, at+1)
		if len(r.lists[service]) == 0 {
			delete(r.lists, service)
		}
	}
}

func (r *regrouped) put(replica Replica) {
	list := r.list(replica.Service)
	at, found := find(list, replica.ID)
	if found {
		list[at] = replica
		return
	}
	r.lists[replica.Service] = slices.Insert(list, at, replica)
}

// list gives a service's list, which may be changed.
func (r *regrouped) list(service string) []Replica {
	if !r.own[service] {
		r.own[service] = true
		r.lists[service] = slices.Clone(r.lists[service])
	}
	return r.lists[service]
}

func find(list []Replica, id string) (int, bool) {
	return slices.BinarySearchFunc(list, id, func(replica Replica, wanted string) int { return strings.Compare(replica.ID, wanted) })
}
