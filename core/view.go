package core

// View is the complete published state at one revision: what entry instances and
// companions need to serve traffic. A view is immutable; traffic goroutines read
// it through one atomic pointer.
type View struct {
	Revision Revision
	// HashSeed keys the hash from flows to buckets. It never changes during the
	// lifetime of a deployment.
	HashSeed       uint64
	DataCentres    []DataCentreState
	Services       []Service
	BackendServers []BackendServer
	// Tables holds one table for each service, in any order.
	Tables []Table
}

// DataCentreInService reports whether a data centre is in service. One that isn't
// in the view is out of service.
func (v *View) DataCentreInService(name DataCentre) bool {
	for _, dc := range v.DataCentres {
		if dc.Name == name {
			return dc.In
		}
	}
	return false
}
