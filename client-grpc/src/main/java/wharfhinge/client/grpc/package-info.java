/** The gRPC transport of the client library. */
package wharfhinge.client.grpc;
