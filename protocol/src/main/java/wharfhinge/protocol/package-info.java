/**
 * The wire protocols between client, gateway, worker and endpoint service (the roster): names of paths and headers,
 * their values, and codecs. This package makes no decisions, opens no sockets and reads no clock. The protocols are
 * specified in docs/protocol-client.md, docs/protocol-worker.md and docs/protocol-roster.md.
 */
package wharfhinge.protocol;
