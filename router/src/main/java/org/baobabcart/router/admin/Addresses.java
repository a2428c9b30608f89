package org.baobabcart.router.admin;

/**
 * The addresses of a router's ports, each as {@code host:port}. Immutable.
 *
 * @param caller the address of the caller API
 * @param admin the address of the operators' API
 * @param peer the address that other routers call; the advertised one if it is set
 */
public record Addresses(String caller, String admin, String peer) {}
