/** Documents that are published by conditional update and disseminated between nodes by generation. */
package org.baobabcart.policy.document;
