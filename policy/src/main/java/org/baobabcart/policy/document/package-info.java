/** Documents that are published by conditional update and spread between nodes by their generation. */
package org.baobabcart.policy.document;
