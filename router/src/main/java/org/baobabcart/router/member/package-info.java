/** Membership of routers. */
package org.baobabcart.router.member;
