/** Records crashes of upstreams on a router, and shares them with the other routers. */
package org.baobabcart.router.crash;
