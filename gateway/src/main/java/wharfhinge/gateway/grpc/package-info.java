/** The gRPC listener for client calls, which are submitted to the same engine as calls over HTTP. */
package wharfhinge.gateway.grpc;
