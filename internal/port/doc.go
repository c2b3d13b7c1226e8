// Package port defines the types that the parts of loomgrade share: identifiers, errors
// with a verdict, the configuration, the commands and results of the replicated control
// log, and the interfaces to engines, back ends and control.
//
// The package only validates and formats. Types of the internal protocol have cbor tags,
// types of HTTP bodies and settings files have json tags.
package port
