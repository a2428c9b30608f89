/** Agrees between routers who sends requests to an upstream that limits its rate. */
package org.baobabcart.router.limit;
