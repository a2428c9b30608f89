package org.baobabcart.router;

/**
 * The TCP ports that a router listens on. Immutable.
 *
 * @param caller the port of the caller API
 * @param admin the port of the operators' API
 * @param peer the port that other routers call
 */
public record RouterPorts(int caller, int admin, int peer) {}
