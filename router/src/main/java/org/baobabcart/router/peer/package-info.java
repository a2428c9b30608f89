/** Transport and protocol of calls between routers. */
package org.baobabcart.router.peer;
