/** Selection of the model version that serves a request, and gradual moves of traffic between versions. */
package org.baobabcart.policy.version;
