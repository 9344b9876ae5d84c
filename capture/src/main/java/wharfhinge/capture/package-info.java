/**
 * Records the events and actions of a running dispatcher in captures; reads captures, replays them into a new dispatcher, explains the
 * decisions on a call and minimizes a failing trace. {@code docs/design/capture.md} explains the design, {@code docs/protocol-capture.md}
 * specifies the file format.
 */
package wharfhinge.capture;
