package quarantine

import "testing"

func TestFingerprintDistinguishesRequests(t *testing.T) {
	first := Request{Caller: "tenant-a", Method: "POST", Host: "a.example", Target: "/read/7?x=1", Body: []byte("body")}
	same := first
	if first.Fingerprint() != same.Fingerprint() {
		t.Fatal("equal requests have different fingerprints")
	}
	for name, change := range map[string]func(*Request){
		"another caller":                func(r *Request) { r.Caller = "tenant-b" },
		"another method":                func(r *Request) { r.Method = "PUT" },
		"another host":                  func(r *Request) { r.Host = "b.example" },
		"another query":                 func(r *Request) { r.Target = "/read/7?x=2" },
		"another body":                  func(r *Request) { r.Body = []byte("bodies") },
		"no body":                       func(r *Request) { r.Body = nil },
		"bytes moved between two parts": func(r *Request) { r.Caller, r.Method = "tenant-aP", "OST" },
	} {
		other := first
		change(&other)
		if other.Fingerprint() == first.Fingerprint() {
			t.Errorf("%s: equal fingerprint", name)
		}
		if sameHead := other.Head() == first.Head(); sameHead != (other.Target == first.Target && other.Caller == first.Caller && other.Method == first.Method && other.Host == first.Host) {
			t.Errorf("%s: equal head: %v", name, sameHead)
		}
	}
}
