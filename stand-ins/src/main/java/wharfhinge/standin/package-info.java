/**
 * Emulators of a gateway's peers (workers, package store, endpoint service and clients) that simulate work by delays, the
 * faults that a scenario injects into them, and the trace of what they saw on their sockets. Uses no code of the gateway.
 */
@XmlSchema(namespace = "urn:wharfhinge:scenario:1", elementFormDefault = XmlNsForm.QUALIFIED)
package wharfhinge.standin;

import jakarta.xml.bind.annotation.XmlNsForm;
import jakarta.xml.bind.annotation.XmlSchema;
