/** Sends orders to engines: the lease of a data centre, the journal stored with it, and the delivery of orders. */
package org.baobabcart.router.order;
