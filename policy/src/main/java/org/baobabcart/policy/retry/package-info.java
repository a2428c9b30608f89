/** Decides which failures may be retried and how often. */
package org.baobabcart.policy.retry;
