/**
 * The worker runtime: fetches signed packages, loads copies of functions into memory of their own, runs calls on them and
 * accounts for that memory. {@code docs/design/worker.md} describes the design, {@code docs/protocol-worker.md} the protocol.
 */
@XmlSchema(namespace = "urn:wharfhinge:worker:1", elementFormDefault = XmlNsForm.QUALIFIED)
package wharfhinge.worker;

import jakarta.xml.bind.annotation.XmlNsForm;
import jakarta.xml.bind.annotation.XmlSchema;
