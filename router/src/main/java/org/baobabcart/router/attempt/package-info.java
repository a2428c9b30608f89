/**
 * The attempts of one request at upstreams, one after the other: the same for each interface of callers. What may follow a
 * failed attempt is decided by the ledger of what may have run; interfaces add their own checks as an {@code AttemptHandler}.
 */
package org.baobabcart.router.attempt;
