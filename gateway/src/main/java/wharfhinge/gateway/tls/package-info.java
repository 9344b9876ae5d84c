/** Authentication of clients by certificate and bearer token, and the TLS configuration of the gateway's listeners. */
package wharfhinge.gateway.tls;
