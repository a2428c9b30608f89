/** Calls between routers. */
package org.baobabcart.router.peer;
