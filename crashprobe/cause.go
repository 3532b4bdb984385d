package crashprobe

import (
	"errors"
	"net"
)

// MayHaveCrashed reports whether an exchange that broke with this error may have lost its
// endpoint's process. After a timeout the answer is no: a host that does not respond does not
// answer a probe either, which would only delay the resumption of its streams.
func MayHaveCrashed(err error) bool {
	var failure net.Error
	return !errors.As(err, &failure) || !failure.Timeout()
}
