/** Signed session tokens, which pin model versions for a session. */
package org.baobabcart.policy.session;
