package org.baobabcart.router;

/**
 * The ports that a router listens on. Immutable.
 *
 * @param caller the caller API
 * @param admin the operators' API
 * @param peer the port that other routers call
 */
public record RouterPorts(int caller, int admin, int peer) {}
