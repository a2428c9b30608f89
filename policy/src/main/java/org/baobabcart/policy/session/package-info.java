/** Signed session tokens. */
package org.baobabcart.policy.session;
