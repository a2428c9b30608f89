/** Launches local fleets of processes for the demo, tests and benchmarks. */
package org.baobabcart.launcher;
