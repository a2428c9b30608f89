/** Chooses an upstream for a request and limits the concurrent requests to each upstream. */
package org.baobabcart.policy.upstream;
