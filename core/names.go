// Package core holds the types that all other modules of the load balancer
// share: names of instances, data centres, services and backend servers, the
// key of a flow, the bucket tables, the published view and the error type.
//
// It imports no other module of the project, does no I/O and reads no clock.
package core

import "strconv"

// InstanceID names one process of the system, as given in its settings. It is
// unique within the deployment.
type InstanceID string

// DataCentre names a data centre, for example "sul-a".
type DataCentre string

// ServiceName is the operators' name of a service, for example "matcher".
type ServiceName string

// ServiceID numbers a service. It fits in 24 bits because it is sent as the
// virtual network identifier of a Geneve header. Zero means no service. IDs are
// never reused.
type ServiceID uint32

// MaxServiceID is the highest ServiceID that fits in a Geneve header.
const MaxServiceID ServiceID = 1<<24 - 1

// BackendServerID numbers a backend server within the deployment. Zero means
// none. IDs are never reused.
type BackendServerID uint32

// StartID distinguishes the starts of a backend server. A backend server
// announced with a StartID that differs from the last one is in cold start.
type StartID uint64

// Revision numbers an accepted state of the system. Revisions only increase.
type Revision uint64

// String returns the decimal form of the revision.
func (r Revision) String() string {
	return strconv.FormatUint(uint64(r), 10)
}

// Team names a team of operators that owns sections of the configuration.
type Team string
