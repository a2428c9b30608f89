/**
 * The opaque request path for requests whose bodies the router does not interpret. A codec decodes each request's head;
 * queueing, upstream selection, retries and relaying use the same dispatcher and upstream client as the caller API.
 */
package org.baobabcart.router.gateway;
