/** Authenticates clients by certificate and token, and holds the gateway's own certificate. */
package wharfhinge.gateway.tls;
