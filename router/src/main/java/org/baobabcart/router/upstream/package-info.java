/** Selection of upstreams, and the HTTP client that sends requests to them. */
package org.baobabcart.router.upstream;
