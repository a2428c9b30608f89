/** Measurements with real processes, each with its baseline in the same run. */
package org.baobabcart.bench;
