package org.baobabcart.router.admin;

/**
 * The addresses that a router listens on, each as {@code host:port}. Immutable.
 *
 * @param caller the caller API
 * @param admin the operators' API
 * @param peer the port that other routers call
 */
public record Addresses(String caller, String admin, String peer) {}
