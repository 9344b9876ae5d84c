/**
 * What a worker decides about the copies that it holds: which load begins, which idle copy goes, which call runs where.
 * Pure: told events and time, answers with actions. {@code docs/design/worker.md} weighs it.
 */
package wharfhinge.decisions.copies;
