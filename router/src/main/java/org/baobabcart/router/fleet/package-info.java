/** What a router knows of the other routers of its fleet on the opaque request path. Advice only: nothing here is agreed upon. */
package org.baobabcart.router.fleet;
