// Package virtual runs the request side of several companions on virtual time:
// their real dispatchers, with fakes of the network, the backend servers and the
// log of claims. It keeps a ledger of what ran, so that tests and measurements can
// check every outcome against it.
package virtual
