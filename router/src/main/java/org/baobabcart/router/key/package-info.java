/** The keys that sign session tokens: made once in the platform and spread between routers only. */
package org.baobabcart.router.key;
