/** Documents that every router holds: read from the platform, watched by a few routers and spread between peers. */
package org.baobabcart.router.document;
