/** Choice of the version of a model that a request runs on. */
package org.baobabcart.policy.version;
