/** Choice of upstreams and calls to them. */
package org.baobabcart.router.upstream;
