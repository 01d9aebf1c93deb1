package feed

import "github.com/juju/errors"

// errBehind reports a control instance that can't be sure to have what is in
// force.
const errBehind = errors.ConstError("the control instance has lost its leader")
