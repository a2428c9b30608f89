/** What one request's attempts allow: further attempts, and which answers to the caller are true. */
package org.baobabcart.policy.attempt;
