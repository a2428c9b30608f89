package org.baobabcart.router.transport;

/**
 * The connection on which a request is sent. Immutable.
 *
 * @param connection the number of the connection, unique within the process
 * @param carriedBefore the number of requests that were sent on the connection before
 */
public record ConnectionUse(long connection, int carriedBefore) {}
