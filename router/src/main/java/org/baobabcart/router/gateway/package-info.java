/**
 * The opaque request path: requests whose bodies the router does not interpret, described once and then queued, placed, sent,
 * repeated and relayed by the same dispatcher and upstream client as the caller API.
 */
package org.baobabcart.router.gateway;
