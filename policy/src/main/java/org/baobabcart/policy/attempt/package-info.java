/** Tracks the attempts of a request, to decide whether it may be sent again and what may be reported to the caller. */
package org.baobabcart.policy.attempt;
