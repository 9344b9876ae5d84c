/**
 * The settings file of a gateway: its schema, loading, validation across fields, and mapping to the settings of each component.
 * {@link wharfhinge.config.GatewayConfig} is the entry point; {@link wharfhinge.config.XmlFile} loads other files in the same way.
 * Classes named {@code ...Xml} bind XML elements one to one.
 */
@XmlSchema(namespace = "urn:wharfhinge:settings:1", elementFormDefault = XmlNsForm.QUALIFIED)
@XmlAccessorType(XmlAccessType.FIELD)
package wharfhinge.config;

import jakarta.xml.bind.annotation.XmlAccessType;
import jakarta.xml.bind.annotation.XmlAccessorType;
import jakarta.xml.bind.annotation.XmlNsForm;
import jakarta.xml.bind.annotation.XmlSchema;
