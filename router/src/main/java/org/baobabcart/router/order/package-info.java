/** Orders to engines: the lease of a data centre, the journal of orders in it, and the sending of orders. */
package org.baobabcart.router.order;
