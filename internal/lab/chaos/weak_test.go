package chaos
import ("testing";"fmt")
func TestWeakScan(t *testing.T) {
	for _, w := range []Weakness{WeaknessSkipSync,WeaknessNoPreVote,WeaknessNoCheckQuorum,WeaknessNoDeduplication,WeaknessIgnoreFence,WeaknessObserversGoBack,WeaknessLocalReads,WeaknessSameID} {
		t.Run(string(w), func(t *testing.T){ t.Parallel()
		for _, name := range []string{"isolation","crashes","cuts","lossy","replace","together"} {
			s,_ := ScenarioNamed(name)
			found := map[string]int{}
			for seed := uint64(1); seed <= 6; seed++ {
				r := Run(Options{Scenario:s,Seed:seed,Weakness:w})
				seen := map[string]bool{}
				for _, v := range r.Violations { if !seen[v.Check] {found[v.Check]++}; seen[v.Check]=true }
			}
			fmt.Printf("%s %s %v\n", w, name, found)
		}})
	}
}
