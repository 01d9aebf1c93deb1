// Package virtual runs the request side of several companions on virtual time:
// their real dispatchers, with fakes of the network, the backend servers and the
// log of claims. It records every submission and run, so that tests and measurements
// can check every outcome.
package virtual
