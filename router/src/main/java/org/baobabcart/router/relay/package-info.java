/** Shares among the routers of a data centre what a few of them read from the platform's store. */
package org.baobabcart.router.relay;
