/**
 * Sequential attempts of a request at upstreams, shared by all caller interfaces. Whether a failed attempt may be followed by
 * another is decided by the history of attempts that may have run; interfaces add their own checks as an {@code AttemptHandler}.
 */
package org.baobabcart.router.attempt;
