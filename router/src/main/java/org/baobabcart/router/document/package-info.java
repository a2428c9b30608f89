/**
 * Replicated documents that every router holds. A few routers of each data centre watch them in the platform, and
 * routers exchange newer versions with their peers.
 */
package org.baobabcart.router.document;
