package core

// View is the whole published state at one revision: what entry instances and
// companions need to know to serve. A view is immutable; traffic goroutines
// read it through one atomic pointer.
type View struct {
	Revision Revision
	// HashSeed keys the hash from flows to buckets. It never changes in the
	// life of a deployment.
	HashSeed       uint64
	DataCentres    []DataCentreState
	Services       []Service
	BackendServers []BackendServer
	// Tables holds one table for each service, in any order.
	Tables []Table
}

// DataCentreInService reports whether the view has the data centre in. A data centre
// that the view does not know is out.
func (v *View) DataCentreInService(name DataCentre) bool {
	for _, dc := range v.DataCentres {
		if dc.Name == name {
			return dc.In
		}
	}
	return false
}
