/** Membership of routers by gossip and failure detection. */
package org.baobabcart.router.member;
