/**
 * What goes over the wire between client, gateway, worker and roster: names, words and codecs. Nothing here
 * decides, opens a socket or reads a clock. The pages docs/protocol-client.md, docs/protocol-worker.md and
 * docs/protocol-roster.md say the same in prose.
 */
package wharfhinge.protocol;
